package honeygap.rules.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import honeygap.fleet.Appliance;
import honeygap.fleet.Build;
import honeygap.fleet.Chance;
import honeygap.fleet.Fleet;
import honeygap.fleet.Location;
import honeygap.fleet.Method;
import honeygap.terms.Listing;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which appliances are probed while there is no current list. Times are tenths of a millisecond. */
class LeaseProbesTest {

    private static final long SECOND = Fleet.SECOND;
    private static final int APPLIANCES = 40;

    private final Fleet fleet = new Fleet(0, 10, 100,
            List.of(new Method(0, Method.IDEMPOTENT, 0, 0, SECOND, 3 * SECOND, 1, 0)));
    private ListLease lease;
    private LeaseProbes probes;

    private void start(boolean mayProbe) {
        Build build = new Build(1, 1);
        fleet.listBegins(true, true);
        for (int i = 0; i < APPLIANCES; i++) {
            fleet.listed(new Appliance(i), build, new Location(), 0, i < APPLIANCES - 1 ? Appliance.UP
                    : Appliance.DRAINING, Fleet.LONG_AGO);
        }
        fleet.listEnds();
        Listing listing = new Listing(true, false, 10 * SECOND, mayProbe, 6 * SECOND);
        lease = new ListLease(fleet, listing);
        probes = new LeaseProbes(fleet, new Chance(7), listing, lease);
    }

    /** Enough are found with as many probes as there are appliances that serve, a few at a time. */
    @Test
    void findsEnoughAndStops() {
        start(true);
        Set<Appliance> probed = new HashSet<>();
        int most = 0;
        while (lease.covered() < LeaseProbes.ENOUGH) {
            List<Appliance> out = new java.util.ArrayList<>();
            for (Appliance one = probes.next(); one != null; one = probes.next()) {
                out.add(one);
                assertTrue(probed.add(one), "probed twice");
            }
            assertFalse(out.isEmpty());
            most = Math.max(most, out.size());
            out.forEach(one -> probes.ended(one, fleet.now, true));
        }
        assertEquals(LeaseProbes.ENOUGH, probed.size());
        assertEquals(4, most);
        assertNull(probes.next());
        assertTrue(lease.mayOpen());
        probed.forEach(one -> assertTrue(lease.covers(one)));
    }

    /** One that drains turns the probe away, and is asked again a second later at the earliest. */
    @Test
    void thoseThatDoNotServeAreAskedAgainLater() {
        start(true);
        int asked = 0;
        for (Appliance one = probes.next(); one != null; one = probes.next()) {
            probes.ended(one, fleet.now, false);
            asked++;
        }
        assertEquals(APPLIANCES - 1, asked, "all that the list says serve, each once");
        assertEquals(0, lease.covered());
        fleet.now = SECOND;
        assertNotNull(probes.next());
    }

    @Test
    void noneWithACurrentListOrWithoutLeave() {
        start(false);
        assertNull(probes.next());
        start(true);
        lease.confirmed(0);
        assertNull(probes.next());
        fleet.now = 6 * SECOND;
        assertNotNull(probes.next(), "the list's lease has ended");
    }
}
