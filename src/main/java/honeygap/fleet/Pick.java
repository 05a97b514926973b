package honeygap.fleet;

/** A pick of an RPC: one attempt at one appliance, and its outcome. */
public final class Pick {

    public static final int IN_FLIGHT = -1;
    public static final int OK = 0;
    public static final int ERROR = 1;
    /** Refused by the appliance without being executed. */
    public static final int FULL = 2;
    public static final int TIMEOUT = 3;
    /** No connection, so it was not executed. */
    public static final int CONNECT_FAILED = 4;
    /** The connection broke after the request was handed over. */
    public static final int RESET = 5;
    public static final int CANCELLED = 6;
    /** Not sent, or to be treated so; says nothing about the appliance. */
    public static final int MOOT = 7;

    public final Rpc rpc;
    public final Appliance appliance;
    /** The build that the appliance ran when the pick was sent. */
    public final Build build;
    public final Location zone;
    public final long sentAt;
    public final boolean cold;
    /** Upper bound of the time at which its connection was opened. */
    public long connectedAt;
    public int outcome = IN_FLIGHT;

    public Pick(Rpc rpc, Appliance appliance, long sentAt, boolean cold) {
        this.rpc = rpc;
        this.appliance = appliance;
        this.build = appliance.build;
        this.zone = appliance.zone;
        this.sentAt = sentAt;
        this.connectedAt = sentAt;
        this.cold = cold;
        rpc.picks.add(this);
        addInFlight(1);
        build.limit.pickSent(sentAt);
        appliance.room.pickSent(sentAt);
        zone.lastPickAt = sentAt;
    }

    public void end(int outcome) {
        this.outcome = outcome;
        addInFlight(-1);
        build.limit.pickEnded(sentAt);
        appliance.room.pickEnded(sentAt);
    }

    private void addInFlight(int change) {
        rpc.out += change;
        zone.out += change;
        build.inFlight[rpc.method.index] += change;
        build.warmInFlight[rpc.method.index] += cold ? 0 : change;
    }
}
