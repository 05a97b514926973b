package honeygap.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that are sent on, or run a second time, after their client has closed its connection. */
class DepartedClientTest extends Loopback {

    private static final long MILLIS = 1_000_000;

    /** An id that may have run when its client left: what it gets when it comes again depends on its method. */
    @ParameterizedTest
    @CsvSource({"assign, 58000, 1", "book, ok:v1, 2", "read, ok:v1, 2"})
    void idComesAgainAfterItsClientLeft(String method, String answer, int statements) throws Exception {
        FakeAppliance appliance = new FakeAppliance("silent ok");
        start(appliance);
        TestClient leaving = new TestClient().handshake();
        leaving.out.write(query(statement("again", method, 2500)));
        awaitReceived(appliance, 1);
        leaving.close();
        awaitNoOpenRpc();
        TestClient next = new TestClient().withId("again").handshake();
        assertEquals(answer, next.call(method, 900));
        assertEquals(statements, appliance.received.size());
        assertEquals("ok:v1", next.withId("other").call("assign", 900));
    }

    /** The same for an answer that the client did not wait for, be it a row or an error. */
    @ParameterizedTest
    @CsvSource({"ok, assign, 58000, 1", "error, assign, 58000, 1", "full, assign, ok:v1, 3", "ok, book, ok:v1, 2",
        "ok, read, ok:v1, 2"})
    void idComesAgainAfterItsAnswerWasNotRead(String script, String method, String answer, int statements) throws Exception {
        FakeAppliance appliance = new FakeAppliance(script + (script.equals("full") ? " full ok" : " ok"));
        start(appliance);
        TestClient leaving = new TestClient().handshake();
        leaving.out.write(query(statement("again", method, 2500)));
        awaitReceived(appliance, script.equals("full") ? 2 : 1);
        awaitNoOpenRpc();
        leaving.close();
        while (counter("clients", "here") > 0) {
            Thread.onSpinWait();
        }
        assertEquals(answer, new TestClient().withId("again").handshake().call(method, 900));
        assertEquals(statements, appliance.received.size());
    }

    /** A connection that closes after the deadline of its last answer leaves nothing that counts as given up. */
    @Test
    void idIsFreeAfterTheDeadlineOfItsAnswer() throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        start(appliance);
        TestClient first = new TestClient().handshake();
        assertEquals("ok:v1", first.call("assign", 300));
        TimeUnit.MILLISECONDS.sleep(400);
        first.close();
        while (counter("clients", "here") > 0) {
            Thread.onSpinWait();
        }
        assertEquals(0, counter("core", "abandoned RPCs kept"));
        assertEquals("ok:v1", new TestClient().handshake().call("assign", 900));
    }

    /** A tokened id that comes again goes only to the zone of its first pick, where duplicates are dropped. */
    @Test
    void tokenedIdStaysInItsZone() throws Exception {
        String scripts = "silent ok";
        FakeAppliance[] appliances = {new FakeAppliance(scripts), new FakeAppliance(scripts)};
        FakeServer refusing = new FakeServer("refused");
        start(entry("s-1", appliances[0], "SERVING", 1) + "," + entry("s-2", appliances[1], "SERVING", 1)
                .replace("'zone':'a'", "'zone':'b'"), "", refusing, refusing, 512);
        TestClient leaving = new TestClient().handshake();
        leaving.out.write(query(statement("again", "book", 2500)));
        while (appliances[0].received.isEmpty() && appliances[1].received.isEmpty()) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        FakeAppliance first = appliances[appliances[0].received.isEmpty() ? 1 : 0];
        leaving.close();
        awaitNoOpenRpc();
        assertEquals("ok:v1", new TestClient().withId("again").handshake().call("book", 900));
        assertEquals(2, first.received.size());
    }

    /** Ten requests in line: those behind the open one never begin once the client has left. */
    @ParameterizedTest
    @ValueSource(ints = {0, 4096, 65_536})
    void requestsInLineAreNotBegunAfterTheClientLeft(int valueBytes) throws Exception {
        FakeAppliance appliance = new FakeAppliance("delayed ok");
        start(appliance);
        TestClient leaving = new TestClient().handshake();
        for (int i = 0; i < 10; i++) {
            leaving.out.write(large("line" + i, "assign", valueBytes));
        }
        awaitReceived(appliance, 1);
        leaving.close();
        awaitNoOpenRpc();
        appliance.released.countDown();
        assertEquals("ok:v1", new TestClient().withId("other").handshake().call("assign", 900));
        assertEquals(2, appliance.received.size());
    }

    /** With much in line, the close is known and no retry begins, although the appliance ends the first attempt later. */
    @ParameterizedTest
    @ValueSource(ints = {4096, 20_000, 65_536})
    void noRetryBeginsAfterTheClientLeft(int valueBytes) throws Exception {
        FakeAppliance appliance = new FakeAppliance("silent ok");
        start(appliance);
        TestClient leaving = new TestClient().handshake();
        for (int i = 0; i < 10; i++) {
            leaving.out.write(large("line" + i, "read", valueBytes));
        }
        awaitReceived(appliance, 1);
        leaving.close();
        long closedAt = System.nanoTime();
        awaitNoOpenRpc();
        long knownAfterMs = (System.nanoTime() - closedAt) / MILLIS;
        assertTrue(knownAfterMs < 100, "the close was known after ms: " + knownAfterMs);
        appliance.closeConnections();
        assertEquals("ok:v1", new TestClient().withId("other").handshake().call("assign", 900));
        assertEquals(2, appliance.received.size());
    }

    /** What is remembered of clients that left is bounded, under ids that are ever new too. */
    @Test
    void abandonedRpcsAreBounded() throws Exception {
        heapBytes = 32L * 512 * 50;
        start(new FakeAppliance("silent"));
        List<TestClient> leaving = new ArrayList<>();
        for (int i = 0; i < 80; i++) {
            TestClient client = new TestClient().handshake();
            client.out.write(query(statement("left" + i, "assign", 2900)));
            leaving.add(client);
            if (leaving.size() == 8) {
                awaitCounter("clients", "open RPCs", 8);
                for (TestClient each : leaving) {
                    each.close();
                }
                leaving.clear();
                awaitNoOpenRpc();
            }
        }
        assertTrue(counter("core", "abandoned RPCs kept") <= 50, counter("core", "abandoned RPCs kept") + " kept");
    }

    private static byte[] large(String id, String method, int valueBytes) {
        return query("INSERT INTO kv (name, content) VALUES ('7f3a', '\\x" + "61".repeat(valueBytes)
                + "') RETURNING content /* id=" + id + ",c=" + method + ",t=acme,d=2500 */");
    }

    private static void awaitReceived(FakeAppliance appliance, int statements) throws InterruptedException {
        while (appliance.received.size() < statements) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    private void awaitNoOpenRpc() throws Exception {
        while (counter("clients", "open RPCs") > 0) {
            Thread.onSpinWait();
        }
    }
}
