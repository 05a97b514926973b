package honeygap.rules.routing;

import honeygap.fleet.*;
import honeygap.rules.exposure.ExposureLimit;
import honeygap.rules.coldstart.ColdStartLimit;
import honeygap.rules.discovery.ListLease;
import honeygap.rules.evidence.FailureEvidence;
import honeygap.rules.fit.Fit;
import honeygap.rules.health.ApplianceHealth;
import honeygap.rules.concurrency.ConcurrencyLimits;
import honeygap.rules.work.WorkEstimate;
import java.util.List;

/** Selects the appliance for the next pick of an RPC. */
public record ApplianceSelector(Fleet fleet, RandomSource random, ExposureLimit exposureLimit,
                                FailureEvidence failureEvidence, ApplianceHealth health,
                                ConcurrencyLimits concurrencyLimits, ColdStartLimit coldStartLimit,
                                RetryPolicy retryPolicy, ListLease lease) {

    /** Counts first picks sent to the earlier builds and to the evaluated one. */
    public void pickDecided(Pick pick) {
        if (pick.rpc.picks.size() == 1 && fleet.evaluatedBuild != null) {
            fleet.firstPicksOld = fleet.firstPicksOld * (1 - WorkEstimate.SMOOTHING)
                    + (pick.build == fleet.evaluatedBuild ? 0 : 1);
            fleet.firstPicksNew = fleet.firstPicksNew * (1 - WorkEstimate.SMOOTHING)
                    + (pick.build == fleet.evaluatedBuild ? 1 : 0);
        }
    }

    private boolean isAllowed(Rpc rpc, Appliance appliance, Pick mayHaveRun, Build earliestBuild) {
        Zone zone = appliance.zone;
        Build build = appliance.build;
        return appliance.state == Appliance.UP && lease.covers(appliance) && fleet.now >= appliance.retryAfterUntil
                && (fleet.now >= zone.limitedUntil || zone.inFlight < zone.maxInFlight)
                && (earliestBuild == null || build.number >= earliestBuild.number)
                && retryPolicy.dropsDuplicate(rpc, mayHaveRun, appliance) && concurrencyLimits.hasCapacity(build, rpc)
                && exposureLimit.allows(build, rpc.method) && exposureLimit.canKeepKey(build, rpc) && coldStartLimit.allows(appliance, rpc);
    }

    public Appliance select(Rpc rpc, Pick mayHaveRun) {
        Build trialBuild = fleet.trialBuild();
        Build earliestBuild = exposureLimit.earliestBuildFor(rpc);
        List<Appliance> allowed = fleet.appliances.stream()
                .filter(a -> isAllowed(rpc, a, mayHaveRun, earliestBuild)).toList();
        List<Appliance> allowedNew = allowed.stream().filter(a -> a.build == trialBuild).toList();
        // Among the builds not on trial only the newest counts, such as one just released.
        int newestOld = allowed.stream().mapToInt(a -> a.build == trialBuild ? 0 : a.build.number).max().orElse(0);
        List<Appliance> allowedOld = allowed.stream()
                .filter(a -> a.build != trialBuild && a.build.number >= newestOld).toList();
        List<Appliance> healthyOld = withoutAvoided(rpc, allowedOld), healthyNew = withoutAvoided(rpc, allowedNew);
        boolean noneHealthy = healthyOld.isEmpty() && healthyNew.isEmpty();
        Appliance oldCandidate = lessLoaded(rpc, noneHealthy ? allowedOld : healthyOld),
                newCandidate = lessLoaded(rpc, noneHealthy ? allowedNew : healthyNew);
        if (oldCandidate == null || newCandidate == null) {
            return oldCandidate == null ? newCandidate : oldCandidate;
        }
        boolean failedOnTrial = rpc.lastAttempt() != null && rpc.lastAttempt().build == trialBuild;
        return !failedOnTrial && prefersTrial(rpc) ? newCandidate : oldCandidate;
    }

    /**
     * Whether the RPC goes to the build on trial: one draw for each RPC, with equal chances until the first failure and
     * by theta afterwards (Thompson sampling). The earlier builds get at most their share of the appliances.
     */
    private boolean prefersTrial(Rpc rpc) {
        if (!rpc.thetaDrawn) {
            rpc.thetaDrawn = true;
            Fit fit = failureEvidence.inFlightFit;
            rpc.drewTrial = fit.failures() == 0 ? random.nextUniform() < 0.5
                    : fit.mode() + fit.standardDeviation() * random.nextNormal() > 0;
        }
        double oldShare = (double) fleet.earlierAppliances()
                / (fleet.earlierAppliances() + fleet.evaluatedBuild.limit.appliances);
        return rpc.drewTrial || fleet.firstPicksOld > oldShare * (fleet.firstPicksOld + fleet.firstPicksNew);
    }

    /** Those that are neither avoided now nor already tried for this RPC; the others are a last resort. */
    private List<Appliance> withoutAvoided(Rpc rpc, List<Appliance> candidates) {
        return candidates.stream().filter(appliance -> !health.isAvoided(appliance, rpc)).toList();
    }

    /** The less loaded of two random candidates with free capacity; null if none has any. */
    private Appliance lessLoaded(Rpc rpc, List<Appliance> candidates) {
        List<Appliance> withCapacity = candidates.stream()
                .filter(appliance -> concurrencyLimits.hasCapacity(appliance.limit, rpc)).toList();
        if (withCapacity.isEmpty()) {
            return null;
        }
        Appliance first = withCapacity.get((int) (random.nextUniform() * withCapacity.size()));
        Appliance second = withCapacity.get((int) (random.nextUniform() * withCapacity.size()));
        return load(second) < load(first) ? second : first;
    }

    private double load(Appliance appliance) {
        // Fast failures make it look lightly loaded.
        double successShare = Math.max(WorkEstimate.SMOOTHING, 1 - appliance.failureShare);
        double inFlight = appliance.limit.inFlight + appliance.othersInFlight + 1;
        return inFlight * appliance.latencyRatio / coldStartLimit.warmth(appliance) / successShare / successShare;
    }
}
