package honeygap.spread;

import java.util.HashMap;
import java.util.Map;

/**
 * How much do other processes have out at each appliance? What each has said of itself counts less the older it is, to
 * nothing when it no longer holds, and what nobody can have out counts for no more than a bound. No I/O: entries are
 * told one by one, then the sums are taken. Times are tenths of a millisecond.
 */
public final class Others {

    private final long validity;
    private final double maxPerProcess;
    private final Map<String, Double> sums = new HashMap<>();
    private long outOfBounds;

    /** What is older than this counts for nothing; one process has at most so many picks out at one appliance. */
    public Others(long validity, double maxPerProcess) {
        this.validity = validity;
        this.maxPerProcess = maxPerProcess;
    }

    /** One process has so many picks out there, as of so long ago. */
    public void told(String appliance, double inFlight, long age) {
        if (!(inFlight >= 0 && inFlight <= maxPerProcess)) {
            // Guards against a member that says none always, or a billion: neither draws nor repels all.
            outOfBounds++;
        }
        double bounded = inFlight >= 0 ? Math.min(inFlight, maxPerProcess) : 0;
        double weight = Math.max(0, 1 - (double) age / validity);
        sums.merge(appliance, bounded * weight, Double::sum);
    }

    /** Picks of others by appliance. */
    public Map<String, Double> sums() {
        return Map.copyOf(sums);
    }

    /** Figures that were out of bounds. */
    public long beyond() {
        return outOfBounds;
    }
}
