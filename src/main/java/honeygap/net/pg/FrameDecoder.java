package honeygap.net.pg;

import honeygap.config.Malformed;
import java.nio.ByteBuffer;

/**
 * Splits received bytes into messages of the wire protocol; copies only messages that arrive in several reads. What it
 * holds follows what has arrived, not the length that a message declares.
 */
public final class FrameDecoder {

    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);
    private static final int TYPED_HEADER_LENGTH = 5;
    private static final int UNTYPED_HEADER_LENGTH = 4;
    /** Room behind queued messages for further input. */
    private static final int MIN_SPARE_BYTES = 4096;

    private final int maxLength;
    private ByteBuffer buffer = EMPTY;
    /** Whether the buffer was allocated by this decoder and may be extended behind its limit. */
    private boolean ownsBuffer;
    private byte type;
    private ByteBuffer message;
    private ByteBuffer body;

    /** Creates a decoder that rejects messages longer than this many bytes before it buffers them. */
    public FrameDecoder(int maxLength) {
        this.maxLength = maxLength;
    }

    /** Adds more input. The buffer may be used until its messages have been read and must not be modified. */
    public void feed(ByteBuffer more) {
        if (!buffer.hasRemaining()) {
            buffer = more;
            ownsBuffer = false;
            return;
        }
        if (!ownsBuffer || buffer.capacity() - buffer.limit() < more.remaining()) {
            int length = buffer.remaining() + more.remaining();
            // Doubles up to the declared length, or a little more than has arrived, to avoid a copy per read.
            int declaredLength = buffer.remaining() >= TYPED_HEADER_LENGTH ? buffer.getInt(buffer.position() + 1) + 1 : 0;
            int wanted = Math.max(declaredLength, length + MIN_SPARE_BYTES);
            ByteBuffer grown = ByteBuffer.allocate(Math.max(length, Math.min(wanted, 2 * length)));
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

    /**
     * Lets go of the last message and of the buffer that was fed last, whose unread rest is copied. Call it when no more
     * messages are read for now: buffers are often much larger than that rest.
     */
    public void endInput() {
        message = null;
        body = null;
        if (!buffer.hasRemaining()) {
            buffer = EMPTY;
        } else if (!ownsBuffer) {
            buffer = ByteBuffer.allocate(buffer.remaining()).put(buffer).flip();
            ownsBuffer = true;
        }
    }

    /** Drops all input. */
    public void clear() {
        buffer = EMPTY;
        endInput();
    }

    /** How many bytes of memory the input takes that has not been read as messages. */
    public int heldBytes() {
        return buffer.capacity();
    }

    /** How many bytes are buffered. */
    public int bufferedBytes() {
        return buffer.remaining();
    }

    /** Reads a message without a type byte and of limited length, with which a connection starts. */
    public boolean nextUntyped(int maxLength) throws Malformed {
        return next(UNTYPED_HEADER_LENGTH, maxLength);
    }

    /** Reads the next message and returns whether it is complete. */
    public boolean next() throws Malformed {
        return next(TYPED_HEADER_LENGTH, maxLength);
    }

    /** Whether more than this many complete messages are buffered. */
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
            throw new ProtocolViolation(ProtocolViolation.Kind.MESSAGE_LENGTH, "a message of length " + length);
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

    /** The type of the message; 0 for one without a type byte. */
    public byte type() {
        return type;
    }

    /** The message including its type and length. */
    public ByteBuffer message() {
        return message;
    }

    /** The message without its type and length. */
    public ByteBuffer body() {
        return body;
    }
}
