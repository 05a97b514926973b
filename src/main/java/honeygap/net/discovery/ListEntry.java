package honeygap.net.discovery;

import honeygap.fleet.Appliance;
import honeygap.config.JsonObject;
import honeygap.config.Malformed;
import java.net.InetSocketAddress;

/**
 * One entry of the discovery list, as received.
 *
 * @param name the name of the appliance, the same at every agent
 * @param state one of the states of {@link Appliance}
 * @param address the listen address; null if a deleted appliance has none
 * @param startedAtMs Unix time of its last start in milliseconds, or 0 if it started long ago
 * @param release the build that it runs
 * @param zone the name of its location, or empty
 * @param cell the cell within which idempotency tokens are recognized
 */
record ListEntry(String name, int state, InetSocketAddress address, long startedAtMs, int release, String zone,
        int cell) {

    static ListEntry parse(JsonObject entry) throws Malformed {
        String name = entry.text("name");
        int state = state(entry.text("status"));
        boolean hasAddress = state != Appliance.REMOVED || entry.has("address");
        return new ListEntry(name, state, hasAddress ? entry.address("address") : null,
                entry.has("since_ms") ? Math.round(entry.doubleValue("since_ms")) : 0,
                entry.has("release") ? entry.roundedInt("release") : 0, entry.text("zone", ""),
                entry.has("group") ? entry.roundedInt("group") : 0);
    }

    private static int state(String status) throws Malformed {
        return switch (status) {
            case "SERVING" -> Appliance.UP;
            case "DRAINING" -> Appliance.DRAINING;
            case "DELETED" -> Appliance.REMOVED;
            default -> throw new Malformed("unknown status " + status);
        };
    }
}
