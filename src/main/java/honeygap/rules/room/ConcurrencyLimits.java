package honeygap.rules.room;

import honeygap.fleet.*;
import honeygap.rules.health.ApplianceHealth;
import honeygap.rules.work.WorkEstimate;
import honeygap.terms.Cold;

/** How many picks may be out at an appliance, and at all of a build? */
public record ConcurrencyLimits(Fleet fleet, ApplianceHealth health, Cold coldStartSettings) {

    /** Picks an appliance may hold of this agent at first; in part while it is cold. */
    private static final double INITIAL_LIMIT = 8;
    /** Part of the soft deadline past which answers tell of a jam, their share that room bears, the cut. */
    private static final double LATE_SHARE_OF_DEADLINE = 0.5;
    private static final double TOLERATED_LATE_SHARE = 0.2;
    private static final double DECREASE = 0.5;
    /** What is left of the room at first even in a jam; a new build's, against what warm appliances hold. */
    private static final double MIN_LIMIT = 0.25, TRIAL_START_RATIO = 3, MAX_FAST_GROWTH = 3;

    public void applianceRestarted(Appliance appliance) {
        appliance.room.minPerAppliance = 1;
        boolean isWarm = fleet.now >= appliance.startedAt + coldStartSettings.warmAfter();
        appliance.room.perAppliance = INITIAL_LIMIT * (isWarm ? 1 : coldStartSettings.initialCapacity() / 2);
    }

    /** A build is new: its appliances get three times what a warm one takes through this agent. */
    public void buildAdded(Build build, double warmWorkRate) {
        double initial = warmWorkRate > 0 ? TRIAL_START_RATIO * warmWorkRate : INITIAL_LIMIT;
        build.limit.perAppliance = Math.min(INITIAL_LIMIT / fleet.agentCount, initial);
    }

    public void listUpdated() {
        for (Build build : fleet.builds) {
            // Two picks an agent, or light agents would block themselves, unless all together are too many.
            double minLimit = 2 * fleet.agentCount / INITIAL_LIMIT / Math.max(1, build.limit.appliances);
            minLimit = fleet.isOnTrial(build) ? MIN_LIMIT : Math.max(MIN_LIMIT, Math.min(2, minLimit));
            build.limit.minPerAppliance = minLimit * INITIAL_LIMIT / fleet.agentCount;
            build.limit.perAppliance = Math.max(build.limit.minPerAppliance, build.limit.perAppliance);
        }
    }

    /**
     * Room for picks at an appliance and at all of a build, since one pick of each of hundreds of agents is a
     * jam. It shrinks while over a share of the answers is late; under one pick there are rests.
     * Guards against a jam, whatever made it: overload, a burst, slowness of one or all, a new build's few
     * appliances. Harm: what is late for other reasons: early give-ups, silence, slow ways do not count.
     */
    public void pickEnded(Pick pick, int outcome, long latency) {
        double lateAfter = LATE_SHARE_OF_DEADLINE * pick.rpc.method.softDeadline * WorkEstimate.relativeWork(pick.rpc);
        boolean isOverloaded = outcome == Pick.FULL || latency > lateAfter && !health.isZoneAvoided(pick.appliance.zone)
                && (outcome == Pick.OK || outcome == Pick.TIMEOUT && pick.appliance.consecutiveUnanswered == 0);
        if (isOverloaded || outcome == Pick.OK) {
            adjustLimit(pick.build.limit, isOverloaded, latency);
            adjustLimit(pick.appliance.room, isOverloaded, latency);
        }
    }

    private void adjustLimit(ConcurrencyLimit limit, boolean isOverloaded, long latency) {
        double total = Math.max(1, limit.perAppliance * limit.appliances);
        limit.lateShare += WorkEstimate.SMOOTHING * ((isOverloaded ? 1 : 0) - limit.lateShare);
        if (isOverloaded) {
            limit.perAppliance = Math.max(limit.minPerAppliance, limit.perAppliance * (1 - DECREASE / total));
        } else if (limit.out + 1 >= total / 2) {
            // While few are late a pick an answer up to three times the start: so far loads of agents differ.
            boolean isFastGrowth = limit.lateShare < TOLERATED_LATE_SHARE / 2 && limit.perAppliance < MAX_FAST_GROWTH * INITIAL_LIMIT / fleet.agentCount;
            double increase = isFastGrowth ? 1 : DECREASE * TOLERATED_LATE_SHARE / (1 - TOLERATED_LATE_SHARE);
            limit.perAppliance *= 1 + increase / total;
        }
        limit.pausedUntil = fleet.now + (long) (latency * (1 / Math.min(1, limit.perAppliance * limit.appliances) - 1));
    }

    /** Picks long out tell of a jam before they end: the room shrinks at once in the same proportion. */
    public boolean hasCapacity(ConcurrencyLimit limit, Rpc rpc) {
        double lateAfter = LATE_SHARE_OF_DEADLINE * rpc.method.softDeadline, scale = Math.min(1, lateAfter / Math.max(1, limit.meanAge(fleet.now)));
        return limit.out < limit.perAppliance * limit.appliances * scale && (limit.out > 0 || fleet.now >= limit.pausedUntil);
    }

    /** The same for a build; one that has all machines gets a pick now and then, as it bears of all, or none would learn. */
    public boolean hasCapacity(Build build, Rpc rpc) {
        double interval = Math.max(1, fleet.agentCount / INITIAL_LIMIT / Math.max(1, build.limit.appliances));
        return hasCapacity(build.limit, rpc) || (!fleet.isOnTrial(build) || fleet.earlierAppliances() == 0)
                && fleet.now >= build.limit.lastSentAt + interval * rpc.method.softDeadline;
    }
}
