package honeygap.fleet;

/** Limit for picks of this agent in flight at one appliance, or at all appliances of a build together. */
public final class ConcurrencyLimit {

    /** Mean limit for one appliance, its lower bound, and the number of appliances. */
    public double perAppliance;
    public double minPerAppliance;
    public int appliances;
    public int inFlight;
    /** Sum of the send times of the picks in flight, and when the last pick was sent. */
    private long sentAtSum;
    public long lastSentAt = Long.MIN_VALUE / 2;
    /** Share of recent answers that were late. */
    public double lateShare;
    /** While the limit is below one pick: no next pick before this time. */
    public long pausedUntil = Long.MIN_VALUE / 2;

    public ConcurrencyLimit(int appliances) {
        this.appliances = appliances;
    }

    public void pickSent(long sentAt) {
        inFlight++;
        sentAtSum += sentAt;
        lastSentAt = sentAt;
    }

    public void pickEnded(long sentAt) {
        inFlight--;
        sentAtSum -= sentAt;
    }

    /** Mean age of the picks in flight; 0 if there are none. */
    public double meanAge(long now) {
        return inFlight > 0 ? now - (double) sentAtSum / inFlight : 0;
    }
}
