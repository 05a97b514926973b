package honeygap.rules.work;

import honeygap.fleet.*;

/** What should an RPC take, by its method and its hint? */
public final class Work {

    /** How far a mean moves towards what came last; the same for what is counted by the second. */
    public static final double FADE = 1.0 / 32, RATE_FADE = 1.0 / 3;
    /** Times the usual past which an answer is slow. */
    public static final double FAR_PAST = 3;

    public static void taken(Rpc rpc) {
        rpc.method.work += Math.max(FADE, 1.0 / ++rpc.method.taken) * (rpc.work - rpc.method.work);
    }

    public static void answered(Pick pick, boolean onTrial, long lag) {
        if (!pick.cold && !onTrial) {
            Method method = pick.rpc.method;
            method.usual += Math.max(FADE, 1.0 / ++method.answers) * (lag - method.usual);
        }
    }

    /** What the RPC should take: the method's usual time, more where its hint says that it is heavy. */
    public static double expected(Rpc rpc) {
        return rpc.method.usual * heaviness(rpc);
    }

    public static double heaviness(Rpc rpc) {
        return Math.max(1, rpc.method.work > 0 ? rpc.work / rpc.method.work : 1);
    }

    /** By the method, not the hint: those that look light would be let through alone, and often are not. */
    public static double cost(Rpc rpc) {
        return Math.max(1, rpc.method.work > 0 ? rpc.method.work : rpc.method.usual);
    }
}
