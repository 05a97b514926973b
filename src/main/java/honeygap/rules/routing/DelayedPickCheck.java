package honeygap.rules.routing;

import honeygap.fleet.Appliance;
import honeygap.fleet.Build;
import honeygap.fleet.Fleet;
import honeygap.fleet.Pick;
import honeygap.fleet.Rpc;
import honeygap.rules.discovery.ListLease;
import honeygap.rules.exposure.ExposureLimit;
import honeygap.rules.shutdown.Shutdown;

/**
 * Decides whether a pick whose connection took time to become ready may still be sent. Every limit on what an appliance
 * receives is checked again, as the state it was decided on may have changed.
 */
public record DelayedPickCheck(Fleet fleet, ExposureLimit exposureLimit, RetryPolicy retryPolicy, ListLease lease,
                               Shutdown shutdown) {

    /** Whether the request of the pick may be written now. */
    public boolean maySend(Pick pick) {
        return pick.outcome == Pick.IN_FLIGHT && !pick.rpc.closed && isInTime(pick.rpc)
                && acceptsPicks(pick) && isWithinExposure(pick) && isSafeRetry(pick);
    }

    private boolean isInTime(Rpc rpc) {
        return fleet.now < shutdown.deadline(rpc) - 2 * fleet.tick;
    }

    /** Whether the appliance is still the one that was picked, is known to serve and has not asked for a pause. */
    private boolean acceptsPicks(Pick pick) {
        Appliance appliance = pick.appliance;
        boolean isSame = appliance.build == pick.build && appliance.zone == pick.zone && appliance.cell == pick.cell;
        return isSame && appliance.state == Appliance.UP && lease.covers(appliance)
                && fleet.now >= appliance.retryAfterUntil
                && (fleet.now >= pick.zone.limitedUntil || pick.zone.inFlight <= pick.zone.maxInFlight);
    }

    private boolean isWithinExposure(Pick pick) {
        Build earliestBuild = exposureLimit.earliestBuildFor(pick.rpc);
        return (earliestBuild == null || pick.build.number >= earliestBuild.number)
                && exposureLimit.allowsSending(pick)
                && exposureLimit.canKeepKey(pick.build, pick.rpc);
    }

    private boolean isSafeRetry(Pick pick) {
        Pick mayHaveRun = RetryPolicy.firstThatMayHaveRun(pick.rpc);
        return retryPolicy.dropsDuplicate(pick.rpc, mayHaveRun, pick.appliance);
    }
}
