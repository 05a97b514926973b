package honeygap.rules.concurrency;

import honeygap.fleet.*;
import honeygap.rules.health.ApplianceHealth;
import honeygap.rules.work.WorkEstimate;
import honeygap.settings.ColdStartSettings;

/** Limits the picks in flight at an appliance, and at all appliances of a build together. */
public record ConcurrencyLimits(Fleet fleet, ApplianceHealth health, ColdStartSettings coldStartSettings) {

    /** Initial limit of picks of this agent at an appliance; lower while it is cold. */
    private static final double INITIAL_LIMIT = 8;
    /** Share of the soft deadline after which an answer is late, the tolerated share of late answers, the decrease. */
    private static final double LATE_SHARE_OF_DEADLINE = 0.5;
    private static final double TOLERATED_LATE_SHARE = 0.2;
    private static final double DECREASE = 0.5;
    /**
     * Lower bound of a build's limit even under overload, as a share of the initial limit; initial limit of a new build
     * against the work rate of a warm appliance; bound of fast growth as a multiple of the initial limit.
     */
    private static final double MIN_LIMIT = 0.25, TRIAL_START_RATIO = 3, MAX_FAST_GROWTH = 3;

    public void applianceRestarted(Appliance appliance) {
        appliance.limit.minPerAppliance = 1;
        boolean isWarm = fleet.now >= appliance.startedAt + coldStartSettings.warmAfter();
        appliance.limit.perAppliance = INITIAL_LIMIT * (isWarm ? 1 : coldStartSettings.initialCapacity() / 2);
    }

    /** Sets the limit of a new build: three times the rate at which this agent sends work to a warm appliance. */
    public void buildAdded(Build build, double warmWorkRate) {
        double initial = warmWorkRate > 0 ? TRIAL_START_RATIO * warmWorkRate : INITIAL_LIMIT;
        build.limit.perAppliance = Math.min(INITIAL_LIMIT / fleet.agentCount, initial);
    }

    public void listUpdated() {
        for (Build build : fleet.builds) {
            // At least two picks for each agent, otherwise agents with little traffic would block themselves; fewer if
            // that would be too many for all agents together.
            double minLimit = 2 * fleet.agentCount / INITIAL_LIMIT / Math.max(1, build.limit.appliances);
            minLimit = fleet.isOnTrial(build) ? MIN_LIMIT : Math.max(MIN_LIMIT, Math.min(2, minLimit));
            build.limit.minPerAppliance = minLimit * INITIAL_LIMIT / fleet.agentCount;
            build.limit.perAppliance = Math.max(build.limit.minPerAppliance, build.limit.perAppliance);
        }
    }

    /**
     * Adjusts the limits of the appliance and of its whole build. A limit for the build is needed because a single pick
     * of each of hundreds of agents already overloads an appliance. A limit shrinks while more than a tolerated share
     * of the answers is late; below one pick, picks are spaced out in time. This handles overload of any cause: load,
     * a burst, slowness of one or all appliances, the few appliances of a new build. Drawback: answers that are late
     * for other reasons count as well, except for early timeouts, unresponsive appliances and slow zones.
     */
    public void pickEnded(Pick pick, int outcome, long latency) {
        double lateAfter = LATE_SHARE_OF_DEADLINE * pick.rpc.method.softDeadline * WorkEstimate.relativeWork(pick.rpc);
        boolean isOverloaded = outcome == Pick.PUSHED_BACK
                || latency > lateAfter && !health.isZoneAvoided(pick.appliance.zone)
                && (outcome == Pick.OK || outcome == Pick.TIMEOUT && pick.appliance.consecutiveUnanswered == 0);
        if (isOverloaded || outcome == Pick.OK) {
            adjustLimit(pick.build.limit, isOverloaded, latency);
            adjustLimit(pick.appliance.limit, isOverloaded, latency);
        }
    }

    private void adjustLimit(ConcurrencyLimit limit, boolean isOverloaded, long latency) {
        double total = Math.max(1, limit.perAppliance * limit.appliances);
        limit.lateShare += WorkEstimate.SMOOTHING * ((isOverloaded ? 1 : 0) - limit.lateShare);
        if (isOverloaded) {
            limit.perAppliance = Math.max(limit.minPerAppliance, limit.perAppliance * (1 - DECREASE / total));
        } else if (limit.inFlight + 1 >= total / 2) {
            // While few answers are late, grow by one pick an answer up to three times the initial limit, since the
            // loads of agents differ by that much.
            boolean isFastGrowth = limit.lateShare < TOLERATED_LATE_SHARE / 2
                    && limit.perAppliance < MAX_FAST_GROWTH * INITIAL_LIMIT / fleet.agentCount;
            double increase = isFastGrowth ? 1 : DECREASE * TOLERATED_LATE_SHARE / (1 - TOLERATED_LATE_SHARE);
            limit.perAppliance *= 1 + increase / total;
        }
        limit.pausedUntil = fleet.now + (long) (latency * (1 / Math.min(1, limit.perAppliance * limit.appliances) - 1));
    }

    /**
     * Whether one more pick is within the limit. Picks in flight for a long time indicate overload before they end, so
     * the limit shrinks in proportion at once.
     */
    public boolean hasCapacity(ConcurrencyLimit limit, Rpc rpc) {
        double lateAfter = LATE_SHARE_OF_DEADLINE * rpc.method.softDeadline,
                scale = Math.min(1, lateAfter / Math.max(1, limit.meanAge(fleet.now)));
        return limit.inFlight < limit.perAppliance * limit.appliances * scale
                && (limit.inFlight > 0 || fleet.now >= limit.pausedUntil);
    }

    /**
     * The same for a build. A build that runs on all machines also gets an occasional pick beyond the limit, at a rate
     * that it can take from all agents together; otherwise no agent would learn that it has recovered.
     */
    public boolean hasCapacity(Build build, Rpc rpc) {
        double interval = Math.max(1, fleet.agentCount / INITIAL_LIMIT / Math.max(1, build.limit.appliances));
        return hasCapacity(build.limit, rpc) || (!fleet.isOnTrial(build) || fleet.earlierAppliances() == 0)
                && fleet.now >= build.limit.lastSentAt + interval * rpc.method.softDeadline;
    }
}
