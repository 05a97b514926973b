package honeygap.fleet;

/** Room for picks of this agent at one appliance, or at all of a build together. */
public final class ConcurrencyLimit {

    /** How many one appliance may hold on the mean, at least how many, and how many appliances there are. */
    public double perAppliance;
    public double minPerAppliance;
    public int appliances;
    public int out;
    /** Sum of the times at which the picks that are out were sent, and when the last pick was sent. */
    private long sentAtSum;
    public long lastSentAt = Long.MIN_VALUE / 2;
    /** Share of the answers that lately came late. */
    public double lateShare;
    /** With room for less than one pick: no further one until then. */
    public long pausedUntil = Long.MIN_VALUE / 2;

    public ConcurrencyLimit(int appliances) {
        this.appliances = appliances;
    }

    public void pickSent(long sentAt) {
        out++;
        sentAtSum += sentAt;
        lastSentAt = sentAt;
    }

    public void pickEnded(long sentAt) {
        out--;
        sentAtSum -= sentAt;
    }

    /** For how long the picks that are out have been so on the mean; 0 where none is. */
    public double meanAge(long now) {
        return out > 0 ? now - (double) sentAtSum / out : 0;
    }
}
