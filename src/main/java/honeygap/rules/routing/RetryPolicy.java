package honeygap.rules.routing;

import honeygap.fleet.*;
import honeygap.rules.health.ApplianceHealth;
import honeygap.rules.shutdown.Shutdown;
import honeygap.rules.work.WorkEstimate;

/** Decides whether and where an RPC is retried, and the timeout of each pick. */
public record RetryPolicy(Fleet fleet, Shutdown shutdown, int maxPicks) {

    /**
     * Budget for picks after one that may have been executed, as a share of the RPCs: retries must not add to
     * overload.
     */
    private static final double RETRY_SHARE = 0.1;
    /** Number of such picks that may exceed the share for a short time. */
    private static final double RETRY_BURST = 10;
    /** Timeout of a pick that may be retried, as a share of the time left to the soft deadline. */
    private static final double TIMEOUT_SHARE = 0.6;
    /** A retry must have at least this multiple of the expected latency before the soft deadline. */
    private static final double RETRY_LATENCIES = 1.5;

    /** Longest stall of an agent between reading its clock and writing, in tenths of a millisecond. */
    private static final long MAX_STALL = 1500;

    public void rpcReceived() {
        fleet.retryBalance = Math.min(0, fleet.retryBalance + RETRY_SHARE);
    }

    /** A pick was decided after one that may have been executed, or null. */
    public void pickDecided(Pick mayHaveRun) {
        fleet.retryBalance -= mayHaveRun != null ? 1 : 0;
    }

    /** A pick has ended before it was sent: as a retry it has cost nothing. */
    public void pickEndedUnsent(Pick pick) {
        if (firstThatMayHaveRun(pick.rpc) != null) {
            fleet.retryBalance = Math.min(0, fleet.retryBalance + 1);
        }
    }

    /** The first pick of the RPC, or of an earlier one with its id, that may have been executed; null if there is none. */
    public static Pick firstThatMayHaveRun(Rpc rpc) {
        if (rpc.earlierPick != null && mayHaveRun(rpc.earlierPick)) {
            return rpc.earlierPick;
        }
        return rpc.picks.stream().filter(RetryPolicy::mayHaveRun).findFirst().orElse(null);
    }

    private static boolean mayHaveRun(Pick pick) {
        return pick.state != PickState.DECIDED && pick.outcome != Pick.PUSHED_BACK && pick.outcome != Pick.NOT_EXECUTED
                && pick.outcome != Pick.CONNECT_FAILED;
    }

    /** Why no further pick is allowed now, given an earlier one that may have been executed; null if one is. */
    public AbandonReason reasonNotToPick(Rpc rpc, Pick mayHaveRun) {
        if (fleet.now >= shutdown.deadline(rpc) - 2 * fleet.tick) {
            return AbandonReason.OUT_OF_TIME;
        }
        if (rpc.attemptCount() >= maxPicks) {
            return AbandonReason.OUT_OF_TRIES;
        }
        boolean mayRetry = mayHaveRun == null || mayRetry(rpc.method) && !ApplianceHealth.isFailingTenant(rpc.tenant);
        return mayRetry ? null : AbandonReason.MAY_HAVE_RUN;
    }

    private boolean mayRetry(Method method) {
        return method.effect != Method.NON_IDEMPOTENT && fleet.retryBalance >= 1 - RETRY_BURST;
    }

    /** Whether a pick at the appliance is safe: for tokened methods it must drop duplicates of the earlier pick. */
    public boolean dropsDuplicate(Rpc rpc, Pick mayHaveRun, Appliance appliance) {
        Method method = rpc.method;
        return mayHaveRun == null || method.effect != Method.TOKENED
                || fleet.now < mayHaveRun.sentAt + method.tokenWindow - 4 * fleet.tick - MAX_STALL
                && (method.scope == Method.SCOPE_ALL
                || method.scope == Method.SCOPE_ZONE && appliance.zone == mayHaveRun.zone
                || method.scope == Method.SCOPE_CELL && appliance.cell == mayHaveRun.cell);
    }

    /** Whether a retry by the client is safe. */
    public static boolean isSafeToRetry(Method method, Pick mayHaveRun) {
        return mayHaveRun == null || method.effect == Method.IDEMPOTENT
                || method.effect == Method.TOKENED && method.scope == Method.SCOPE_ALL;
    }

    /** Timeout of a pick: shorter than the time to the deadline only if a retry could still be in time. */
    public long pickTimeout(Rpc rpc, boolean isColdOrOnTrial) {
        long timeLeft = Math.max(1, shutdown.deadline(rpc) - fleet.now);
        Method method = rpc.method;
        long softTimeLeft = rpc.receivedAt + method.softDeadline - fleet.now;
        // The few, cold appliances of a new build are slow at first: early timeouts would count against it.
        if (isColdOrOnTrial || rpc.attemptCount() >= maxPicks || !mayRetry(method) || method.meanLatency == 0) {
            return timeLeft;
        }
        // An RPC with much work must not time out because of that.
        double expectedLatency = WorkEstimate.expectedLatency(rpc);
        long timeout = (long) Math.max(TIMEOUT_SHARE * Math.min(softTimeLeft, timeLeft),
                WorkEstimate.SLOW_RATIO * expectedLatency);
        return softTimeLeft - timeout < RETRY_LATENCIES * expectedLatency ? timeLeft
                : Math.max(1, Math.min(timeLeft, timeout));
    }
}
