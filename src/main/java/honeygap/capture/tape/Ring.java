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
    private static final int HEAD = 4 + 4 + 8 + 8;
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

    private final ByteBuffer room;
    private final int size;
    private final int mask;
    /** Bytes ever put in and taken out. */
    @SuppressWarnings("unused")
    private volatile long put;
    @SuppressWarnings("unused")
    private volatile long taken;
    /** What the putting thread last knew of the other. */
    private long takenSeen;

    /** Room for so many bytes, a power of two. */
    public Ring(int size) {
        this.size = Integer.highestOneBit(Math.max(1 << 10, size));
        mask = this.size - 1;
        room = ByteBuffer.allocate(this.size);
    }

    /** Puts a record in; the buffers stay as they are. False where it does not fit. */
    public boolean offer(int kind, long connection, long at, ByteBuffer... parts) {
        int length = 0;
        for (ByteBuffer part : parts) {
            length += part.remaining();
        }
        int whole = HEAD + length + 7 & ~7;
        long from = (long) PUT.get(this);
        int place = (int) (from & mask);
        // A record stands in one piece: the rest of the room is left out where it is too short for it.
        int skipped = place + whole > size ? size - place : 0;
        if (whole > size || from + skipped + whole - takenSeen > size) {
            takenSeen = (long) TAKEN.getAcquire(this);
            if (whole > size || from + skipped + whole - takenSeen > size) {
                return false;
            }
        }
        if (skipped > 0) {
            if (skipped >= 4) {
                room.putInt(place, -1);
            }
            place = 0;
        }
        room.putInt(place, length);
        room.putInt(place + 4, kind);
        room.putLong(place + 8, connection);
        room.putLong(place + 16, at);
        int to = place + HEAD;
        for (ByteBuffer part : parts) {
            room.put(to, part, part.position(), part.remaining());
            to += part.remaining();
        }
        PUT.setRelease(this, from + skipped + whole);
        return true;
    }

    /** Takes all records that are there out, in order; how many. */
    public int drain(Reader reader) {
        long from = (long) TAKEN.get(this);
        long to = (long) PUT.getAcquire(this);
        int records = 0;
        while (from < to) {
            int place = (int) (from & mask);
            int length = room.getInt(place);
            if (length < 0) {
                from += size - place;
                continue;
            }
            reader.record(room.getInt(place + 4), room.getLong(place + 8), room.getLong(place + 16),
                    room.slice(place + HEAD, length));
            from += HEAD + length + 7 & ~7;
            records++;
            TAKEN.setRelease(this, from);
        }
        return records;
    }
}
