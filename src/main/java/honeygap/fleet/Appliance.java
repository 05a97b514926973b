package honeygap.fleet;

/** The one record of an appliance: what the list says of it and what this agent has seen. */
public class Appliance {

    public static final int UP = 0;
    public static final int DRAINING = 1;
    public static final int GONE = 2;

    /** For the door only. */
    public final long id;
    public Build build;
    public Location zone;
    public int cell;
    public int state = UP;
    /** When its process last started; far in the past when the list gives no time. */
    public long startedAt;

    /** Time of its answers over what the method usually takes; 1 is as usual. */
    public double latencyRatio = 1;
    /** Share of its picks that lately ended in an error or a reset. */
    public double failureShare;
    public final ConcurrencyLimit room = new ConcurrencyLimit(1);
    /** Picks of other agents out there, by what they have told; 0 where agents share nothing. */
    public double others;
    /** Picks in a row that ended without a word from it. */
    public int consecutiveUnanswered;
    /** Left out of picks until then. */
    public long avoidedUntil = Long.MIN_VALUE / 2;
    /** Gets nothing until then, by its own word. */
    public long barredUntil = Long.MIN_VALUE / 2;
    /** When the last pick was sent that it answered on a connection from before the list grew old. */
    public long lastServedAt = Fleet.LONG_AGO;
    /** When a pick at it last ended without a word from it. */
    public long lastUnansweredAt = Fleet.LONG_AGO;
    /** Picks in a row that it has turned away while nobody told what changes in the list, and when the last one was. */
    public int consecutiveRefusals;
    public long lastRefusedAt = Fleet.LONG_AGO;
    /** Work that this agent may send it while it is cold, and as of when. */
    public double coldCredit;
    public long coldCreditAt = Long.MIN_VALUE / 2;

    public Appliance(long id) {
        this.id = id;
    }

    /** A fresh start under an old id: nothing known of it holds. */
    public void resetObservations() {
        latencyRatio = 1;
        failureShare = 0;
        consecutiveUnanswered = 0;
        avoidedUntil = Fleet.LONG_AGO;
        barredUntil = Fleet.LONG_AGO;
        lastServedAt = Fleet.LONG_AGO;
        consecutiveRefusals = 0;
    }
}
