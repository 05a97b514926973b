package honeygap.fleet;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;

/** One build of the appliances' software and what this agent has seen of it. */
public final class Build {

    public static final int VOTE_NONE = 0;
    public static final int VOTE_ON = 1;
    public static final int VOTE_HOLD = 2;
    public static final int VOTE_BACK = 3;

    public static final int ON_TRIAL = 0;
    public static final int REVERTING = 1;
    public static final int RELEASED = 2;
    public static final int WITHDRAWN = 3;

    public final int number;

    /** Picks now out, by method. */
    public final int[] inFlight;
    /** The part of them that went to appliances no longer cold. */
    public final int[] warmInFlight;
    /** Room at all its appliances that are up. */
    public final ConcurrencyLimit limit = new ConcurrencyLimit(0);
    /** Times of the picks that count against the cap, oldest first, by counted method. */
    public final ArrayDeque<long[]> exposedPicks = new ArrayDeque<>();
    /** How many of these there are, by counted method. */
    public final int[] exposedCounts;
    /** Keys that this agent has sent to this build. */
    public final Set<String> routedKeys = new HashSet<>();

    /** Picks now out, by method: all, or only those at appliances no longer cold. */
    public int[] inFlightPicks(boolean warmOnly) {
        return warmOnly ? warmInFlight : inFlight;
    }

    /** Picks that ended lately with a word from it, by method. */
    public final double[] recentAnswers;
    /** Picks that ended with a word from it since the stage began. */
    public int answersInStage;
    /** End of the last period of which the desk's counts of it have come. */
    public long countedUntil = Fleet.LONG_AGO;

    /** The module has let go of it: nothing of it is up, out or counted any more. */
    public boolean left;

    public Build(int number, int methodCount) {
        this.number = number;
        this.exposedCounts = new int[methodCount];
        this.recentAnswers = new double[methodCount];
        this.inFlight = new int[methodCount];
        this.warmInFlight = new int[methodCount];
    }
}
