package honeygap.net.pg;

import honeygap.read.Malformed;
import java.nio.ByteBuffer;

/** Cuts what came in into messages of the wire protocol, in place where a message came in one piece. */
public final class Frames {

    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);
    private static final int TYPED_HEADER_LENGTH = 5;
    private static final int UNTYPED_HEADER_LENGTH = 4;

    private final int maxLength;
    private ByteBuffer buffer = EMPTY;
    /** Whether the bytes are a copy of this parser's own, with room after the limit. */
    private boolean ownsBuffer;
    private byte type;
    private ByteBuffer message;
    private ByteBuffer body;

    /** Messages longer than this are turned down before they are kept. */
    public Frames(int maxLength) {
        this.maxLength = maxLength;
    }

    public void feed(ByteBuffer more) {
        if (!buffer.hasRemaining()) {
            buffer = more;
            ownsBuffer = false;
            return;
        }
        if (!ownsBuffer || buffer.capacity() - buffer.limit() < more.remaining()) {
            int length = buffer.remaining() + more.remaining();
            // Once the length of the message is there, room for all of it: no copy a read.
            int declaredLength = buffer.remaining() >= TYPED_HEADER_LENGTH ? buffer.getInt(buffer.position() + 1) + 1 : 0;
            ByteBuffer grown = ByteBuffer.allocate(Math.max(length, Math.min(declaredLength, maxLength + TYPED_HEADER_LENGTH)));
            grown.put(buffer).put(more).flip();
            buffer = grown;
            ownsBuffer = true;
            return;
        }
        int start = buffer.position();
        int end = buffer.limit();
        buffer.limit(end + more.remaining()).position(end);
        buffer.put(more).position(start);
    }

    /** How many bytes wait. */
    public int waiting() {
        return buffer.remaining();
    }

    /** The next message without a type byte, no longer than this, as a connection begins with one. */
    public boolean nextUntyped(int maxLength) throws Malformed {
        return next(UNTYPED_HEADER_LENGTH, maxLength);
    }

    public boolean next() throws Malformed {
        return next(TYPED_HEADER_LENGTH, maxLength);
    }

    /** Whether more than so many whole messages wait. */
    public boolean hasMoreMessagesThan(int messages) {
        int position = buffer.position();
        for (int count = 0; buffer.limit() - position >= TYPED_HEADER_LENGTH; count++) {
            int length = buffer.getInt(position + 1);
            if (length < UNTYPED_HEADER_LENGTH || length > maxLength || buffer.limit() - position <= length) {
                return false;
            }
            if (count == messages) {
                return true;
            }
            position += 1 + length;
        }
        return false;
    }

    private boolean next(int headerLength, int maxLength) throws Malformed {
        if (buffer.remaining() < headerLength) {
            return false;
        }
        int start = buffer.position();
        int length = buffer.getInt(start + headerLength - UNTYPED_HEADER_LENGTH);
        if (length < UNTYPED_HEADER_LENGTH || length > maxLength) {
            throw new Malformed("a message of length " + length);
        }
        int end = start + headerLength - UNTYPED_HEADER_LENGTH + length;
        if (end > buffer.limit()) {
            return false;
        }
        type = headerLength == TYPED_HEADER_LENGTH ? buffer.get(start) : 0;
        message = buffer.slice(start, end - start);
        body = buffer.slice(start + headerLength, end - start - headerLength);
        buffer.position(end);
        return true;
    }

    public byte type() {
        return type;
    }

    /** The message with its type and length. */
    public ByteBuffer whole() {
        return message;
    }

    public ByteBuffer body() {
        return body;
    }
}
