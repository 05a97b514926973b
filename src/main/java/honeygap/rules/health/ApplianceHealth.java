package honeygap.rules.health;

import honeygap.fleet.*;
import honeygap.rules.work.WorkEstimate;

/** Which appliances and locations are sick, silent or slow, and whose RPCs are bad themselves? */
public record ApplianceHealth(Fleet fleet) {

    /** Share of a customer's picks that must fail at earlier builds before its failures say nothing. */
    private static final double FAILING_SHARE = 0.2;
    private static final double FAST_SMOOTHING = 1.0 / 8;
    /** Silent picks in a row before an appliance is left out, and for how many usual times of its methods. */
    private static final int UNANSWERED_TO_AVOID = 2;
    private static final double AVOID_MEAN_LATENCIES = 8;

    /**
     * Shares of failures of the appliance and, at earlier builds, of the customer; false for a failure of an
     * RPC that is bad itself: no evidence, no further picks. Harm: the customer's good ones get one pick too.
     */
    public boolean recordAnswer(Pick pick, boolean failed) {
        Tenant tenant = pick.rpc.tenant;
        int failure = failed ? 1 : 0;
        tenant.failureShare += pick.build != fleet.evaluatedBuild ? FAST_SMOOTHING * (failure - tenant.failureShare) : 0;
        boolean isEvidence = !failed || !isFailingTenant(tenant);
        pick.appliance.failureShare += isEvidence ? FAST_SMOOTHING * (failure - pick.appliance.failureShare) : 0;
        return isEvidence;
    }

    public static boolean isFailingTenant(Tenant tenant) {
        return tenant.failureShare > FAILING_SHARE;
    }

    public void pickEnded(Pick pick, int outcome, long latency) {
        Appliance appliance = pick.appliance;
        if (outcome == Pick.OK) {
            appliance.consecutiveUnanswered = 0;
            appliance.avoidedUntil = Fleet.LONG_AGO;
            if (pick.rpc.method.meanLatency > 0) {
                appliance.latencyRatio += 2 * WorkEstimate.SMOOTHING * (latency / WorkEstimate.expectedLatency(pick.rpc) - appliance.latencyRatio);
            }
        } else if (outcome == Pick.TIMEOUT || outcome == Pick.CONNECT_FAILED
                || outcome == Pick.ERROR && isOutlier(appliance)) {
            Method method = pick.rpc.method;
            if (++appliance.consecutiveUnanswered >= UNANSWERED_TO_AVOID) {
                double latencies = AVOID_MEAN_LATENCIES * (1 << Math.min(3, appliance.consecutiveUnanswered - UNANSWERED_TO_AVOID));
                double meanLatency = Math.max(method.meanLatency, method.softDeadline / 4);
                appliance.avoidedUntil = fleet.now + (long) (latencies * meanLatency);
            }
        } else if (outcome != Pick.CANCELLED && outcome != Pick.MOOT) {
            appliance.consecutiveUnanswered = 0;
        }
    }

    /** The machine is sick, not its build. Harm: a build that fails at one of its first is judged later. */
    public boolean isOutlier(Appliance appliance) {
        double others = fleet.appliances.stream().filter(a -> a != appliance && a.build == appliance.build)
                .mapToDouble(a -> a.failureShare).average().orElse(1);
        return appliance.failureShare > Math.max(FAILING_SHARE, WorkEstimate.SLOW_RATIO * others);
    }

    public void recordZoneLatency(Location zone, Rpc rpc, int outcome, long latency) {
        boolean isOk = outcome == Pick.OK;
        if (rpc.method.meanLatency > 0 && (isOk || outcome == Pick.TIMEOUT || outcome == Pick.CONNECT_FAILED)) {
            double ratio = Math.max(latency / WorkEstimate.expectedLatency(rpc), isOk ? 0 : 2 * WorkEstimate.SLOW_RATIO);
            zone.latencyRatio += FAST_SMOOTHING * (Math.min(ratio, 4 * WorkEstimate.SLOW_RATIO) - zone.latencyRatio);
        }
    }

    /**
     * A location whose answers take far longer than the best one's is left out but for a pick now and then.
     * Guards against slow, lossy or cut links and slowness of one place. Harm: the others carry its part.
     */
    public boolean isZoneAvoided(Location zone) {
        return fleet.zones.stream().anyMatch(other -> zone.latencyRatio > WorkEstimate.SLOW_RATIO * other.latencyRatio);
    }

    /** Is the appliance left out for now, or was it tried for this RPC? Then it is a last resort. */
    public boolean isAvoided(Appliance appliance, Rpc rpc) {
        Location zone = appliance.zone;
        return fleet.now < appliance.avoidedUntil
                || isZoneAvoided(zone) && fleet.now < zone.lastPickAt + AVOID_MEAN_LATENCIES * rpc.method.softDeadline
                || appliance.consecutiveUnanswered >= UNANSWERED_TO_AVOID && appliance.room.out > 0
                || rpc.picks.stream().anyMatch(pick -> pick.appliance == appliance);
    }
}
