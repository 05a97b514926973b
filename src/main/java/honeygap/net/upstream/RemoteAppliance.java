package honeygap.net.upstream;

import honeygap.fleet.Appliance;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;

/** The record of an appliance, with its address and its idle connections. */
public final class RemoteAppliance extends Appliance {

    public InetSocketAddress address;
    /** When its process started according to the list, in wall-clock milliseconds; 0 means long ago. */
    public long processStartedMs;
    /** Ordered by last use, the most recent one at the end. */
    final ArrayDeque<UpstreamConnection> idleConnections = new ArrayDeque<>();

    public RemoteAppliance(long id) {
        super(id);
    }
}
