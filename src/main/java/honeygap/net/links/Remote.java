package honeygap.net.links;

import honeygap.fleet.Appliance;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;

/** The record of an appliance, with its address and the connections to it that are idle. */
public final class Remote extends Appliance {

    public InetSocketAddress address;
    /** When its process started by the list's own word, a wall-clock time in milliseconds; 0 is long ago. */
    public long sinceMs;
    /** The one used last at the end. */
    final ArrayDeque<UpstreamConnection> idleConnections = new ArrayDeque<>();

    public Remote(long id) {
        super(id);
    }
}
