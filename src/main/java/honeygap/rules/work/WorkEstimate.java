package honeygap.rules.work;

import honeygap.fleet.*;

/** What should an RPC take, by its method and its hint? */
public final class WorkEstimate {

    /** How far a mean moves towards what came last; the same for what is counted by the second. */
    public static final double SMOOTHING = 1.0 / 32, RATE_SMOOTHING = 1.0 / 3;
    /** Times the usual past which an answer is slow. */
    public static final double SLOW_RATIO = 3;

    public static void rpcReceived(Rpc rpc) {
        rpc.method.meanWorkHint += Math.max(SMOOTHING, 1.0 / ++rpc.method.receivedCount) * (rpc.workHint - rpc.method.meanWorkHint);
    }

    public static void pickAnswered(Pick pick, boolean isOnTrial, long latency) {
        if (!pick.cold && !isOnTrial) {
            Method method = pick.rpc.method;
            method.meanLatency += Math.max(SMOOTHING, 1.0 / ++method.answerCount) * (latency - method.meanLatency);
        }
    }

    /** What the RPC should take: the method's usual time, more where its hint says that it is heavy. */
    public static double expectedLatency(Rpc rpc) {
        return rpc.method.meanLatency * relativeWork(rpc);
    }

    public static double relativeWork(Rpc rpc) {
        return Math.max(1, rpc.method.meanWorkHint > 0 ? rpc.workHint / rpc.method.meanWorkHint : 1);
    }

    /** By the method, not the hint: those that look light would be let through alone, and often are not. */
    public static double expectedWork(Rpc rpc) {
        return Math.max(1, rpc.method.meanWorkHint > 0 ? rpc.method.meanWorkHint : rpc.method.meanLatency);
    }
}
