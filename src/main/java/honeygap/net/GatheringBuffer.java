package honeygap.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.GatheringByteChannel;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.buffer.IoBufferWrapper;
import org.apache.mina.core.session.IoSession;

/** Several buffers that are sent in one gathering write, in order and without copying. */
public final class GatheringBuffer extends IoBufferWrapper {

    private final ByteBuffer[] slices;
    private int firstUnwritten;

    public GatheringBuffer(ByteBuffer... slices) {
        super(IoBuffer.allocate(0));
        this.slices = slices;
    }

    /** How many bytes of memory the buffers keep in use: slices keep the whole array that they are taken from. */
    public static long backingBytes(ByteBuffer... buffers) {
        long bytes = 0;
        byte[] previous = null;
        for (ByteBuffer buffer : buffers) {
            byte[] array = buffer.hasArray() ? buffer.array() : null;
            bytes += array == null ? buffer.capacity() : array == previous ? 0 : array.length;
            previous = array;
        }
        return bytes;
    }

    int writeTo(GatheringByteChannel channel, TrafficListener listener, IoSession session) throws IOException {
        if (listener != null) {
            return writeAndReport(channel, listener, IoEventDispatcher.connectionNumber(session));
        }
        return write(channel);
    }

    /** Writes, and passes duplicates of the written bytes to the traffic listener. */
    private int writeAndReport(GatheringByteChannel channel, TrafficListener listener, long connection) throws IOException {
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

    /** MINA writes a duplicate of each message; these slices are not shared, so the buffer itself serves. */
    @Override
    public IoBuffer duplicate() {
        return this;
    }

    /** MINA resets a buffer after an incomplete write; here the written bytes must stay consumed. */
    @Override
    public IoBuffer reset() {
        return this;
    }
}
