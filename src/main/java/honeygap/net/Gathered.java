package honeygap.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.GatheringByteChannel;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.buffer.IoBufferWrapper;
import org.apache.mina.core.session.IoSession;

/** Several slices that go out in one write, in order, none of them copied together. */
public final class Gathered extends IoBufferWrapper {

    private final ByteBuffer[] slices;
    private int firstUnwritten;

    public Gathered(ByteBuffer... slices) {
        super(IoBuffer.allocate(0));
        this.slices = slices;
    }

    int writeTo(GatheringByteChannel channel, Tap listener, IoSession session) throws IOException {
        if (listener != null) {
            return writeAndReport(channel, listener, IoEventDispatcher.connectionNumber(session));
        }
        return write(channel);
    }

    /** Hands on what has gone out, in slices of its own. */
    private int writeAndReport(GatheringByteChannel channel, Tap listener, long connection) throws IOException {
        ByteBuffer[] written = new ByteBuffer[slices.length - firstUnwritten];
        for (int i = 0; i < written.length; i++) {
            written[i] = slices[firstUnwritten + i].duplicate();
        }
        int byteCount = write(channel);
        int left = byteCount;
        int count = 0;
        while (left > 0) {
            ByteBuffer slice = written[count++];
            slice.limit(slice.position() + Math.min(left, slice.remaining()));
            left -= slice.remaining();
        }
        if (byteCount > 0) {
            listener.sent(connection, written, count);
        }
        return byteCount;
    }

    private int write(GatheringByteChannel channel) throws IOException {
        int byteCount = (int) channel.write(slices, firstUnwritten, slices.length - firstUnwritten);
        while (firstUnwritten < slices.length && !slices[firstUnwritten].hasRemaining()) {
            firstUnwritten++;
        }
        return byteCount;
    }

    @Override
    public int remaining() {
        int left = 0;
        for (int i = firstUnwritten; i < slices.length; i++) {
            left += slices[i].remaining();
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
