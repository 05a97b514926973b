package honeygap.net;

import java.net.SocketAddress;
import java.nio.ByteBuffer;

/**
 * Receives the traffic on all connections of a loop. Called on the loop's thread, it must return quickly and must not
 * block. The buffers are valid until the call returns and must not be modified.
 */
public interface TrafficListener {

    /** A connection was opened; inbound if the remote side opened it. */
    void opened(long connection, SocketAddress local, SocketAddress remote, boolean isInbound);

    /** Bytes were received. */
    void received(long connection, ByteBuffer bytes);

    /** Bytes that were passed to the system, as slices; only the first ones, up to the count, are used. */
    void sent(long connection, ByteBuffer[] slices, int count);

    /** The connection was closed. */
    void closed(long connection);
}
