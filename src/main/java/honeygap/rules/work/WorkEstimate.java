package honeygap.rules.work;

import honeygap.fleet.*;

/** Estimates the work and the latency of an RPC from its method and its work hint. */
public final class WorkEstimate {

    /** Smoothing factor of exponential means: by sample, and for rates by second. */
    public static final double SMOOTHING = 1.0 / 32, RATE_SMOOTHING = 1.0 / 3;
    /** Ratio to the expected latency above which an answer is slow. */
    public static final double SLOW_RATIO = 3;

    public static void rpcReceived(Rpc rpc) {
        rpc.method.meanWorkHint += Math.max(SMOOTHING, 1.0 / ++rpc.method.receivedCount)
                * (rpc.workHint - rpc.method.meanWorkHint);
    }

    public static void pickAnswered(Pick pick, boolean isOnTrial, long latency) {
        if (!pick.cold && !isOnTrial) {
            Method method = pick.rpc.method;
            method.meanLatency += Math.max(SMOOTHING, 1.0 / ++method.answerCount) * (latency - method.meanLatency);
        }
    }

    /** Expected latency of the RPC: the method's mean, increased if its hint is above the method's mean hint. */
    public static double expectedLatency(Rpc rpc) {
        return rpc.method.meanLatency * relativeWork(rpc);
    }

    public static double relativeWork(Rpc rpc) {
        return Math.max(1, rpc.method.meanWorkHint > 0 ? rpc.workHint / rpc.method.meanWorkHint : 1);
    }

    /**
     * Expected work of the RPC, by its method. Its own hint is not used: RPCs with low hints would be preferred, and
     * often need more work than their hints say.
     */
    public static double expectedWork(Rpc rpc) {
        return Math.max(1, rpc.method.meanWorkHint > 0 ? rpc.method.meanWorkHint : rpc.method.meanLatency);
    }
}
