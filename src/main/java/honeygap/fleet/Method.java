package honeygap.fleet;

import java.util.ArrayDeque;

/** A method that clients call, with its settings and what this agent has observed of it. */
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
    /** How long appliances drop duplicates of a token. */
    public final long tokenWindow;
    public final long softDeadline;
    public final long deadline;
    public final double utility;
    public final double lateUtility;

    /** Mean latency of an ok answer, in tenths of a millisecond; 0 before the first. */
    public double meanLatency;
    /** The same when the evaluation of the build on trial began. */
    public double meanLatencyBeforeTrial;
    public long answerCount;
    /** When an RPC of it last found no appliance with capacity. */
    public long noCapacityAt = Long.MIN_VALUE / 2;
    public long receivedCount;
    /** When its RPCs were received, oldest first; those of all methods if exposure counts them together. */
    public final ArrayDeque<Long> receivedTimes = new ArrayDeque<>();
    /** Mean work hint of its RPCs; 0 without hints. */
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
