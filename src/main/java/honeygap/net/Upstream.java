package honeygap.net;

import honeygap.fleet.Appliance;

/** The upstream side of a protocol: sends picks to appliances and reports to the rules how each ended. */
public interface Upstream extends Counters.Group {

    /** Creates the record of an appliance that appears in the list for the first time. */
    Appliance newAppliance(long id);

    /** Sends the latest pick of the RPC; durations are tenths of a millisecond. */
    void pick(Call call, Appliance appliance, long timeout);

    void cancel(Call call, int pick);

    void probe(Appliance appliance);

    /** Closes idle connections to an appliance that is draining, was removed or has restarted. */
    void closeIdle(Appliance appliance);
}
