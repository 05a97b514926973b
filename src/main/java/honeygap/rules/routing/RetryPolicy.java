package honeygap.rules.routing;

import honeygap.fleet.*;
import honeygap.rules.health.ApplianceHealth;
import honeygap.rules.shutdown.Shutdown;
import honeygap.rules.work.WorkEstimate;

/** May an RPC be sent again, where, and how long may each pick take? */
public record RetryPolicy(Fleet fleet, Shutdown shutdown, int maxPicks) {

    /** Further picks after ones that may have run, as a share of the RPCs taken: they must not feed a jam. */
    private static final double RETRY_SHARE = 0.1;
    private static final double RETRY_BURST = 10;
    /** Part of the time left to the soft deadline after which a pick that may be repeated is given up. */
    private static final double TIMEOUT_SHARE = 0.6;
    /** A further pick must still have this many times the method's usual time before the soft deadline. */
    private static final double RETRY_LATENCIES = 1.5;

    /** An agent may be held up for so long between reading its clock and writing; tenths of a millisecond. */
    private static final long MAX_STALL = 1500;

    public void rpcReceived() {
        fleet.retryBalance = Math.min(0, fleet.retryBalance + RETRY_SHARE);
    }

    public void pickSent(Pick mayHaveRun) {
        fleet.retryBalance -= mayHaveRun != null ? 1 : 0;
    }

    public static Pick firstThatMayHaveRun(Rpc rpc) {
        return rpc.picks.stream().filter(pick -> pick.outcome != Pick.FULL && pick.outcome != Pick.MOOT
                && pick.outcome != Pick.CONNECT_FAILED).findFirst().orElse(null);
    }

    /** Why there is no time or leave for a pick now, where this earlier one may have run; null where there is. */
    public GivenUp reasonNotToPick(Rpc rpc, Pick mayHaveRun) {
        if (fleet.now >= shutdown.deadline(rpc) - 2 * fleet.tick) {
            return GivenUp.OUT_OF_TIME;
        }
        if (rpc.picks.size() >= maxPicks) {
            return GivenUp.OUT_OF_TRIES;
        }
        boolean mayRetry = mayHaveRun == null || mayRetry(rpc.method) && !ApplianceHealth.isFailingTenant(rpc.tenant);
        return mayRetry ? null : GivenUp.MAY_HAVE_RUN;
    }

    private boolean mayRetry(Method method) {
        return method.effect != Method.NON_IDEMPOTENT && fleet.retryBalance >= 1 - RETRY_BURST;
    }

    /** Does the appliance drop a repeat of the pick that may have run, if one must be dropped? */
    public boolean dropsDuplicate(Rpc rpc, Pick mayHaveRun, Appliance appliance) {
        Method method = rpc.method;
        return mayHaveRun == null || method.effect != Method.TOKENED
                || fleet.now < mayHaveRun.sentAt + method.tokenWindow - 4 * fleet.tick - MAX_STALL
                && (method.scope == Method.SCOPE_ALL
                || method.scope == Method.SCOPE_ZONE && appliance.zone == mayHaveRun.appliance.zone
                || method.scope == Method.SCOPE_CELL && appliance.cell == mayHaveRun.appliance.cell);
    }

    /** Is it harmless for the client to try again? */
    public static boolean isSafeToRetry(Method method, Pick mayHaveRun) {
        return mayHaveRun == null || method.effect == Method.IDEMPOTENT
                || method.effect == Method.TOKENED && method.scope == Method.SCOPE_ALL;
    }

    /** How long a pick may take: under the deadline only where another may follow and still be in time. */
    public long pickTimeout(Rpc rpc, boolean isColdOrOnTrial) {
        long timeLeft = Math.max(1, shutdown.deadline(rpc) - fleet.now);
        Method method = rpc.method;
        long softTimeLeft = rpc.receivedAt + method.softDeadline - fleet.now;
        // Few and cold, the appliances of a new build are slow at first: giving up early would convict it.
        if (isColdOrOnTrial || rpc.picks.size() >= maxPicks || !mayRetry(method) || method.meanLatency == 0) {
            return timeLeft;
        }
        // A heavy RPC is not given up for being heavy.
        double expectedLatency = WorkEstimate.expectedLatency(rpc);
        long timeout = (long) Math.max(TIMEOUT_SHARE * Math.min(softTimeLeft, timeLeft), WorkEstimate.SLOW_RATIO * expectedLatency);
        return softTimeLeft - timeout < RETRY_LATENCIES * expectedLatency ? timeLeft : Math.max(1, Math.min(timeLeft, timeout));
    }
}
