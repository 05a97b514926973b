package honeygap.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.GatheringByteChannel;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.buffer.IoBufferWrapper;
import org.apache.mina.core.session.IoSession;

/** Several slices that go out in one write, in order, none of them copied together. */
public final class Gathered extends IoBufferWrapper {

    private final ByteBuffer[] parts;
    private int from;

    public Gathered(ByteBuffer... parts) {
        super(IoBuffer.allocate(0));
        this.parts = parts;
    }

    int writeTo(GatheringByteChannel channel, Tap tap, IoSession session) throws IOException {
        if (tap != null) {
            return writeHeard(channel, tap, Door.number(session));
        }
        return write(channel);
    }

    /** Hands on what has gone out, in slices of its own. */
    private int writeHeard(GatheringByteChannel channel, Tap tap, long number) throws IOException {
        ByteBuffer[] slices = new ByteBuffer[parts.length - from];
        for (int i = 0; i < slices.length; i++) {
            slices[i] = parts[from + i].duplicate();
        }
        int written = write(channel);
        int left = written;
        int count = 0;
        while (left > 0) {
            ByteBuffer slice = slices[count++];
            slice.limit(slice.position() + Math.min(left, slice.remaining()));
            left -= slice.remaining();
        }
        if (written > 0) {
            tap.sent(number, slices, count);
        }
        return written;
    }

    private int write(GatheringByteChannel channel) throws IOException {
        int written = (int) channel.write(parts, from, parts.length - from);
        while (from < parts.length && !parts[from].hasRemaining()) {
            from++;
        }
        return written;
    }

    @Override
    public int remaining() {
        int left = 0;
        for (int i = from; i < parts.length; i++) {
            left += parts[i].remaining();
        }
        return left;
    }

    @Override
    public boolean hasRemaining() {
        return remaining() > 0;
    }

    /** MINA writes a duplicate of what it is given; these slices are nobody else's. */
    @Override
    public IoBuffer duplicate() {
        return this;
    }

    /** A write that did not finish is not begun again: what has gone out has gone out. */
    @Override
    public IoBuffer reset() {
        return this;
    }
}
