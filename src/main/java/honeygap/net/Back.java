package honeygap.net;

import honeygap.fleet.Appliance;

/** Who serves: carries out picks and tells the module how each ended. */
public interface Back extends Counters.Group {

    /** The record of an appliance that the list names for the first time. */
    Appliance appliance(long id);

    /** Sends the newest pick of the RPC; durations are tenths of a millisecond. */
    void pick(Call call, Appliance appliance, long timeout);

    void cancel(Call call, int pick);

    void probe(Appliance appliance);

    /** What is idle to an appliance that drains, is gone or has started anew is of no use. */
    void dropIdle(Appliance appliance);
}
