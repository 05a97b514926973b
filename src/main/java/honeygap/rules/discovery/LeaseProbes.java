package honeygap.rules.discovery;

import honeygap.fleet.Appliance;
import honeygap.fleet.Chance;
import honeygap.fleet.Fleet;
import honeygap.terms.Listing;
import java.util.List;

/**
 * Which appliance to probe while there is no current list? An appliance that drains turns a probe away and one that serves
 * answers it, so that a few probes give an agent that has just started, or whose discovery has been gone for long, some
 * appliances to go on with. Probes cost the appliances work: none is sent while enough are known to serve.
 */
public final class LeaseProbes {

    /** So many appliances that are known to serve are enough to go on with. */
    static final int ENOUGH = 8;
    private static final int AT_ONCE = 4;
    /** Part of the lease before the same appliance is probed again. */
    private static final double AGAIN = 1.0 / 6;
    private static final long NEVER = Long.MAX_VALUE;

    private final Fleet fleet;
    private final Chance chance;
    private final Listing listing;
    private final ListLease lease;
    private int out;

    public LeaseProbes(Fleet fleet, Chance chance, Listing listing, ListLease lease) {
        this.fleet = fleet;
        this.chance = chance;
        this.listing = listing;
        this.lease = lease;
    }

    /** The appliance to be probed now, which counts as out from then on; null where none is. */
    public Appliance next() {
        if (!isWanted()) {
            return null;
        }
        List<Appliance> candidates = fleet.appliances.stream().filter(this::isCandidate).toList();
        if (candidates.isEmpty()) {
            return null;
        }
        Appliance probed = candidates.get((int) (chance.next() * candidates.size()));
        probed.probedAt = fleet.now;
        out++;
        return probed;
    }

    private boolean isWanted() {
        return listing.probes() && !lease.isConfirmed() && out < AT_ONCE && lease.covered() + out < ENOUGH;
    }

    private boolean isCandidate(Appliance appliance) {
        return appliance.state == Appliance.UP && !lease.covers(appliance)
                && fleet.now >= appliance.probedAt + (long) (AGAIN * listing.lease());
    }

    /** A probe that was sent then has ended; whether the appliance says that it serves. */
    public void ended(Appliance appliance, long sentAt, boolean serves) {
        out--;
        lease.probed(appliance, sentAt, serves);
    }

    /** When to look again, in the worst case. */
    public long wakeAt() {
        return listing.probes() && !lease.isConfirmed() ? fleet.now + Fleet.SECOND / 10 : NEVER;
    }
}
