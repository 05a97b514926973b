package honeygap.fleet;

/** The single record of an appliance: its entry in the list and what this agent has observed of it. */
public class Appliance {

    public static final int UP = 0;
    public static final int DRAINING = 1;
    public static final int REMOVED = 2;

    /** For use by the host; no decision depends on it. */
    public final long id;
    public Build build;
    public Zone zone;
    public int cell;
    public int state = UP;
    /** When its process last started; far in the past if the list gives no time. */
    public long startedAt;

    /** Mean ratio of its latency to the expected latency; 1 is normal. */
    public double latencyRatio = 1;
    /** Share of its recent picks that ended in an error or a reset. */
    public double failureShare;
    public final ConcurrencyLimit limit = new ConcurrencyLimit(1);
    /** Picks of other agents in flight there, as they report; 0 if agents share no load figures. */
    public double othersInFlight;
    /** Number of picks in a row that ended without a response from it. */
    public int consecutiveUnanswered;
    /** Used only as a last resort until this time. */
    public long avoidedUntil = Long.MIN_VALUE / 2;
    /** Receives no picks until this time, as it requested itself (Retry-After). */
    public long retryAfterUntil = Long.MIN_VALUE / 2;
    /** Send time of the last pick that it answered on a connection opened before the list was last confirmed. */
    public long lastServedAt = Fleet.LONG_AGO;
    /** Number of picks in a row that it refused while no watch on the list was open, and the time of the last. */
    public int consecutiveRefusals;
    public long lastRefusedAt = Fleet.LONG_AGO;
    /** Amount of work that this agent may send to it while it is cold, and when that was last updated. */
    public double coldCredit;
    public long coldCreditAt = Long.MIN_VALUE / 2;

    public Appliance(long id) {
        this.id = id;
    }

    /** Discards all observations: a new process has started under the same id. */
    public void resetObservations() {
        latencyRatio = 1;
        failureShare = 0;
        consecutiveUnanswered = 0;
        avoidedUntil = Fleet.LONG_AGO;
        retryAfterUntil = Fleet.LONG_AGO;
        lastServedAt = Fleet.LONG_AGO;
        consecutiveRefusals = 0;
    }
}
