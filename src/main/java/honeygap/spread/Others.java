package honeygap.spread;

import java.util.HashMap;
import java.util.Map;

/**
 * How much do other processes have out at each appliance? What each has said of itself counts less the older it is, to
 * nothing when it no longer holds, and what nobody can have out counts for no more than a bound. No I/O: entries are
 * told one by one, then the sums are taken. Times are tenths of a millisecond.
 */
public final class Others {

    private final long holds;
    private final double most;
    private final Map<String, Double> sums = new HashMap<>();
    private long beyond;

    /** What is older than this counts for nothing; one process has at most so many picks out at one appliance. */
    public Others(long holds, double most) {
        this.holds = holds;
        this.most = most;
    }

    /** One process has so many picks out there, as of so long ago. */
    public void told(String appliance, double out, long age) {
        if (!(out >= 0 && out <= most)) {
            // Guards against a member that says none always, or a billion: neither draws nor repels all.
            beyond++;
        }
        double sane = out >= 0 ? Math.min(out, most) : 0;
        double weight = Math.max(0, 1 - (double) age / holds);
        sums.merge(appliance, sane * weight, Double::sum);
    }

    /** Picks of others by appliance. */
    public Map<String, Double> sums() {
        return Map.copyOf(sums);
    }

    /** Figures that were out of bounds. */
    public long beyond() {
        return beyond;
    }
}
