package honeygap.net;

import java.util.Map;

/** Exchanges load figures with other agents, as seen from the loop: no method blocks. */
public interface LoadSharing {

    /** The interval at which figures are published and read, in tenths of a millisecond. */
    long interval();

    /**
     * Publishes the picks in flight by the appliances' names in the list; every appliance with picks in flight is
     * included.
     */
    void publish(Map<String, Integer> inFlight);

    /** The other agents' picks in flight, by the same names, as last published. */
    Map<String, Double> othersInFlight();
}
