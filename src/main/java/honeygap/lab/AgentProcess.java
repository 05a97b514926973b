package honeygap.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * An agent process under test that can be started, paused, resumed, killed and restarted. Its outgoing calls go through
 * its own fault proxy. The process ends with the test JVM, even if that is killed: a parent shell reads a pipe from the
 * JVM and kills the process when the pipe is closed.
 */
public final class AgentProcess implements AutoCloseable {

    private static final int READY_S = 30;
    private static final HttpClient CLIENT = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2)).build();

    public final String name;
    public final String site;
    private final Path folder;
    private final FaultProxy proxy;
    private final List<String> jvmCommand;
    private final List<InetSocketAddress> seeds;
    private Process process;
    private InetSocketAddress adminEndpoint;

    /**
     * Prepares a process without starting it.
     *
     * @param folder working folder of this process alone
     * @param jvmCommand command line of the JVM with flags and class path, up to the main class
     */
    public AgentProcess(String name, String site, Path folder, FaultProxy proxy, List<String> jvmCommand,
            List<InetSocketAddress> seeds) throws IOException {
        this.name = name;
        this.site = site;
        this.folder = Files.createDirectories(folder);
        this.proxy = proxy;
        this.jvmCommand = jvmCommand;
        this.seeds = seeds;
    }

    /** Starts the process, on restart at the same address, and returns when its admin endpoint accepts connections. */
    public void start() throws IOException, InterruptedException {
        String adminAddress = adminEndpoint == null ? "127.0.0.1:0" : "127.0.0.1:" + adminEndpoint.getPort();
        List<String> seedEntries = new ArrayList<>();
        for (InetSocketAddress seed : seeds) {
            seedEntries.add("{\"at\":\"127.0.0.1:" + seed.getPort() + "\"}");
        }
        Path sites = Files.writeString(folder.resolve("sites.json"), "{\"site\":\"" + site + "\",\"every\":\"200ms\","
                + "\"answerWithin\":\"100ms\",\"holds\":\"4s\",\"proxy\":\"127.0.0.1:" + proxy.address().getPort()
                + "\",\"seeds\":[" + String.join(",", seedEntries) + "]}");
        Path config = Files.writeString(folder.resolve("agent.json"), """
                {"name": "%s", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1", "limits": {"sockets": 256},
                 "rollouts": {"address": "127.0.0.1:1"}, "known": {"index": 1, "snapshot": true, "endpoints": []},
                 "settings": {"TickNs": 1000000, "FleetSize": 1, "RegistryMode": "push",
                  "Classes": [{"Name": "look", "AimNs": 500000000, "GiveUpNs": 2000000000, "Effect": "read_like"}]}}
                """.formatted(name));
        List<String> command = new ArrayList<>(List.of("sh", "-c",
                // The shell waits for the end of the pipe and then kills the process.
                "\"$@\" < /dev/null & P=$!; echo \"pid $P\"; cat > /dev/null; kill -9 $P", "agent"));
        command.addAll(jvmCommand);
        command.addAll(List.of("honeygap.cli.Start", "serve", "--config", config.toString(), "--door", adminAddress,
                "--ledger", folder.resolve("ledger").toString(), "--sites", sites.toString()));
        process = new ProcessBuilder(command).redirectErrorStream(true).start();
        CompletableFuture<InetSocketAddress> ready = new CompletableFuture<>();
        Process started = process;
        Thread reader = new Thread(() -> readOutput(started, ready), "output of " + name);
        reader.setDaemon(true);
        reader.start();
        try {
            adminEndpoint = ready.get(READY_S, TimeUnit.SECONDS);
        } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
            throw new IOException(name + " failed to start: " + e.getMessage() + "; " + Files.readString(logFile()));
        }
    }

    private volatile long pid;

    private void readOutput(Process started, CompletableFuture<InetSocketAddress> ready) {
        try (BufferedReader lines = new BufferedReader(
                new InputStreamReader(started.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                Files.writeString(logFile(), line + "\n", java.nio.file.StandardOpenOption.CREATE,
                        java.nio.file.StandardOpenOption.APPEND);
                if (line.startsWith("pid ")) {
                    pid = Long.parseLong(line.substring(4).strip());
                }
                int endpointAt = line.indexOf("the door is at ");
                if (endpointAt >= 0) {
                    ready.complete(new InetSocketAddress("127.0.0.1",
                            Integer.parseInt(line.substring(line.lastIndexOf(':') + 1).strip())));
                }
            }
            ready.completeExceptionally(new IOException("process exited before it was ready"));
        } catch (IOException e) {
            ready.completeExceptionally(e);
        }
    }

    private Path logFile() {
        return folder.resolve("log");
    }

    /** Address of the admin endpoint; null before the first start. */
    public InetSocketAddress adminEndpoint() {
        return adminEndpoint;
    }

    /** Lines of the log that contain the given text. */
    public String logLinesWith(String part) throws IOException {
        return Files.readAllLines(logFile()).stream().filter(line -> line.contains(part))
                .reduce("", (a, b) -> a + b + "\n");
    }

    /** Sends STOP, CONT or KILL to this process alone. */
    public void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
    }

    /** Kills the process with SIGKILL and waits for its end. */
    public void kill() {
        ProcessHandle handle = ProcessHandle.of(pid).orElse(null);
        process.descendants().forEach(ProcessHandle::destroyForcibly);
        process.destroyForcibly().onExit().join();
        if (handle != null) {
            handle.onExit().join();
        }
    }

    /** Body of the response of the admin endpoint, read without the fault proxy; empty if there is no response. */
    public String get(String path) throws InterruptedException {
        try {
            return CLIENT.send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + adminEndpoint.getPort() + path))
                    .timeout(Duration.ofSeconds(2)).build(), HttpResponse.BodyHandlers.ofString()).body();
        } catch (IOException e) {
            return "";
        }
    }

    @Override
    public void close() throws IOException {
        if (process != null && process.isAlive()) {
            kill();
        }
        proxy.close();
    }
}
