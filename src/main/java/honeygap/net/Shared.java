package honeygap.net;

import java.util.Map;

/** What processes that share tell each other of their load, seen from the loop: neither call ever waits. */
public interface Shared {

    /** How often figures go out and come in, in tenths of a millisecond. */
    long every();

    /** Picks now out at appliances, by the names of the list; none is left out that has any. */
    void figures(Map<String, Integer> inFlight);

    /** Picks of others, by the same names, as last published. */
    Map<String, Double> others();
}
