package honeygap.rules.health;

import honeygap.fleet.*;
import honeygap.rules.work.WorkEstimate;

/** Detects appliances and zones that fail, do not respond or are slow, and tenants whose RPCs fail everywhere. */
public record ApplianceHealth(Fleet fleet) {

    /** A tenant whose share of failures at earlier builds is above this is failing: its failures are no evidence. */
    private static final double FAILING_SHARE = 0.2;
    /** Smoothing of failure shares and zone latencies, which have to react faster than the other means. */
    private static final double FAST_SMOOTHING = 1.0 / 8;
    /** Unanswered picks in a row before an appliance is avoided, and for how many mean latencies of the method. */
    private static final int UNANSWERED_TO_AVOID = 2;
    private static final double AVOID_MEAN_LATENCIES = 8;

    /**
     * Updates the failure shares of the appliance and, at earlier builds, of the tenant. False for a failure of a
     * failing tenant's RPC, which is no evidence and is not retried. Drawback: the tenant's valid RPCs are not
     * retried either.
     */
    public boolean recordAnswer(Pick pick, boolean failed) {
        Tenant tenant = pick.rpc.tenant;
        int failure = failed ? 1 : 0;
        tenant.failureShare += pick.build != fleet.evaluatedBuild
                ? FAST_SMOOTHING * (failure - tenant.failureShare) : 0;
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
                appliance.latencyRatio += 2 * WorkEstimate.SMOOTHING
                        * (latency / WorkEstimate.expectedLatency(pick.rpc) - appliance.latencyRatio);
            }
        } else if (outcome == Pick.TIMEOUT || outcome == Pick.CONNECT_FAILED
                || outcome == Pick.ERROR && isOutlier(appliance)) {
            Method method = pick.rpc.method;
            if (++appliance.consecutiveUnanswered >= UNANSWERED_TO_AVOID) {
                double latencies = AVOID_MEAN_LATENCIES
                        * (1 << Math.min(3, appliance.consecutiveUnanswered - UNANSWERED_TO_AVOID));
                double meanLatency = Math.max(method.meanLatency, method.softDeadline / 4);
                appliance.avoidedUntil = fleet.now + (long) (latencies * meanLatency);
            }
        } else if (outcome != Pick.CANCELLED && outcome != Pick.NOT_EXECUTED) {
            appliance.consecutiveUnanswered = 0;
        }
    }

    /**
     * Whether the appliance fails far more than the others of its build, so that the machine is to blame and not the
     * build. Drawback: a bad build that fails on one of its first appliances is detected later.
     */
    public boolean isOutlier(Appliance appliance) {
        double others = fleet.appliances.stream().filter(a -> a != appliance && a.build == appliance.build)
                .mapToDouble(a -> a.failureShare).average().orElse(1);
        return appliance.failureShare > Math.max(FAILING_SHARE, WorkEstimate.SLOW_RATIO * others);
    }

    /** Updates the latency ratio of a zone; a pick without an answer counts as at least six times too slow. */
    public void recordZoneLatency(Zone zone, Rpc rpc, int outcome, long latency) {
        boolean isOk = outcome == Pick.OK;
        if (rpc.method.meanLatency > 0 && (isOk || outcome == Pick.TIMEOUT || outcome == Pick.CONNECT_FAILED)) {
            double ratio = Math.max(latency / WorkEstimate.expectedLatency(rpc),
                    isOk ? 0 : 2 * WorkEstimate.SLOW_RATIO);
            zone.latencyRatio += FAST_SMOOTHING * (Math.min(ratio, 4 * WorkEstimate.SLOW_RATIO) - zone.latencyRatio);
        }
    }

    /**
     * Whether the answers from the zone take far longer than those from the best one; it then receives only an
     * occasional pick. Handles slow, lossy or broken network links and slowness of one zone. Drawback: the other
     * zones have to carry its load.
     */
    public boolean isZoneAvoided(Zone zone) {
        return fleet.zones.stream().anyMatch(other -> zone.latencyRatio > WorkEstimate.SLOW_RATIO * other.latencyRatio);
    }

    /** Whether the appliance is avoided for now or was already tried for this RPC; then it is a last resort. */
    public boolean isAvoided(Appliance appliance, Rpc rpc) {
        Zone zone = appliance.zone;
        return fleet.now < appliance.avoidedUntil
                || isZoneAvoided(zone) && fleet.now < zone.lastPickAt + AVOID_MEAN_LATENCIES * rpc.method.softDeadline
                || appliance.consecutiveUnanswered >= UNANSWERED_TO_AVOID && appliance.limit.inFlight > 0
                || rpc.picks.stream().anyMatch(pick -> pick.appliance == appliance && !pick.isWithdrawn);
    }
}
