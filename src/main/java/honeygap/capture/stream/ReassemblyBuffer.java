package honeygap.capture.stream;

/**
 * Buffers the bytes of one direction that arrived out of order: a circular window of bytes, and the sorted start and
 * end offsets of its runs, which neither overlap nor touch. The first value received for a byte wins; retransmitted
 * bytes are compared with it. Optimized for few runs that mostly grow at their end: appending neither moves data nor
 * allocates.
 */
public final class ReassemblyBuffer {

    /** Offset of the window's start in the direction's byte stream. */
    private long base;
    private byte[] window = new byte[1024];
    private final int maxWindowBytes;
    /** Start and end offset of each run, in pairs. */
    private long[] runs = new long[8];
    private int runCount;
    private int bufferedBytes;

    /** The maximum window size is rounded down to a power of two, but at least 1024. */
    public ReassemblyBuffer(int maxWindowBytes) {
        this.maxWindowBytes = Integer.highestOneBit(Math.max(1024, maxWindowBytes));
    }

    /** Offset of the next byte that is missing or not yet removed. */
    public long base() {
        return base;
    }

    public int bufferedBytes() {
        return bufferedBytes;
    }

    public int runCount() {
        return runCount;
    }

    /** Whether bytes up to this offset fit into the largest window. */
    public boolean fits(long end) {
        return end - base <= maxWindowBytes;
    }

    /** Start offset of the first run; the base if nothing is buffered. */
    public long firstRunStart() {
        return runCount == 0 ? base : runs[0];
    }

    /** Length of the run at the base, which can be removed. */
    public int readyBytes() {
        return runCount > 0 && runs[0] == base ? (int) (runs[1] - base) : 0;
    }

    /**
     * Buffers bytes that fit and start at or after the base. Returns how many of them were already buffered with a
     * different value; those keep the first one.
     */
    public int add(long offset, byte[] data, int start, int length) {
        if (length == 0) {
            return 0;
        }
        long end = offset + length;
        ensureCapacity(end);
        // The first run that ends at or after the start of the new one.
        int first = 0;
        if (runCount > 0 && runs[2 * runCount - 1] < offset) {
            first = runCount;
        } else {
            while (first < runCount && runs[2 * first + 1] < offset) {
                first++;
            }
        }
        int last = first;
        int differing = 0;
        long from = offset;
        while (last < runCount && runs[2 * last] <= end) {
            long begin = runs[2 * last];
            long stop = runs[2 * last + 1];
            if (begin > from) {
                copy(from, data, start + (int) (from - offset), (int) (Math.min(begin, end) - from));
            }
            differing += countDiffering(Math.max(begin, offset), Math.min(stop, end), data, start, offset);
            from = Math.max(from, stop);
            last++;
        }
        if (from < end) {
            copy(from, data, start + (int) (from - offset), (int) (end - from));
        }
        if (first == last) {
            insertRun(first, offset, end);
        } else {
            runs[2 * first] = Math.min(runs[2 * first], offset);
            runs[2 * first + 1] = Math.max(runs[2 * last - 1], end);
            removeRuns(first + 1, last);
        }
        return differing;
    }

    private void copy(long offset, byte[] data, int start, int length) {
        int index = (int) (offset & window.length - 1);
        int part = Math.min(length, window.length - index);
        System.arraycopy(data, start, window, index, part);
        System.arraycopy(data, start + part, window, 0, length - part);
        bufferedBytes += length;
    }

    private int countDiffering(long from, long to, byte[] data, int start, long offset) {
        int differing = 0;
        for (long i = from; i < to; i++) {
            differing += window[(int) (i & window.length - 1)] != data[start + (int) (i - offset)] ? 1 : 0;
        }
        return differing;
    }

    private void insertRun(int index, long begin, long end) {
        if (2 * runCount == runs.length) {
            runs = java.util.Arrays.copyOf(runs, 2 * runs.length);
        }
        System.arraycopy(runs, 2 * index, runs, 2 * index + 2, 2 * (runCount - index));
        runs[2 * index] = begin;
        runs[2 * index + 1] = end;
        runCount++;
    }

    private void removeRuns(int from, int to) {
        System.arraycopy(runs, 2 * to, runs, 2 * from, 2 * (runCount - to));
        runCount -= to - from;
    }

    private void ensureCapacity(long end) {
        int length = window.length;
        while (end - base > length) {
            length *= 2;
        }
        if (length > window.length) {
            byte[] old = window;
            window = new byte[length];
            for (int i = 0; i < runCount; i++) {
                for (long at = runs[2 * i]; at < runs[2 * i + 1];) {
                    int from = (int) (at & old.length - 1);
                    int to = (int) (at & length - 1);
                    int part = (int) Math.min(runs[2 * i + 1] - at, Math.min(old.length - from, length - to));
                    System.arraycopy(old, from, window, to, part);
                    at += part;
                }
            }
        }
    }

    /** Removes and returns the run at the base, {@link #readyBytes} bytes. */
    public byte[] removeReady() {
        int length = readyBytes();
        byte[] bytes = new byte[length];
        int index = (int) (base & window.length - 1);
        int part = Math.min(length, window.length - index);
        System.arraycopy(window, index, bytes, 0, part);
        System.arraycopy(window, 0, bytes, part, length - part);
        bufferedBytes -= length;
        base += length;
        removeRuns(0, 1);
        if (runCount == 0 && window.length > 1 << 16) {
            window = new byte[1024];
        }
        return bytes;
    }

    /** Moves the base past bytes that were delivered unbuffered or abandoned as missing; none of them is buffered. */
    public void advanceTo(long to) {
        base = to;
    }
}
