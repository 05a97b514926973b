package honeygap.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Events that occur between two steps of a connection to an appliance or of the list; docs/crossings.md lists them.
 */
class RaceConditionTest extends Loopback {

    private static final String ASK_MODE = "'RegistryMode':'ask',", PUSH_MODE = "'RegistryMode':'push','Rules':{},";

    private static String[] commaSeparated(String list) {
        return list.split(",");
    }

    /**
     * The list changes while a connection is being established: the RPC goes to the address now listed or is pushed
     * back.
     */
    @ParameterizedTest
    @CsvSource({"DRAINING,53300,0", "DELETED,53300,0", "moved,ok:v2,1", "SERVING,ok:v1,0"})
    void listChangesWhileConnecting(String change, String answer, int atOther) throws Exception {
        FakeAppliance appliance = new FakeAppliance("startupwaits ok");
        FakeAppliance other = new FakeAppliance("ok");
        other.value = "v2";
        FakeDiscovery list = new FakeDiscovery();
        FakeServer refusing = new FakeServer("refused");
        start(entry("s-1", appliance, "SERVING", 1), ASK_MODE + "'Ceilings':{'MaxAttempts':2,'RetryAfter':true,"
                + "'ConnectTimeoutNs':2000000000},", list, refusing, 1024);
        TestClient client = new TestClient().handshake();
        client.out.write(query(statement("assign", 2500)));
        while (appliance.connections.get() == 0) {
            Thread.onSpinWait();
        }
        boolean isMoved = change.equals("moved");
        list.publish(43, false, entry("s-1", isMoved ? other : appliance, isMoved ? "SERVING" : change, isMoved ? 2 : 1));
        awaitCounter("list", "version", 43);
        appliance.scripts[0] = "ok";
        appliance.released.countDown();
        assertEquals(answer, client.readAnswer());
        assertEquals(atOther, other.received.size());
        assertEquals(change.equals("SERVING") ? 1 : 0, appliance.received.size());
    }

    /** An appliance moves to another address with another build while an RPC is open at the previous process. */
    @Test
    void poolOfPreviousProcess() throws Exception {
        FakeAppliance before = new FakeAppliance("delayed ok");
        FakeAppliance after = new FakeAppliance("ok");
        after.value = "v2";
        FakeDiscovery list = new FakeDiscovery();
        FakeServer refusing = new FakeServer("refused");
        start(entry("s-1", before, "SERVING", 1), ASK_MODE, list, refusing, 1024);
        TestClient client = new TestClient().handshake();
        client.out.write(query(statement("assign", 2500)));
        while (before.received.isEmpty()) {
            Thread.onSpinWait();
        }
        list.publish(43, false, entry("s-1", after, "SERVING", 2));
        awaitCounter("list", "version", 43);
        before.released.countDown();
        assertEquals("ok:v1", client.readAnswer());
        assertEquals("ok:v2", client.call("assign", 900));
        assertEquals(1, before.received.size());
    }

    /** A duplicate answer some milliseconds late, after the next RPC was read, is not taken for the next answer. */
    @Test
    void duplicateAnswer() throws Exception {
        FakeAppliance appliance = new FakeAppliance("duplicate delayed");
        FakeServer refusing = new FakeServer("refused");
        // The pause after an answer is two ticks of the agent; long ticks make the order of events deterministic.
        start(entry("s-1", appliance, "SERVING", 1), "'TickNs':400000000,", refusing, refusing, 1024);
        TestClient client = new TestClient().handshake();
        assertEquals("ok:v1", client.call("assign", 2900));
        appliance.value = "v2";
        client.out.write(query(statement("next", "assign", 2900)));
        awaitCounter("clients", "open RPCs", 1);
        appliance.sendDuplicate.run();
        appliance.released.countDown();
        assertEquals("ok:v2", client.readAnswer());
    }

