package honeygap.capture.tape;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;

/**
 * Bytes from one thread to another, in records, in room of a fixed size. Whoever puts in never waits: a record that
 * does not fit is left out. One thread puts, one takes.
 */
public final class Ring {

    /** Length, kind, connection, time. */
    private static final int RECORD_HEADER_BYTES = 4 + 4 + 8 + 8;
    private static final VarHandle TAKEN;
    private static final VarHandle PUT;

    static {
        try {
            TAKEN = MethodHandles.lookup().findVarHandle(Ring.class, "taken", long.class);
            PUT = MethodHandles.lookup().findVarHandle(Ring.class, "put", long.class);
        } catch (ReflectiveOperationException e) {
            throw new ExceptionInInitializerError(e);
        }
    }

    /** Hears one record; the bytes are good until it comes back. */
    public interface Reader {

        void record(int kind, long connection, long at, ByteBuffer bytes);
    }

    private final ByteBuffer buffer;
    private final int size;
    private final int mask;
    /** Bytes ever put in and taken out. */
    @SuppressWarnings("unused")
    private volatile long put;
    @SuppressWarnings("unused")
    private volatile long taken;
    /** What the putting thread last knew of the other. */
    private long cachedTaken;

    /** Room for so many bytes, a power of two. */
    public Ring(int size) {
        this.size = Integer.highestOneBit(Math.max(1 << 10, size));
        mask = this.size - 1;
        buffer = ByteBuffer.allocate(this.size);
    }

    /** Puts a record in; the buffers stay as they are. False where it does not fit. */
    public boolean offer(int kind, long connection, long timestampNs, ByteBuffer... parts) {
        int length = 0;
        for (ByteBuffer part : parts) {
            length += part.remaining();
        }
        int recordBytes = RECORD_HEADER_BYTES + length + 7 & ~7;
        long start = (long) PUT.get(this);
        int index = (int) (start & mask);
        // A record stands in one piece: the rest of the room is left out where it is too short for it.
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

    /** Takes all records that are there out, in order; how many. */
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
