package honeygap.net;

import java.net.SocketAddress;
import java.nio.ByteBuffer;

/**
 * Hears what goes over all connections of a loop, on its thread: it must be quick, and must not wait. The buffers are
 * good, and are to be left as they are, until the call comes back.
 */
public interface Tap {

    /** A connection came up; whether it was opened from outside. */
    void opened(long connection, SocketAddress local, SocketAddress remote, boolean isInbound);

    void received(long connection, ByteBuffer bytes);

    /** What the system has taken, as slices; those behind the count are empty. */
    void sent(long connection, ByteBuffer[] slices, int count);

    void closed(long connection);
}
