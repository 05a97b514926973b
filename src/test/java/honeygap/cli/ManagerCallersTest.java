package honeygap.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against callers of the manager that stop in the middle of a request and each keep a thread of it for good. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ManagerCallersTest {

    private static final int CALLERS = 100;
    private static final int MAX_REQUEST_THREADS = 32;

    @TempDir
    Path folder;

    private static long requestThreads(Process manager) throws IOException {
        try (var threads = Files.list(Path.of("/proc/" + manager.pid() + "/task"))) {
            return threads.filter(thread -> {
                try {
                    return Files.readString(thread.resolve("comm")).strip().equals("asked");
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }).count();
        }
    }

    @Test
    void stoppedCallersTakeFewThreadsAndOthersAreAnswered() throws Exception {
        int port = AgentProcess.freePort();
        Path fleet = Files.writeString(folder.resolve("fleet.json"), "{\"listen\": \"127.0.0.1:" + port + "\", \"store\": \""
                + folder.resolve("store") + "\", \"instances\": [{\"name\": \"a0\", \"door\": \"127.0.0.1:9\"}]}");
        Process manager = new ProcessBuilder(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp", System.getProperty("java.class.path"), "honeygap.cli.Start", "manage", "--fleet", fleet.toString()))
                .redirectErrorStream(true).start();
        List<Socket> stopped = new ArrayList<>();
        try {
            BufferedReader log = new BufferedReader(new InputStreamReader(manager.getInputStream(), StandardCharsets.UTF_8));
            String line = log.readLine();
            while (line != null && !line.contains("manages")) {
                line = log.readLine();
            }
            assertNotNull(line, "the manager has started");
            for (int i = 0; i < CALLERS; i++) {
                Socket socket = new Socket("127.0.0.1", port);
                stopped.add(socket);
                socket.getOutputStream().write("POST /v1/operations HTTP/1.1\r\nContent-Length: 9\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
            }
            HttpResponse<String> response = HttpClient.newHttpClient().send(HttpRequest.newBuilder(
                    URI.create("http://127.0.0.1:" + port + "/v1/fleet")).build(), HttpResponse.BodyHandlers.ofString());
            assertEquals(200, response.statusCode());
            assertTrue(requestThreads(manager) <= MAX_REQUEST_THREADS);
        } finally {
            manager.destroyForcibly();
            for (Socket socket : stopped) {
                socket.close();
            }
        }
    }
}
