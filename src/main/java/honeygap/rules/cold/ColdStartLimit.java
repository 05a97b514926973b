package honeygap.rules.cold;

import honeygap.fleet.*;
import honeygap.rules.work.WorkEstimate;
import honeygap.terms.Cold;

/** What does an appliance that has just started bear from this agent? */
public record ColdStartLimit(Fleet fleet, Chance random, Cold settings) {

    /** How much of what a cold appliance can bear is used: chance, and work that was not foreseen. */
    private static final double COLD_SAFETY = 0.6;

    public void rpcReceived(Rpc rpc) {
        fleet.receivedWork += WorkEstimate.expectedWork(rpc);
    }

    public void pickAnswered(Pick pick) {
        fleet.warmAnsweredWork += pick.cold ? 0 : WorkEstimate.expectedWork(pick.rpc);
    }

    public void updateWorkRate(long since) {
        long warm = fleet.appliances.stream().filter(a -> a.state == Appliance.UP && warmth(a) >= 1).count();
        if (since > Fleet.LONG_AGO && (warm * 2 > fleet.appliances.size() || fleet.warmWorkRate == 0)) {
            double work = fleet.warmAnsweredWork > 0 ? fleet.warmAnsweredWork : fleet.receivedWork;
            double rate = work / (fleet.now - since) / Math.max(1, fleet.appliances.size());
            fleet.warmWorkRate += (fleet.warmWorkRate > 0 ? WorkEstimate.RATE_SMOOTHING : 1) * (rate - fleet.warmWorkRate);
        }
        fleet.warmAnsweredWork = 0;
        fleet.receivedWork = 0;
    }

    /** Part of its full capacity that the appliance surely has. */
    public double warmth(Appliance appliance) {
        long age = Math.max(0, fleet.now - appliance.startedAt);
        return age >= settings.warmAfter() ? 1 : settings.initialCapacity() + (1 - settings.initialCapacity()) * age / settings.warmAfter();
    }

    /**
     * Guards against pushing a cold appliance over: credit grows by a part of what a warm one gets through
     * this agent, from a first one drawn evenly up to one pick. So any number of agents that hear of the
     * start together spread their picks, and all keeping to their part, all together do.
     */
    public boolean allows(Appliance appliance, Rpc rpc) {
        double warmth = warmth(appliance);
        // One pick at a time: a build that needs more work outruns the budget, but not this.
        if (warmth >= 1 || appliance.room.out > 0) {
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
