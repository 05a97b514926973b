package honeygap.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** An agent sends to appliances only while its list, or their own answers, say that they still serve. */
class ListLeaseTest extends Loopback {

    private static final long LEASE_MS = 1000;
    /** Lists are asked for; a drain has a grace, and a list holds for {@link #LEASE_MS}. */
    private static final String SETTINGS = "'RegistryMode':'ask','Rules':{'StopSendingWithinNs':500000000,"
            + "'MustAskInNs':" + LEASE_MS + "000000},";

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    /** The list of the configuration may be older than any drain: nothing goes by it until discovery has confirmed it. */
    @Test
    void storedListIsUnusedUntilConfirmed() throws Exception {
        Fleet fleet = new Fleet("ok");
        start(entry("s-1", fleet, "SERVING", 1), SETTINGS, new StandIn("silent"), new StandIn("refused"), 1024);
        Caller caller = new Caller().hello();
        assertEquals("53300+", caller.ask("assign", 2000));
        assertEquals(0, fleet.heard.size());
    }

    @Test
    void confirmedListIsUsed() throws Exception {
        Fleet fleet = new Fleet("ok");
        Lister list = new Lister();
        list.tell(42, false);
        start(entry("s-1", fleet, "SERVING", 1), SETTINGS, list, new StandIn("refused"), 1024);
        assertEquals("ok:v1", askUntil("ok:v1"));
    }

    /** What an appliance has answered is known of it alone: the other may have begun to drain when discovery fell silent. */
    @Test
    void unconfirmedAppliancesAreDroppedAfterLease() throws Exception {
        Fleet used = new Fleet("ok");
        Fleet unused = new Fleet("ok");
        Lister list = new Lister();
        list.tell(42, false);
        start(entry("s-1", used, "SERVING", 1), SETTINGS, list, new StandIn("refused"), 1024);
        assertEquals("ok:v1", askUntil("ok:v1"));
        list.tell(43, false, entry("s-2", unused, "SERVING", 1));
        await("list", "version", 43);
        list.close();
        await("list", "failures", 1);
        long lostAtMs = nowMs();
        Caller caller = new Caller().hello();
        int sentWithinLease = 0;
        while (nowMs() < lostAtMs + 3 * LEASE_MS) {
            // Both get RPCs until the lease is over; from then on the one that has answered last.
            String response = caller.ask("assign", 500);
            assertTrue(response.startsWith("ok") || response.startsWith("53300"), response);
            if (nowMs() < lostAtMs + LEASE_MS) {
                sentWithinLease = unused.heard.size();
            }
            Thread.sleep(5);
        }
        assertTrue(sentWithinLease > 0);
        // It answered within the lease as well, so it is one of those that may go on; then none asks it for a lease long.
        int before = used.heard.size() + unused.heard.size();
        Thread.sleep(LEASE_MS + 200);
        assertEquals("53300+", caller.ask("assign", 2000));
        assertEquals(before, used.heard.size() + unused.heard.size());
    }
}
