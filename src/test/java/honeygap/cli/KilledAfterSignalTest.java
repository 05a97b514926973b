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
 * Guards against RPCs that are left unanswered when the process is killed some time after SIGTERM. Agents used to
 * accept RPCs seconds after SIGTERM, forward them (within 4 ms, by the appliances' records) and wait for a response
 * until the RPC's own deadline, without regard to the coming SIGKILL; clients then saw the connection end without a
 * complete response. The test covers each way in which an RPC can arrive after the signal.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class KilledAfterSignalTest {

    /** Enough capacity to send every RPC at once. */
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
     * RPCs arrive after the signal on a new connection; on a connection opened just after the signal that was silent
     * since; as the second half of a request; pipelined behind an open request; or were queued on a connection before
     * the signal. Columns: the longest deadline of the methods, the time of SIGKILL and the time at which the RPCs
     * arrive; the times in milliseconds after SIGTERM.
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
        ignoringClosedConnection(() -> silent.send("silent", AgentProcess.Client.startup(),
                AgentProcess.Client.request("silent", requestMs)));
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
        // A request that the agent never read can safely be sent again by its client.
        unanswered.removeIf(id -> !wasAccepted(id));
        assertEquals(List.of(), unanswered, () -> String.join("\n", agent.log));
    }

    /** Suspended across the shutdown deadline for as long as it has to tolerate, the agent still answers open RPCs. */
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

    /** Without open RPCs the process exits by itself before SIGKILL, also if SIGTERM is sent repeatedly. */
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

    /** Ignores a refused or closed connection: the client would use another agent. */
    private static void ignoringClosedConnection(IoAction step) {
        try {
            step.run();
        } catch (IOException e) {
            // Refused or closed.
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
