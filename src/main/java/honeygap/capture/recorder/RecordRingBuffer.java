package honeygap.capture.recorder;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;

/**
 * A fixed-size ring buffer that passes records of bytes from one producer thread to one consumer thread. The producer
 * never waits: a record that does not fit is rejected.
 */
public final class RecordRingBuffer {

    /** Length, kind, connection, timestamp. */
    private static final int RECORD_HEADER_BYTES = 4 + 4 + 8 + 8;
    private static final VarHandle TAKEN;
    private static final VarHandle PUT;

    static {
        try {
            TAKEN = MethodHandles.lookup().findVarHandle(RecordRingBuffer.class, "taken", long.class);
            PUT = MethodHandles.lookup().findVarHandle(RecordRingBuffer.class, "put", long.class);
        } catch (ReflectiveOperationException e) {
            throw new ExceptionInInitializerError(e);
        }
    }

    /** Receives a record; the bytes are valid only during the call. */
    public interface Reader {

        void record(int kind, long connection, long timestampNs, ByteBuffer bytes);
    }

    private final ByteBuffer buffer;
    private final int size;
    private final int mask;
    /** Total bytes written and read so far; accessed through the var handles. */
    @SuppressWarnings("unused")
    private volatile long put;
    @SuppressWarnings("unused")
    private volatile long taken;
    /** The producer's last view of {@link #taken}, which saves it most volatile reads. */
    private long cachedTaken;

    /** The size is rounded down to a power of two, but at least 1024. */
    public RecordRingBuffer(int size) {
        this.size = Integer.highestOneBit(Math.max(1 << 10, size));
        mask = this.size - 1;
        buffer = ByteBuffer.allocate(this.size);
    }

    /** Appends a record and leaves the positions of the buffers unchanged; false if it does not fit. */
    public boolean offer(int kind, long connection, long timestampNs, ByteBuffer... parts) {
        int length = 0;
        for (ByteBuffer part : parts) {
            length += part.remaining();
        }
        int recordBytes = RECORD_HEADER_BYTES + length + 7 & ~7;
        long start = (long) PUT.get(this);
        int index = (int) (start & mask);
        // A record is stored contiguously: the end of the buffer is skipped if it is too short.
        int skipped = index + recordBytes > size ? size - index : 0;
        if (recordBytes > size || start + skipped + recordBytes - cachedTaken > size) {
            cachedTaken = (long) TAKEN.getAcquire(this);
            if (recordBytes > size || start + skipped + recordBytes - cachedTaken > size) {
                return false;
            }
        }
        if (skipped > 0) {
            if (skipped >= 4) {
                buffer.putInt(index, -1);
            }
            index = 0;
        }
        buffer.putInt(index, length);
        buffer.putInt(index + 4, kind);
        buffer.putLong(index + 8, connection);
        buffer.putLong(index + 16, timestampNs);
        int to = index + RECORD_HEADER_BYTES;
        for (ByteBuffer part : parts) {
            buffer.put(to, part, part.position(), part.remaining());
            to += part.remaining();
        }
        PUT.setRelease(this, start + skipped + recordBytes);
        return true;
    }

    /** Removes all available records in order; returns their number. */
    public int drain(Reader reader) {
        long position = (long) TAKEN.get(this);
        long end = (long) PUT.getAcquire(this);
        int records = 0;
        while (position < end) {
            int index = (int) (position & mask);
            int length = buffer.getInt(index);
            if (length < 0) {
                position += size - index;
                continue;
            }
            reader.record(buffer.getInt(index + 4), buffer.getLong(index + 8), buffer.getLong(index + 16),
                    buffer.slice(index + RECORD_HEADER_BYTES, length));
            position += RECORD_HEADER_BYTES + length + 7 & ~7;
            records++;
            TAKEN.setRelease(this, position);
        }
        return records;
    }
}
