package honeygap.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import honeygap.standin.StoreServer;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Reproduces the incident of {@code docs/incidents/list-of-unknown-age.md} with a real process: the agent is killed and
 * restarted with its old list, while an overloaded discovery does not report that the appliance was drained meanwhile.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class RestartedDuringDrainTest {

    private static final String WATCH = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String NO_CHANGES = "{\"index\":1,\"snapshot\":false,\"endpoints\":[]}\n";

    @TempDir
    private Path folder;

    private final List<AutoCloseable> open = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable one : open) {
            one.close();
        }
    }

    /** Confirms the list to the first caller; later calls are accepted but never answered. */
    private final class OverloadedDiscovery {

        private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final List<Socket> waiting = new ArrayList<>();

        OverloadedDiscovery() throws IOException {
            open.add(server);
            Thread thread = new Thread(this::serve, "discovery");
            thread.setDaemon(true);
            thread.start();
        }

        private void serve() {
            try {
                boolean isAnswered = false;
                while (true) {
                    Socket caller = server.accept();
                    waiting.add(caller);
                    isAnswered = isAnswered || answersList(caller);
                }
            } catch (IOException e) {
                // Closed at the end of the test.
            }
        }

        /** Answers a call for the list and returns true; calls to the release desk come to the same address. */
        private boolean answersList(Socket caller) throws IOException {
            byte[] head = new byte[4096];
            int length = Math.max(0, new DataInputStream(caller.getInputStream()).read(head));
            if (!new String(head, 0, length, StandardCharsets.US_ASCII).startsWith("GET /registry")) {
                return false;
            }
            OutputStream out = caller.getOutputStream();
            out.write(WATCH.getBytes(StandardCharsets.US_ASCII));
            out.write((Integer.toHexString(NO_CHANGES.length()) + "\r\n" + NO_CHANGES + "\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            return true;
        }
    }

    private AgentProcess start(Path config) throws IOException {
        AgentProcess agent = new AgentProcess(config, "");
        open.add(agent);
        return agent;
    }

    @Test
    void doesNotSendWithTheOldList() throws Exception {
        StoreServer appliance = new StoreServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        OverloadedDiscovery discovery = new OverloadedDiscovery();
        int port = AgentProcess.freePort();
        String json = AgentProcess.config(port, appliance.address().getPort(), discovery.server.getLocalPort(), 256)
                .replace("\"settings\": {", "\"settings\": {\"Rules\": {\"StopSendingWithinNs\": 500000000},");
        Path config = Files.writeString(folder.resolve("agent.json"), json);
        AgentProcess before = start(config);
        assertNotNull(before.readUntil("ready after"), before.log.toString());
        assertEquals("TDCZ", sendUntilServed(port));
        before.signal("KILL");
        before.awaitExit();
        // From here on the appliance counts as drained, which the new process cannot know.
        AgentProcess after = start(config);
        assertNotNull(after.readUntil("ready after"), after.log.toString());
        try (AgentProcess.Client client = new AgentProcess.Client(port)) {
            for (int i = 0; i < 20; i++) {
                client.send("after" + i, 500);
                assertEquals("EZ", client.readResponse(), "served by an appliance that may have been drained");
            }
        }
    }

    private static String sendUntilServed(int port) throws IOException {
        String response = "";
        for (int i = 0; i < 200 && !response.startsWith("T"); i++) {
            try (AgentProcess.Client client = new AgentProcess.Client(port)) {
                client.send("before" + i, 500);
                response = client.readResponse();
            }
        }
        assertTrue(response.startsWith("T"), response);
        return response;
    }
}
