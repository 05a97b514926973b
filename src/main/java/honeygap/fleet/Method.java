package honeygap.fleet;

import java.util.ArrayDeque;

/** One method that clients call, and what its answers have taken so far. */
public final class Method {

    public static final int IDEMPOTENT = 0;
    public static final int TOKENED = 1;
    public static final int NON_IDEMPOTENT = 2;

    public static final int SCOPE_ALL = 0;
    public static final int SCOPE_ZONE = 1;
    public static final int SCOPE_CELL = 2;

    public final int index;
    public final int effect;
    public final int scope;
    /** How long repeats of a token are dropped. */
    public final long tokenWindow;
    public final long softDeadline;
    public final long deadline;
    public final double utility;
    public final double lateUtility;

    /** Mean time of an ok answer, in tenths of a millisecond; 0 before the first. */
    public double meanLatency;
    /** The same when the build now on trial came. */
    public double meanLatencyBeforeTrial;
    public long answerCount;
    /** When an RPC of it last found no place. */
    public long noCapacityAt = Long.MIN_VALUE / 2;
    public long receivedCount;
    /** When RPCs of it were taken, or of all methods where exposure counts them together, oldest first. */
    public final ArrayDeque<Long> receivedTimes = new ArrayDeque<>();
    /** Mean hint of the work of its RPCs; 0 where there are no hints. */
    public double meanWorkHint;

    public Method(int index, int effect, int scope, long tokenWindow, long softDeadline, long deadline,
                  double utility, double lateUtility) {
        this.index = index;
        this.effect = effect;
        this.scope = scope;
        this.tokenWindow = tokenWindow;
        this.softDeadline = softDeadline;
        this.deadline = deadline;
        this.utility = utility;
        this.lateUtility = lateUtility;
    }
}
