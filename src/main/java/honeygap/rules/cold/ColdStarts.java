package honeygap.rules.cold;

import honeygap.fleet.*;
import honeygap.rules.work.Work;
import honeygap.terms.Cold;

/** What does an appliance that has just started bear from this agent? */
public record ColdStarts(Fleet fleet, Chance chance, Cold cold) {

    /** How much of what a cold appliance can bear is used: chance, and work that was not foreseen. */
    private static final double COLD_SAFETY = 0.6;

    public void taken(Rpc rpc) {
        fleet.takenWork += Work.cost(rpc);
    }

    public void answered(Pick pick) {
        fleet.warmWork += pick.cold ? 0 : Work.cost(pick.rpc);
    }

    public void second(long since) {
        long warm = fleet.appliances.stream().filter(a -> a.state == Appliance.UP && warmth(a) >= 1).count();
        if (since > Fleet.LONG_AGO && (warm * 2 > fleet.appliances.size() || fleet.warmRate == 0)) {
            double work = fleet.warmWork > 0 ? fleet.warmWork : fleet.takenWork;
            double rate = work / (fleet.now - since) / Math.max(1, fleet.appliances.size());
            fleet.warmRate += (fleet.warmRate > 0 ? Work.RATE_FADE : 1) * (rate - fleet.warmRate);
        }
        fleet.warmWork = 0;
        fleet.takenWork = 0;
    }

    /** Part of its full capacity that the appliance surely has. */
    public double warmth(Appliance appliance) {
        long age = Math.max(0, fleet.now - appliance.startedAt);
        return age >= cold.warmAfter() ? 1 : cold.from() + (1 - cold.from()) * age / cold.warmAfter();
    }

    /**
     * Guards against pushing a cold appliance over: credit grows by a part of what a warm one gets through
     * this agent, from a first one drawn evenly up to one pick. So any number of agents that hear of the
     * start together spread their picks, and all keeping to their part, all together do.
     */
    public boolean bears(Appliance appliance, Rpc rpc) {
        double warmth = warmth(appliance);
        // One pick at a time: a build that needs more work outruns the budget, but not this.
        if (warmth >= 1 || appliance.room.out > 0) {
            return warmth >= 1;
        }
        double cost = Work.cost(rpc);
        double rate = COLD_SAFETY * cold.fallMultiple() * warmth * fleet.warmRate;
        if (appliance.creditAt != fleet.now) {
            appliance.credit = appliance.creditAt < appliance.startedAt ? chance.next() * cost
                    : Math.min(cost, appliance.credit + rate * (fleet.now - appliance.creditAt));
            appliance.creditAt = fleet.now;
        }
        return appliance.credit >= cost;
    }
}
