package honeygap.rules.coldstart;

import honeygap.fleet.*;
import honeygap.rules.work.WorkEstimate;
import honeygap.settings.ColdStartSettings;

/** Limits the work that this agent sends to an appliance that has just started. */
public record ColdStartLimit(Fleet fleet, RandomSource random, ColdStartSettings settings) {

    /** Share of a cold appliance's capacity that is used; the rest covers random peaks and unforeseen work. */
    private static final double COLD_SAFETY = 0.6;

    public void rpcReceived(Rpc rpc) {
        fleet.receivedWork += WorkEstimate.expectedWork(rpc);
    }

    public void pickDecided(Pick pick) {
        pick.appliance.coldCredit -= pick.cold ? WorkEstimate.expectedWork(pick.rpc) : 0;
    }

    /** Credit accrues from when the pick is sent, not from when it was decided. */
    public void pickSent(Pick pick) {
        if (pick.cold) {
            pick.appliance.coldCreditAt = fleet.now;
        }
    }

    /** The work of a pick that ended before it was sent has not reached the appliance. */
    public void pickEndedUnsent(Pick pick) {
        pick.appliance.coldCredit += pick.cold ? WorkEstimate.expectedWork(pick.rpc) : 0;
    }

    public void pickAnswered(Pick pick) {
        fleet.warmAnsweredWork += pick.cold ? 0 : WorkEstimate.expectedWork(pick.rpc);
    }

    /** Updates the work rate of a warm appliance from the second that began at {@code since}. */
    public void updateWorkRate(long since) {
        long warm = fleet.appliances.stream().filter(a -> a.state == Appliance.UP && warmth(a) >= 1).count();
        if (since > Fleet.LONG_AGO && (warm * 2 > fleet.appliances.size() || fleet.warmWorkRate == 0)) {
            double work = fleet.warmAnsweredWork > 0 ? fleet.warmAnsweredWork : fleet.receivedWork;
            double rate = work / (fleet.now - since) / Math.max(1, fleet.appliances.size());
            fleet.warmWorkRate +=
                    (fleet.warmWorkRate > 0 ? WorkEstimate.RATE_SMOOTHING : 1) * (rate - fleet.warmWorkRate);
        }
        fleet.warmAnsweredWork = 0;
        fleet.receivedWork = 0;
    }

    /** Share of its full capacity that the appliance has at least. */
    public double warmth(Appliance appliance) {
        long age = Math.max(0, fleet.now - appliance.startedAt);
        return age >= settings.warmAfter() ? 1
                : settings.initialCapacity() + (1 - settings.initialCapacity()) * age / settings.warmAfter();
    }

    /**
     * Whether the appliance may receive the RPC. Prevents the overload of a cold appliance: each agent accrues
     * credit for it at a share of the rate at which it sends work to a warm one. The initial credit is uniform
     * between zero and one pick, so that agents that learn of the start at the same time spread their picks.
     * As each agent stays within its share, all agents together stay within the appliance's capacity.
     */
    public boolean allows(Appliance appliance, Rpc rpc) {
        double warmth = warmth(appliance);
        // One pick at a time: a build that needs more work for an RPC than expected exceeds the credit, but not this.
        if (warmth >= 1 || appliance.limit.inFlight > 0) {
            return warmth >= 1;
        }
        double cost = WorkEstimate.expectedWork(rpc);
        double rate = COLD_SAFETY * settings.overloadMultiple() * warmth * fleet.warmWorkRate;
        if (appliance.coldCreditAt != fleet.now) {
            appliance.coldCredit = appliance.coldCreditAt < appliance.startedAt ? random.nextUniform() * cost
                    : Math.min(cost, appliance.coldCredit + rate * (fleet.now - appliance.coldCreditAt));
            appliance.coldCreditAt = fleet.now;
        }
        return appliance.coldCredit >= cost;
    }
}
