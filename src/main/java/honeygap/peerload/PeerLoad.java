package honeygap.peerload;

import java.util.HashMap;
import java.util.Map;

/**
 * Sums the picks that other processes report to have in flight at each appliance. The weight of a report falls linearly
 * with its age to zero at the end of its validity, and implausible figures are bounded. Does no I/O: reports are added
 * one by one, then the sums are read. Times are tenths of a millisecond.
 */
public final class PeerLoad {

    private final long validity;
    private final double maxPerProcess;
    private final Map<String, Double> sums = new HashMap<>();
    private long outOfBounds;

    /**
     * @param validity age from which a report no longer counts
     * @param maxPerProcess maximum number of picks of one process in flight at one appliance
     */
    public PeerLoad(long validity, double maxPerProcess) {
        this.validity = validity;
        this.maxPerProcess = maxPerProcess;
    }

    /** Adds one process's report of its picks in flight at the appliance. */
    public void reported(String appliance, double inFlight, long age) {
        if (!(inFlight >= 0 && inFlight <= maxPerProcess)) {
            // A member that reports a negative or huge figure must neither attract nor repel all traffic.
            outOfBounds++;
        }
        double bounded = inFlight >= 0 ? Math.min(inFlight, maxPerProcess) : 0;
        double weight = Math.max(0, 1 - (double) age / validity);
        sums.merge(appliance, bounded * weight, Double::sum);
    }

    /** Weighted picks of other processes, by appliance. */
    public Map<String, Double> sums() {
        return Map.copyOf(sums);
    }

    /** Number of reported figures that were out of bounds. */
    public long outOfBounds() {
        return outOfBounds;
    }
}