    /** The appliance closes an idle connection while the next RPC is being read: the RPC uses another connection. */
    @Test
    void idleConnectionClosed() throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        FakeServer refusing = new FakeServer("refused");
        configure(entry("s-1", appliance, "SERVING", 1), "", refusing, refusing, 1024);
        onRead(text -> {
            if (text.contains("id=next,")) {
                appliance.closeConnections();
            }
        });
        agent.start();
        TestClient client = new TestClient().handshake();
        assertEquals("ok:v1", client.call("assign", 900));
        // Until the pause after the answer is over the connection would not be reused anyway.
        long pauseEnd = System.nanoTime() + 20_000_000;
        while (System.nanoTime() < pauseEnd) {
            Thread.onSpinWait();
        }
        assertEquals("ok:v1", client.withId("next").call("assign", 900));
        assertEquals(2, appliance.connections.get());
    }

    /**
     * A connect that never completes, while its RPC times out or its client leaves: the RPC is answered in time, and
     * others are served.
     */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void connectNeverCompletes(boolean clientStays) throws Exception {
        FakeAppliance healthy = new FakeAppliance("ok");
        ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        resources.add(unresponsive);
        // Fills the accept queue of one entry, to which the system adds another: further connects get no response.
        for (int i = 0; i < 2; i++) {
            resources.add(new Socket(unresponsive.getInetAddress(), unresponsive.getLocalPort()));
        }
        FakeServer refusing = new FakeServer("refused");
        FakeDiscovery list = new FakeDiscovery();
        String unresponsiveEntry = entry("s-1", healthy, "SERVING", 1).replace(healthy.address(),
                "127.0.0.1:" + unresponsive.getLocalPort());
        start(unresponsiveEntry, ASK_MODE + "'Ceilings':{'MaxAttempts':2,'RetryAfter':true,'ConnectTimeoutNs':5000000000},",
                list, refusing, 1024);
        TestClient client = new TestClient().handshake();
        long start = System.nanoTime();
        client.out.write(query(statement("assign", 600)));
        awaitCounter("links", "opened", 1);
        if (clientStays) {
            // At its deadline and never sent: no time is left to ask the client to retry.
            assertEquals("58000", client.readAnswer());
            assertTrue(System.nanoTime() - start < 650_000_000, "answered within the deadline");
        } else {
            client.close();
        }
        list.publish(43, false, entry("s-2", healthy, "SERVING", 1), unresponsiveEntry.replace("SERVING", "DRAINING"));
        awaitCounter("list", "version", 43);
        assertEquals("ok:v1", callUntil("ok:v1"));
        assertEquals(0, counter("clients", "open RPCs"));
    }

    /** Formats of the list that a discovery service may send, pushed or fetched; checked by where RPCs go then. */
    @ParameterizedTest
    @CsvSource({"ask,INDENTED", "push,INDENTED", "push,LINE", "ask,CUT INDENTED", "ask,CUT-HEARTBEATS INDENTED",
        "push,MIDDLE LINE", "ask,EMPTY LINE", "push,THOUSANDS", "ask,THOUSANDS-INDENTED", "push,reset LINE",
        "push,503 LINE", "ask,CUT reset LINE"})
    void listFormats(String mode, String scripts) throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        FakeServer refusing = new FakeServer("refused");
        String document = "{'index':42,'snapshot':true,'endpoints':[" + entry("s-1", appliance, "SERVING", 1) + "]}";
        StringBuilder entries = new StringBuilder();
        for (int i = 0; i < 5000; i++) {
            entries.append(entry("gone-" + i, appliance, "DRAINING", 1)).append(',');
        }
        String thousands = document.replace("[", "[" + entries);
        String indented = indented(document);
        FakeServer list = new FakeServer(scripts) {
            @Override
            void play(Socket socket, DataInputStream in, OutputStream out) throws IOException {
                readRequest(in);
                String script = nextScript();
                received.add(script);
                if (script.equals("reset") || script.equals("503")) {
                    out.write((script.equals("reset") ? "" : "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
                    socket.close();
                    return;
                }
                String body = switch (script) {
                    case "INDENTED" -> indented;
                    case "CUT" -> indented.substring(0, indented.length() / 2);
                    case "CUT-HEARTBEATS" -> indented.substring(0, indented.indexOf("\n  ") + 1) + "\n\n";
                    case "MIDDLE" -> document.substring(0, document.length() / 2);
                    case "EMPTY" -> "{'index':41,'snapshot':true,'endpoints':[]";
                    case "THOUSANDS" -> thousands + "\n";
                    case "THOUSANDS-INDENTED" -> indented(thousands);
                    default -> document + "\n";
                };
                out.write(("HTTP/1.1 200 OK\r\n\r\n" + body.replace('\'', '"')).getBytes(StandardCharsets.UTF_8));
                if (script.equals("CUT") || script.equals("EMPTY")) {
                    socket.close();
                } else {
                    in.read();
                }
            }
        };
        start(entry("s-1", refusing, "SERVING", 1), mode.equals("ask") ? ASK_MODE : PUSH_MODE, list, refusing, 1024);
        assertEquals("ok:v1", callUntil("ok:v1"));
        assertEquals(List.of(commaSeparated(scripts.replace(' ', ','))), new ArrayList<>(list.received));
    }

    private static String indented(String document) {
        return document.replace("{", "{\n  ").replace(",", ",\n  ").replace("}", "\n}") + "\n";
    }

    /**
     * A watch that delivers only heartbeats, at intervals longer than the list may remain unconfirmed, is kept open.
     */
    @ParameterizedTest
    @CsvSource({"ask", "push"})
    void heartbeatsOnly(String mode) throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        FakeDiscovery list = new FakeDiscovery();
        start(entry("s-1", appliance, "SERVING", 1), "'RegistryMode':'" + mode + "','Rules':{'MustAskInNs':400000000},",
                list, new FakeServer("refused"), 1024);
        while (list.heartbeats.get() < 3) {
            Thread.onSpinWait();
        }
        assertEquals(1, list.received.size());
        list.publish(43, false, entry("s-1", appliance, "DRAINING", 1));
        awaitCounter("list", "version", 43);
        assertEquals(0, counter("list", "failures"));
    }

    /** A snapshot older than the changes does not restore a drained appliance; a second such snapshot is accepted. */
    @Test
    void outdatedSnapshot() throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        FakeServer refusing = new FakeServer("refused");
        FakeDiscovery list = new FakeDiscovery();
        start(entry("s-1", appliance, "SERVING", 1), ASK_MODE, list, refusing, 1024);
        list.publish(43, false, entry("s-1", appliance, "DRAINING", 1));
        awaitCounter("list", "version", 43);
        list.publish(42, true, entry("s-1", appliance, "SERVING", 1));
        awaitCounter("list", "older", 1);
        assertEquals(43, counter("list", "version"));
        // The agent has requested the list again.
        while (list.received.size() < 2) {
            Thread.onSpinWait();
        }
        assertEquals("53300+", new TestClient().handshake().call("assign", 900));
        list.publish(42, true, entry("s-1", appliance, "SERVING", 1));
        assertEquals("ok:v1", callUntil("ok:v1"));
        assertEquals(42, counter("list", "version"));
    }

    /** A drain in an outdated snapshot is applied, though nothing else in it is. */
    @Test
    void drainInOutdatedSnapshot() throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        FakeServer refusing = new FakeServer("refused");
        FakeDiscovery list = new FakeDiscovery();
        start(entry("s-1", appliance, "SERVING", 1), ASK_MODE, list, refusing, 1024);
        list.publish(43, false, entry("s-2", appliance, "DRAINING", 1));
        awaitCounter("list", "version", 43);
        list.publish(42, true, entry("s-1", appliance, "DRAINING", 1), entry("s-2", appliance, "SERVING", 1));
        awaitCounter("list", "older", 1);
        assertEquals("53300+", new TestClient().handshake().call("assign", 900));
        assertEquals(43, counter("list", "version"));
    }

    /**
     * A malformed entry affects only itself: a drain in the same document is applied, and the appliance it names
     * stays.
     */
    @ParameterizedTest
    @ValueSource(strings = {"'status':'RESTING'", "'status':7", "'status':'SERVING','address':'nowhere'",
        "'status':'SERVING','group':'x'", "'since_ms':'soon','status':'SERVING'", "'release':[],'status':'SERVING'"})
    void malformedEntry(String fields) throws Exception {
        for (boolean isSnapshot : new boolean[] {false, true}) {
            FakeAppliance draining = new FakeAppliance("ok");
            FakeAppliance serving = new FakeAppliance("ok");
            serving.value = "v2";
            FakeServer refusing = new FakeServer("refused");
            FakeDiscovery list = new FakeDiscovery();
            start(entry("s-1", draining, "SERVING", 1) + "," + entry("s-2", serving, "SERVING", 1), ASK_MODE,
                list, refusing, 1024);
            list.publish(43, isSnapshot, "{'name':'s-2','address':'" + serving.address() + "'," + fields + "}",
                    entry("s-1", draining, "DRAINING", 1));
            awaitCounter("list", "version", 43);
            TestClient client = new TestClient().handshake();
            for (int i = 0; i < 10; i++) {
                assertEquals("ok:v2", client.call("assign", 900), fields + ", snapshot: " + isSnapshot);
            }
            assertEquals(1, counter("list", "unreadable entries"));
            assertEquals(0, counter("list", "failures"));
            agent.close();
        }
    }

    /**
     * An entry without a name might be any appliance: a snapshot with one removes nothing, but its drains are
     * applied.
     */
    @Test
    void entryWithoutName() throws Exception {
        FakeAppliance draining = new FakeAppliance("ok");
        FakeAppliance serving = new FakeAppliance("ok");
        serving.value = "v2";
        FakeServer refusing = new FakeServer("refused");
        FakeDiscovery list = new FakeDiscovery();
        start(entry("s-1", draining, "SERVING", 1) + "," + entry("s-2", serving, "SERVING", 1), ASK_MODE,
                list, refusing, 1024);
        list.publish(43, true, "7", entry("s-1", draining, "DRAINING", 1));
        awaitCounter("list", "version", 43);
        TestClient client = new TestClient().handshake();
        for (int i = 0; i < 10; i++) {
            assertEquals("ok:v2", client.call("assign", 900));
        }
    }

    /** Each failed request is counted by its cause. */
    @ParameterizedTest
    @CsvSource({"refused,failed: unreachable", "reset,failed: closed", "503,failed: status 503",
        "garbage,failed: unreadable"})
    void failedCallsByKind(String script, String counter) throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        FakeServer list = new FakeServer(script) {
            @Override
            void play(Socket socket, DataInputStream in, OutputStream out) throws IOException {
                readRequest(in);
                out.write((switch (script) {
                    case "503" -> "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n";
                    case "garbage" -> "neither this nor that\r\n\r\n";
                    default -> "";
                }).getBytes(StandardCharsets.US_ASCII));
                socket.close();
            }
        };
        start(entry("s-1", appliance, "SERVING", 1), PUSH_MODE, list, new FakeServer("refused"), 1024);
        while (counter("list", counter) == 0) {
            Thread.onSpinWait();
        }
        assertTrue(counter("list", "failures") >= counter("list", counter));
    }

    /**
     * Changes during a reload that moves discovery: those from the old address are ignored, those from the new one
     * are applied.
     */
    @Test
    void changesDuringReload() throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        FakeAppliance other = new FakeAppliance("ok");
        other.value = "v2";
        FakeServer refusing = new FakeServer("refused");
        FakeDiscovery oldList = new FakeDiscovery();
        FakeDiscovery newList = new FakeDiscovery();
        start(entry("s-1", appliance, "SERVING", 1), ASK_MODE, oldList, refusing, 1024);
        oldList.publish(43, false, entry("s-1", appliance, "DRAINING", 1));
        awaitCounter("list", "version", 43);
        LoopPause pause = new LoopPause(() -> { });
        agent.reload(List.of(() -> queries.reload(fields("{'discovery':'" + newList.address()
                + "','rollouts':{'address':'" + refusing.address() + "'}}"))));
        oldList.publish(50, false, entry("s-1", appliance, "SERVING", 1));
        newList.publish(7, true, entry("s-1", other, "SERVING", 1));
        pause.close();
        assertEquals("ok:v2", callUntil("ok:v2"));
        assertEquals(7, counter("list", "version"));
        assertTrue(newList.received.peek().contains("index="), "requests the changes");
    }
}
