package honeygap.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Agents that were told to end took RPCs seconds later, sent them on at once and waited for appliances that were still at work when
 * the process was killed: clients saw their connections end with no whole answer. An RPC's own deadline alone decided how long the agent
 * waited; nothing in it knew that the process would end. Shown by the appliances' records, which have each of those RPCs within 4 ms and
 * still unanswered, and by these rows: whatever way an RPC comes in after the signal, none was answered before the kill.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class KilledAfterSignalTest {

    /** Enough that there is room for every RPC at once. */
    private static final int APPLIANCES = 8;

    @TempDir
    private Path folder;

    private final List<AutoCloseable> open = new ArrayList<>();
    private final List<AgentProcess.Client> clients = new ArrayList<>();
    private HangingAppliance appliance;
    private AgentProcess agent;
    private int port;
    private long signalledAt;

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable one : open) {
            one.close();
        }
    }

    /**
     * RPCs that come on a connection opened while others' RPCs are open; on one that was opened just after the signal and has said
     * nothing since; as the rest of a request of which half came before the signal; behind a request that is open on its connection;
     * in line on a connection when the signal comes. The longest deadline of all methods, when SIGKILL comes at the earliest, and
     * when the RPCs come, in milliseconds after the signal.
     */
    @ParameterizedTest
    @CsvSource({"3000, 3700, 2300", "5000, 3700, 1500", "800, 1500, 900"})
    void everyRpcIsAnswered(int deadlineMs, int killMs, int arrivalMs) throws Exception {
        int requestMs = deadlineMs - 100;
        startAgent(deadlineMs);
        AgentProcess.Client queued = client();
        queued.send("first", requestMs);
        queued.send("second", requestMs);
        AgentProcess.Client pipelined = client();
        pipelined.send("open", requestMs);
        AgentProcess.Client partial = client();
        byte[] request = AgentProcess.Client.request("half", requestMs);
        int middle = request.length / 2;
        partial.write(Arrays.copyOf(request, middle));
        appliance.awaitRequests(2);
        signalledAt = System.nanoTime();
        agent.signal("TERM");
        AgentProcess.Client silent = AgentProcess.Client.connectOnly(port);
        open.add(silent);
        clients.add(silent);
        sleepUntil(arrivalMs);
        ignoringClosedConnection(() -> pipelined.send("pipelined", requestMs));
        ignoringClosedConnection(() -> partial.send("half", new byte[0], Arrays.copyOfRange(request, middle, request.length)));
        ignoringClosedConnection(() -> silent.send("silent", AgentProcess.Client.startup(), AgentProcess.Client.request("silent", requestMs)));
        ignoringClosedConnection(() -> client().send("new", requestMs));
        List<CompletableFuture<List<String>>> responses = new ArrayList<>();
        for (AgentProcess.Client client : clients) {
            responses.add(CompletableFuture.supplyAsync(client::unanswered, task -> new Thread(task).start()));
        }
        sleepUntil(killMs);
        agent.kill();
        List<String> unanswered = new ArrayList<>();
        for (CompletableFuture<List<String>> response : responses) {
            unanswered.addAll(response.get(20, TimeUnit.SECONDS));
        }
        agent.awaitExit();
        // One that was never read is its client's to send again.
        unanswered.removeIf(id -> !wasAccepted(id));
        assertEquals(List.of(), unanswered, () -> String.join("\n", agent.log));
    }

    /** Held up for as long as it must bear, across the shutdown deadline: what is open is answered before the kill. */
    @Test
    void suspendedAcrossTheDeadline() throws Exception {
        startAgent(5000);
        AgentProcess.Client client = client();
        client.send("open", 4900);
        appliance.awaitRequests(1);
        signalledAt = System.nanoTime();
        agent.signal("TERM");
        sleepUntil(3300);
        agent.signal("STOP");
        sleepUntil(3450);
        agent.signal("CONT");
        CompletableFuture<List<String>> response = CompletableFuture.supplyAsync(client::unanswered);
        sleepUntil(3700);
        agent.kill();
        List<String> unanswered = response.get(20, TimeUnit.SECONDS);
        agent.awaitExit();
        assertEquals(List.of(), unanswered, () -> String.join("\n", agent.log));
    }

    /** With nothing open it has ended by itself long before, and so it has where it was told to more than once. */
    @ParameterizedTest
    @ValueSource(strings = {"TERM", "TERM TERM HUP TERM"})
    void exitsBeforeTheKill(String signals) throws Exception {
        startAgent(3000);
        signalledAt = System.nanoTime();
        for (String signal : signals.split(" ")) {
            agent.signal(signal);
        }
        assertEquals(143, agent.awaitExit());
        long tookMs = (System.nanoTime() - signalledAt) / 1_000_000;
        assertTrue(tookMs < 3700, "ended after " + tookMs + " ms");
        assertTrue(agent.log.stream().anyMatch(line -> line.contains("shutdown: ends, nothing open")), agent.log.toString());
    }

    private interface IoAction {

        void run() throws IOException;
    }

    /** Where nobody listens any more, or the connection has been closed, its client goes elsewhere. */
    private static void ignoringClosedConnection(IoAction step) {
        try {
            step.run();
        } catch (IOException e) {
            // As said.
        }
    }

    private boolean wasAccepted(String id) {
        return appliance.hasReceived(id) || agent.log.stream().anyMatch(line -> line.contains("RPC " + id + " ")
                && line.contains(" taken "));
    }

    private void startAgent(int deadlineMs) throws IOException {
        appliance = new HangingAppliance();
        open.add(appliance);
        port = AgentProcess.freePort();
        Path config = Files.writeString(folder.resolve("agent.json"),
                AgentProcess.config(port, Collections.nCopies(APPLIANCES, appliance.port()), 1, 256, deadlineMs));
        agent = new AgentProcess(config, "");
        open.add(agent);
        assertNotNull(agent.readUntil("ready after"), agent.log.toString());
    }

    private AgentProcess.Client client() throws IOException {
        AgentProcess.Client client = new AgentProcess.Client(port);
        open.add(client);
        clients.add(client);
        return client;
    }

    private void sleepUntil(long msAfterSignal) throws InterruptedException {
        long left = TimeUnit.MILLISECONDS.toNanos(msAfterSignal) - (System.nanoTime() - signalledAt);
        if (left > 0) {
            TimeUnit.NANOSECONDS.sleep(left);
        }
    }
}
