package honeygap.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import honeygap.cli.AgentProcess.Client;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that hold much of a process's memory at once, with the heap of a deployed agent. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class StoppedClientsTest {

    /** A third of 1,024 descriptors, as many as the protocol page gives to clients. */
    private static final int CLIENTS = 340;
    private static final int VALUE_BYTES = 65_536;

    @TempDir
    Path folder;

    private Thread logReader;

    private AgentProcess start(int port) throws Exception {
        ServerSocket unused = new ServerSocket(0);
        int refused = unused.getLocalPort();
        unused.close();
        Path config = Files.writeString(folder.resolve("agent.json"), AgentProcess.config(port, refused, refused, 1024));
        AgentProcess agent = new AgentProcess(config, "");
        assertNotNull(agent.readUntil("ready after"), () -> String.join("\n", agent.log));
        logReader = new Thread(() -> {
            try {
                agent.readUntil("\0");
            } catch (IOException e) {
                // The process has ended.
            }
        });
        logReader.setDaemon(true);
        logReader.start();
        return agent;
    }

    /** Ends the agent, which has to be alive and to have had no fault. */
    private void endWithoutFault(AgentProcess agent) throws InterruptedException {
        assertTrue(agent.isAlive());
        agent.kill();
        logReader.join();
        assertEquals(List.of(), agent.log.stream().filter(line -> line.contains("internal fault")).toList());
    }

    private static byte[] largeRequest(String id) {
        byte[] statement = ("INSERT INTO kv (name, content) VALUES ('k1', '\\x" + "61".repeat(VALUE_BYTES)
                + "') RETURNING content /* id=" + id + ",c=look,t=t,d=3000 */\0").getBytes(StandardCharsets.UTF_8);
        return java.nio.ByteBuffer.allocate(5 + statement.length).put((byte) 'Q').putInt(4 + statement.length)
                .put(statement).array();
    }

    /**
     * Guards against an agent that stops for good: clients that each sent a request and stopped in the middle of the next
     * one filled the heap, the event loop's thread ended and the process lived on.
     */
    @ParameterizedTest
    @ValueSource(ints = {6, VALUE_BYTES, 2 * VALUE_BYTES})
    void usualClientsAreAnsweredBesideStoppedOnes(int stopAfterBytes) throws Exception {
        int port = AgentProcess.freePort();
        List<Client> stopped = new ArrayList<>();
        List<Client> opened = new ArrayList<>();
        try (AgentProcess agent = start(port)) {
            Client usual = new Client(port);
            opened.add(usual);
            for (int i = 0; i < CLIENTS; i++) {
                Client client = new Client(port);
                stopped.add(client);
                opened.add(client);
                byte[] request = largeRequest("a" + i);
                byte[] requestAndPart = Arrays.copyOf(request, request.length + stopAfterBytes);
                System.arraycopy(largeRequest("b" + i), 0, requestAndPart, request.length, stopAfterBytes);
                client.write(requestAndPart);
                String answer = ask(usual, "u" + i);
                if (answer.equals("end")) {
                    // Closed between requests: the page allows that, and clients send once more on a new connection.
                    usual = new Client(port);
                    opened.add(usual);
                    answer = ask(usual, "u" + i);
                }
                assertEquals("EZ", answer, "usual request " + i);
            }
            for (Client client : stopped) {
                assertTrue(client.readResponse().startsWith("E"), "the whole request is answered");
            }
            try (Client later = new Client(port)) {
                later.send("later", 3000);
                assertEquals("EZ", later.readResponse());
            }
            endWithoutFault(agent);
        } finally {
            for (Client client : opened) {
                client.close();
            }
        }
    }

    private static String ask(Client client, String id) {
        try {
            client.send(id, 3000);
        } catch (IOException e) {
            return "end";
        }
        return client.readResponse();
    }

    /** As many usual clients, each with a large request at the same time: each is answered or told to come again. */
    @Test
    void manyLargeRequestsAtOnceAreAnswered() throws Exception {
        int port = AgentProcess.freePort();
        List<Client> clients = new ArrayList<>();
        try (AgentProcess agent = start(port)) {
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(new Client(port));
            }
            List<Thread> senders = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Client client = clients.get(i);
                byte[] request = largeRequest("c" + i);
                Thread sender = new Thread(() -> {
                    try {
                        client.write(request);
                    } catch (IOException e) {
                        // The answer may come before the request has been written whole.
                    }
                });
                sender.start();
                senders.add(sender);
            }
            for (Client client : clients) {
                assertTrue(client.readResponse().startsWith("E"));
            }
            for (Thread sender : senders) {
                sender.join();
            }
            endWithoutFault(agent);
        } finally {
            for (Client client : clients) {
                client.close();
            }
        }
    }
}
