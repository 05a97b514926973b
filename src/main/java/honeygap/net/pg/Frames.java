package honeygap.net.pg;

import honeygap.read.Malformed;
import java.nio.ByteBuffer;

/** Cuts what came in into messages of the wire protocol, in place where a message came in one piece. */
public final class Frames {

    private static final ByteBuffer NONE = ByteBuffer.allocate(0);
    private static final int TYPED = 5;
    private static final int UNTYPED = 4;

    private final int most;
    private ByteBuffer data = NONE;
    /** Whether the bytes are a copy of this parser's own, with room after the limit. */
    private boolean own;
    private byte type;
    private ByteBuffer whole;
    private ByteBuffer body;

    /** Messages longer than this are turned down before they are kept. */
    public Frames(int most) {
        this.most = most;
    }

    public void feed(ByteBuffer more) {
        if (!data.hasRemaining()) {
            data = more;
            own = false;
            return;
        }
        if (!own || data.capacity() - data.limit() < more.remaining()) {
            int length = data.remaining() + more.remaining();
            // Once the length of the message is there, room for all of it: no copy a read.
            int told = data.remaining() >= TYPED ? data.getInt(data.position() + 1) + 1 : 0;
            ByteBuffer room = ByteBuffer.allocate(Math.max(length, Math.min(told, most + TYPED)));
            room.put(data).put(more).flip();
            data = room;
            own = true;
            return;
        }
        int start = data.position();
        int end = data.limit();
        data.limit(end + more.remaining()).position(end);
        data.put(more).position(start);
    }

    /** How many bytes wait. */
    public int waiting() {
        return data.remaining();
    }

    /** The next message without a type byte, no longer than this, as a connection begins with one. */
    public boolean nextUntyped(int most) throws Malformed {
        return next(UNTYPED, most);
    }

    public boolean next() throws Malformed {
        return next(TYPED, most);
    }

    /** Whether more than so many whole messages wait. */
    public boolean waitsMoreThan(int messages) {
        int at = data.position();
        for (int seen = 0; data.limit() - at >= TYPED; seen++) {
            int length = data.getInt(at + 1);
            if (length < UNTYPED || length > most || data.limit() - at <= length) {
                return false;
            }
            if (seen == messages) {
                return true;
            }
            at += 1 + length;
        }
        return false;
    }

    private boolean next(int head, int most) throws Malformed {
        if (data.remaining() < head) {
            return false;
        }
        int start = data.position();
        int length = data.getInt(start + head - UNTYPED);
        if (length < UNTYPED || length > most) {
            throw new Malformed("a message of length " + length);
        }
        int end = start + head - UNTYPED + length;
        if (end > data.limit()) {
            return false;
        }
        type = head == TYPED ? data.get(start) : 0;
        whole = data.slice(start, end - start);
        body = data.slice(start + head, end - start - head);
        data.position(end);
        return true;
    }

    public byte type() {
        return type;
    }

    /** The message with its type and length. */
    public ByteBuffer whole() {
        return whole;
    }

    public ByteBuffer body() {
        return body;
    }
}
