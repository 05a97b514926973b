package honeygap.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against clients and appliances that together make the agent hold more than its heap. */
class MemoryLimitTest extends Loopback {

    private static final int VALUE_BYTES = 65_536;

    private static byte[] largeRequest(String id, int deadlineMs) {
        return query("INSERT INTO kv (name, content) VALUES ('7f3a', '\\x" + "61".repeat(VALUE_BYTES)
                + "') RETURNING content /* id=" + id + ",c=assign,t=acme,d=" + deadlineMs + " */");
    }

    /** Whatever part of a request has come: it is given up for others, and counted, and what it took is free again. */
    @ParameterizedTest
    @ValueSource(ints = {4096, VALUE_BYTES, 2 * VALUE_BYTES})
    void incompleteRequestsMakeRoom(int part) throws Exception {
        heapBytes = 20L * part;
        start(new FakeAppliance("ok"));
        List<TestClient> stopped = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            TestClient client = new TestClient().handshake();
            stopped.add(client);
            client.out.write(Arrays.copyOf(largeRequest("s" + i, 900), part));
            assertEquals("ok:v1", new TestClient().handshake().withId("u" + i).call("read", 900), "usual request " + i);
        }
        for (TestClient client : stopped) {
            String ending = client.readAnswer();
            assertTrue(ending.equals("53300end") || ending.equals("08P01end"), ending);
        }
        assertTrue(counter("clients", "ended for memory") >= 20);
        while (counter("agent", "bytes held") > 0) {
            Thread.onSpinWait();
        }
    }

    /** With no memory at all, connections come to an end, and so does giving up what they hold. */
    @Test
    void connectionsEndWithoutAnyMemory() throws Exception {
        heapBytes = 0;
        start(new FakeAppliance("ok"));
        for (int i = 0; i < 10; i++) {
            TestClient client = new TestClient();
            client.out.write(STARTUP);
            client.close();
        }
        while (counter("clients", "here") > 0) {
            Thread.onSpinWait();
        }
        assertEquals(0, counter("agent", "bytes held"));
    }

    /** A request that was taken is kept and answered; another one that finds no room is told to come again. */
    @Test
    void openRequestIsKeptAndAnotherTurnedAway() throws Exception {
        heapBytes = 600_000;
        start(new FakeAppliance("silent"));
        TestClient open = new TestClient().handshake();
        open.out.write(largeRequest("o", 2900));
        awaitCounter("clients", "open RPCs", 1);
        TestClient other = new TestClient().handshake();
        other.out.write(largeRequest("x", 2900));
        assertEquals("53300end", other.readAnswer());
        assertEquals("58000", open.readAnswer());
        assertEquals(1, counter("clients", "ended for memory"));
        while (counter("agent", "bytes held") > 0) {
            Thread.onSpinWait();
        }
    }

    /** A client that stops in the middle of its second request is told so within three seconds, as after the first. */
    @Test
    void stoppedClientsAreEndedInTime() throws Exception {
        start(new FakeAppliance("ok"));
        TestClient client = new TestClient().handshake();
        assertEquals("ok:v1", client.call("read", 900));
        client.out.write(Arrays.copyOf(largeRequest("s", 900), 100));
        long stoppedAt = System.nanoTime();
        assertEquals("08P01end", client.readAnswer());
        long tookMs = (System.nanoTime() - stoppedAt) / 1_000_000;
        assertTrue(tookMs < 3000, "ended after " + tookMs + " ms");
    }
}
