package honeygap.fleet;

import java.util.ArrayDeque;

/** A build of the appliances' software and what this agent has observed of it. */
public final class Build {

    public static final int VOTE_NONE = 0;
    public static final int VOTE_ADVANCE = 1;
    public static final int VOTE_HOLD = 2;
    public static final int VOTE_ROLLBACK = 3;

    public static final int ON_TRIAL = 0;
    public static final int ROLLING_BACK = 1;
    public static final int RELEASED = 2;
    public static final int WITHDRAWN = 3;

    public final int number;

    /** Picks in flight, by method. */
    public final int[] inFlight;
    /** Those of them that were sent to appliances no longer cold. */
    public final int[] warmInFlight;
    /** Limit for all its appliances that are up, taken together. */
    public final ConcurrencyLimit limit = new ConcurrencyLimit(0);
    /** Written picks that count against the cap, oldest first: time of writing and counting group. */
    public final ArrayDeque<long[]> exposedPicks = new ArrayDeque<>();
    /** Number of these picks, by counting group. */
    public final int[] exposedCounts;
    /** Number of picks that have not been sent yet, and of those that are being written, by counting group. */
    public final int[] decidedCounts;
    public final int[] sendingCounts;
    /** Routing keys whose RPCs this agent has sent to this build. */
    public final RoutedKeys routedKeys = new RoutedKeys();

    /** Picks in flight, by method: all, or only those at appliances no longer cold. */
    public int[] inFlightPicks(boolean warmOnly) {
        return warmOnly ? warmInFlight : inFlight;
    }

    /** Picks recently answered by it, by method; older ones fade. */
    public final double[] recentAnswers;
    /** Picks answered by it since the stage began. */
    public int answersInStage;
    /** End of the last period for which the desk's counts of it have been received. */
    public long countedUntil = Fleet.LONG_AGO;

    /** Dropped by the decision module: no appliance of it is listed, no pick of it in flight. */
    public boolean isRemoved;

    public Build(int number, int methodCount) {
        this.number = number;
        this.exposedCounts = new int[methodCount];
        this.decidedCounts = new int[methodCount];
        this.sendingCounts = new int[methodCount];
        this.recentAnswers = new double[methodCount];
        this.inFlight = new int[methodCount];
        this.warmInFlight = new int[methodCount];
    }
}
