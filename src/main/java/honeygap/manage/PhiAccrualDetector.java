package honeygap.manage;

/**
 * Phi accrual failure detector of Hayashibara and others (2004): rates the time since the last heartbeat against the
 * normal distribution of the usual intervals. The suspicion level is minus the common logarithm of the probability
 * that a heartbeat still arrives: level 1 is wrong once in 10 times, level 8 once in 10^8.
 */
public final class PhiAccrualDetector {

    private static final int WINDOW = 64;
    /**
     * Lower bound of the standard deviation relative to the mean; otherwise a single late heartbeat after very
     * regular ones would suffice for suspicion.
     */
    private static final double MIN_RELATIVE_DEVIATION = 0.25;
    private static final double MAX_LEVEL = 100;

    private final long[] intervals = new long[WINDOW];
    private int count;
    private double sum;
    private double sumOfSquares;
    private long lastHeartbeatAt;

    /** The first heartbeats are expected at this interval, in units of 0.1 ms. */
    public PhiAccrualDetector(long now, long expectedInterval) {
        lastHeartbeatAt = now;
        addInterval(expectedInterval);
    }

    private void addInterval(long interval) {
        int index = count % WINDOW;
        if (count >= WINDOW) {
            sum -= intervals[index];
            sumOfSquares -= (double) intervals[index] * intervals[index];
        }
        intervals[index] = interval;
        sum += interval;
        sumOfSquares += (double) interval * interval;
        count++;
    }

    public void recordHeartbeat(long now) {
        addInterval(Math.max(0, now - lastHeartbeatAt));
        lastHeartbeatAt = now;
    }

    public long lastHeartbeatAt() {
        return lastHeartbeatAt;
    }

    public double suspicionLevel(long now) {
        int n = Math.min(count, WINDOW);
        double mean = sum / n;
        double deviation = Math.max(MIN_RELATIVE_DEVIATION * mean,
                Math.sqrt(Math.max(0, sumOfSquares / n - mean * mean)));
        double x = (now - lastHeartbeatAt - mean) / Math.max(1, deviation);
        // The tail of the normal distribution, by its logistic approximation (Bowling and others, 2009).
        double e = Math.exp(-x * (1.5976 + 0.070566 * x * x));
        double tail = x > 0 ? e / (1 + e) : 1 - 1 / (1 + e);
        return tail <= 0 ? MAX_LEVEL : Math.min(MAX_LEVEL, -Math.log10(tail));
    }
}
