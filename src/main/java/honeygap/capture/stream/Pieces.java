package honeygap.capture.stream;

/**
 * The bytes of one direction that came before those in front of them: a window of bytes that turns, and the ends of
 * the runs in it that do not touch, in order. A byte that is there stays; one that comes again is compared. Made for
 * runs that are few and mostly grow at their end: adding there moves nothing and allocates nothing.
 */
public final class Pieces {

    /** Where the window begins, counted from the first byte of the direction. */
    private long base;
    private byte[] window = new byte[1024];
    private final int most;
    /** Begin and end of each run, counted likewise. */
    private long[] runs = new long[8];
    private int count;
    private int held;

    /** The window is never longer than this, a power of two. */
    public Pieces(int most) {
        this.most = Integer.highestOneBit(Math.max(1024, most));
    }

    /** The next byte that is missing or not yet taken out. */
    public long base() {
        return base;
    }

    public int held() {
        return held;
    }

    public int runs() {
        return count;
    }

    /** Whether a byte so far out may be held. */
    public boolean reaches(long end) {
        return end - base <= most;
    }

    /** Where the run nearest to the base begins; the base itself where there is nothing. */
    public long firstRun() {
        return count == 0 ? base : runs[0];
    }

    /** Length of the run at the base, which can be taken out. */
    public int ready() {
        return count > 0 && runs[0] == base ? (int) (runs[1] - base) : 0;
    }

    /**
     * Holds bytes within reach and at or behind the base. How many of them were there already with another value:
     * those keep the first one.
     */
    public int add(long at, byte[] data, int start, int length) {
        if (length == 0) {
            return 0;
        }
        long end = at + length;
        room(end);
        // The first run that ends at or behind the begin of the new one.
        int first = 0;
        if (count > 0 && runs[2 * count - 1] < at) {
            first = count;
        } else {
            while (first < count && runs[2 * first + 1] < at) {
                first++;
            }
        }
        int last = first;
        int differing = 0;
        long from = at;
        while (last < count && runs[2 * last] <= end) {
            long begin = runs[2 * last];
            long stop = runs[2 * last + 1];
            if (begin > from) {
                copy(from, data, start + (int) (from - at), (int) (Math.min(begin, end) - from));
            }
            differing += differs(Math.max(begin, at), Math.min(stop, end), data, start, at);
            from = Math.max(from, stop);
            last++;
        }
        if (from < end) {
            copy(from, data, start + (int) (from - at), (int) (end - from));
        }
        if (first == last) {
            insert(first, at, end);
        } else {
            runs[2 * first] = Math.min(runs[2 * first], at);
            runs[2 * first + 1] = Math.max(runs[2 * last - 1], end);
            remove(first + 1, last);
        }
        return differing;
    }

    private void copy(long at, byte[] data, int start, int length) {
        int place = (int) (at & window.length - 1);
        int part = Math.min(length, window.length - place);
        System.arraycopy(data, start, window, place, part);
        System.arraycopy(data, start + part, window, 0, length - part);
        held += length;
    }

    private int differs(long from, long to, byte[] data, int start, long at) {
        int differing = 0;
        for (long i = from; i < to; i++) {
            differing += window[(int) (i & window.length - 1)] != data[start + (int) (i - at)] ? 1 : 0;
        }
        return differing;
    }

    private void insert(int place, long begin, long end) {
        if (2 * count == runs.length) {
            runs = java.util.Arrays.copyOf(runs, 2 * runs.length);
        }
        System.arraycopy(runs, 2 * place, runs, 2 * place + 2, 2 * (count - place));
        runs[2 * place] = begin;
        runs[2 * place + 1] = end;
        count++;
    }

    private void remove(int from, int to) {
        System.arraycopy(runs, 2 * to, runs, 2 * from, 2 * (count - to));
        count -= to - from;
    }

    private void room(long end) {
        int length = window.length;
        while (end - base > length) {
            length *= 2;
        }
        if (length > window.length) {
            byte[] old = window;
            window = new byte[length];
            for (int i = 0; i < count; i++) {
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

    /** Takes out the run at the base, all of {@link #ready}. */
    public byte[] take() {
        int length = ready();
        byte[] bytes = new byte[length];
        int place = (int) (base & window.length - 1);
        int part = Math.min(length, window.length - place);
        System.arraycopy(window, place, bytes, 0, part);
        System.arraycopy(window, 0, bytes, part, length - part);
        held -= length;
        base += length;
        remove(0, 1);
        if (count == 0 && window.length > 1 << 16) {
            window = new byte[1024];
        }
        return bytes;
    }

    /** Goes on behind bytes that were handed on without being held, or are given up; none of them is held. */
    public void pass(long to) {
        base = to;
    }
}
