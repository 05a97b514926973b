package honeygap.net.upstream;

import honeygap.fleet.Appliance;
import java.net.InetSocketAddress;

/** The record of an appliance, with its address and its idle connections. */
public final class RemoteAppliance extends Appliance {

    public InetSocketAddress address;
    /** When its process started according to the list, in wall-clock milliseconds; 0 means long ago. */
    public long processStartedMs;
    final IdleConnections idleConnections = new IdleConnections();

    public RemoteAppliance(long id) {
        super(id);
    }
}
