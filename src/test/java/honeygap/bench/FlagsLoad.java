package honeygap.bench;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import picocli.CommandLine;

/**
 * Load test of the flag API on loopback, with stub servers in this process and the agent in its own process on one
 * core. At a fixed rate, times count from each evaluation's due time, so that late sends don't hide latency. Without
 * a rate the load is closed-loop. Prints one line of results.
 */
@CommandLine.Command(name = "flags-load", mixinStandardHelpOptions = true)
public final class FlagsLoad implements Callable<Integer> {

    @CommandLine.Option(names = "--through", defaultValue = "agent", description = "agent, forwarder or direct")
    private String through;

    @CommandLine.Option(names = "--servers", defaultValue = "4")
    private int servers;

    @CommandLine.Option(names = "--clients", defaultValue = "32")
    private int clients;

    @CommandLine.Option(names = "--rate", defaultValue = "0", description = "a second; 0 is as fast as answered")
    private int rate;

    @CommandLine.Option(names = "--evaluations", defaultValue = "500000")
    private long evaluations;

    @CommandLine.Option(names = "--keys", defaultValue = "1000000")
    private int keys;

    @CommandLine.Option(names = "--drain-every", defaultValue = "0", description = "seconds; 0 is never")
    private int drainEvery;

    @CommandLine.Option(names = "--no-sharing")
    private boolean noSharing;

    @CommandLine.Option(names = "--keep", description = "Keep last good answers.")
    private boolean keep;

    @CommandLine.Option(names = "--record", description = "The agent records what it sends and receives.")
    private boolean record;

    @CommandLine.Option(names = "--cpu", defaultValue = "0", description = "The core of the agent.")
    private String cpu;

    private final AtomicLong remaining = new AtomicLong();
    private final AtomicLong version = new AtomicLong(1);
    private final List<ServerSocket> sockets = new ArrayList<>();

    public static void main(String[] args) {
        System.exit(new CommandLine(new FlagsLoad()).execute(args));
    }

    private static void runInBackground(Callable<?> task) {
        Thread thread = new Thread(() -> {
            try {
                task.call();
            } catch (Exception e) {
                // The peer has closed the connection.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void startServer() throws IOException {
        ServerSocket socket = new ServerSocket(0, 1000, InetAddress.getLoopbackAddress());
        sockets.add(socket);
        runInBackground(() -> {
            while (true) {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                runInBackground(() -> {
                    serve(connection);
                    return null;
                });
            }
        });
    }

    private void serve(Socket connection) throws IOException {
        DataInputStream in = new DataInputStream(new BufferedInputStream(connection.getInputStream()));
        OutputStream out = connection.getOutputStream();
        byte[] buffer = new byte[4096];
        while (true) {
            skipMessage(in, buffer);
            String body = "{\"key\":\"f\",\"reason\":\"STATIC\",\"variant\":\"on\",\"value\":true,\"metadata\":{\"version\":\""
                    + version.get() + "\"}}";
            out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                    + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** Skips one HTTP message, head and body; returns the status if it is a response. */
    private static int skipMessage(DataInputStream in, byte[] buffer) throws IOException {
        int length = 0;
        int status = 0;
        for (boolean first = true;; first = false) {
            int n = 0;
            int c = in.readUnsignedByte();
            while (c != '\n') {
                buffer[n++] = (byte) c;
                c = in.readUnsignedByte();
            }
            if (first && n > 12 && buffer[0] == 'H') {
                status = 100 * (buffer[9] - '0') + 10 * (buffer[10] - '0') + buffer[11] - '0';
            }
            if (n == 1) {
                in.skipNBytes(length);
                return status;
            }
            if (n > 16 && (buffer[0] | 32) == 'c' && (buffer[8] | 32) == 'l') {
                length = 0;
                for (int i = 16; i < n && buffer[i] >= '0'; i++) {
                    length = 10 * length + buffer[i] - '0';
                }
            }
        }
    }

    private String agentSettings(int port, int draining) {
        StringBuilder list = new StringBuilder();
        for (int i = 0; i < sockets.size(); i++) {
            list.append("{name:'s").append(i).append("',address:'127.0.0.1:").append(sockets.get(i).getLocalPort())
                    .append("',status:'").append(i == draining ? "draining" : "up").append("'},");
        }
        return "{listen:'127.0.0.1:" + port + "',clients:2000,links:2000,sharing:" + !noSharing + ",order:{keys:200000},"
                + (keep ? "keep:{bytes:67108864,flags:[{match:'*',staleFor:'1h'}]}," : "") + "servers:[" + list + "]}";
    }

    @Override
    public Integer call() throws Exception {
        for (int i = 0; i < servers; i++) {
            startServer();
        }
        int port = sockets.get(0).getLocalPort();
        Process process = null;
        Path settingsFile = Files.createTempFile("flags", ".jsonnet");
        if (!through.equals("direct")) {
            try (ServerSocket free = new ServerSocket(0)) {
                port = free.getLocalPort();
            }
            Files.writeString(settingsFile, agentSettings(port, -1));
            List<String> command = new ArrayList<>(List.of("taskset", "-c", cpu, "java", "-XX:+UseSerialGC", "-Xms256m",
                    "-Xmx256m", "-cp", System.getProperty("java.class.path")));
            if (through.equals("agent")) {
                command.addAll(List.of("honeygap.cli.Start", "serve", "--flags", settingsFile.toString()));
                if (record) {
                    command.addAll(List.of("--record", settingsFile + ".recording", "--record-files", "2"));
                }
            } else {
                command.addAll(List.of(Forwarder.class.getName(), "" + port));
                sockets.forEach(socket -> command.add("" + socket.getLocalPort()));
            }
            process = new ProcessBuilder(command).redirectErrorStream(true)
                    .redirectOutput(Path.of(System.getProperty("java.io.tmpdir"), "flags-load.log").toFile()).start();
        }
        try {
            awaitListening(port);
            // Warms up the JIT at full speed, since on one core compilation competes with serving.
            int measuredRate = rate;
            rate = 0;
            runLoad(port, 200_000, new Histogram(3), new AtomicLongArray(600), null, settingsFile);
            rate = measuredRate;
            Histogram times = new Histogram(3);
            AtomicLongArray statuses = new AtomicLongArray(600);
            long cpuBefore = cpuTicks(process);
            long startNs = System.nanoTime();
            runLoad(port, evaluations, times, statuses, process, settingsFile);
            double seconds = (System.nanoTime() - startNs) / 1e9;
            double usedCores = (cpuTicks(process) - cpuBefore) / 100.0 / seconds;
            StringBuilder statusCounts = new StringBuilder();
            for (int i = 0; i < 600; i++) {
                if (statuses.get(i) > 0) {
                    statusCounts.append(' ').append(i).append('=').append(statuses.get(i));
                }
            }
            System.out.printf("through %s%s, servers %d, clients %d, rate %s, sharing %s, kept %s, drain %ss: %.0f/s,"
                    + " p50 %.3f ms, p99 %.3f ms, p99.9 %.3f ms, max %.1f ms; cpu %.2f, rss %d MB; statuses%s%n",
                    through, record ? " recording" : "", servers, clients, rate == 0 ? "closed" : "" + rate, !noSharing,
                    keep, drainEvery,
                    evaluations / seconds, times.getValueAtPercentile(50) / 1e6, times.getValueAtPercentile(99) / 1e6,
                    times.getValueAtPercentile(99.9) / 1e6, times.getMaxValue() / 1e6, usedCores, rss(process), statusCounts);
        } finally {
            if (process != null) {
                process.destroyForcibly();
            }
            Files.delete(settingsFile);
        }
        return 0;
    }

    private static void awaitListening(int port) throws Exception {
        for (int i = 0; i < 200; i++) {
            try {
                new Socket(InetAddress.getLoopbackAddress(), port).close();
                Thread.sleep(300);
                return;
            } catch (IOException e) {
                Thread.sleep(50);
            }
        }
        throw new IOException("no process listens on the port");
    }

    private void runLoad(int port, long count, Histogram all, AtomicLongArray statuses, Process process, Path settingsFile)
            throws Exception {
        remaining.set(count);
        List<Thread> threads = new ArrayList<>();
        long startNs = System.nanoTime();
        AtomicLong number = new AtomicLong();
        for (int i = 0; i < clients; i++) {
            int seed = i;
            Thread thread = new Thread(() -> {
                try {
                    runClient(port, new SplittableRandom(seed), startNs, number, all, statuses);
                } catch (IOException e) {
                    System.err.println("client ended: " + e);
                }
            });
            threads.add(thread);
            thread.start();
        }
        int drainedServer = -1;
        long nextDrainNs = startNs + drainEvery * 1_000_000_000L;
        for (Thread thread : threads) {
            while (thread.isAlive()) {
                thread.join(100);
                if (drainEvery > 0 && process != null && System.nanoTime() > nextDrainNs) {
                    nextDrainNs += drainEvery * 1_000_000_000L;
                    drainedServer = drainedServer < 0 ? (int) (nextDrainNs % servers) : -1;
                    Files.writeString(settingsFile, agentSettings(port, drainedServer));
                    new ProcessBuilder("kill", "-HUP", "" + process.pid()).start().waitFor();
                }
            }
        }
    }

    private void runClient(int port, SplittableRandom random, long startNs, AtomicLong number, Histogram all,
            AtomicLongArray statuses) throws IOException {
        Histogram times = new Histogram(3);
        byte[] buffer = new byte[4096];
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setTcpNoDelay(true);
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            while (remaining.getAndDecrement() > 0) {
                long dueNs = System.nanoTime();
                if (rate > 0) {
                    dueNs = startNs + (long) (number.getAndIncrement() * 1e9 / rate);
                    while (System.nanoTime() < dueNs) {
                        LockSupport.parkNanos(Math.max(1, dueNs - System.nanoTime() - 60_000));
                    }
                }
                String body = "{\"context\":{\"targetingKey\":\"user-" + random.nextInt(keys)
                        + "\",\"operator\":\"o7\",\"plan\":\"clinic\"}}";
                socket.getOutputStream().write(("POST /ofrep/v1/evaluate/flags/f HTTP/1.1\r\nHost: x\r\n"
                        + "Content-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
                statuses.incrementAndGet(skipMessage(in, buffer));
                times.recordValue(System.nanoTime() - dueNs);
            }
        }
        synchronized (all) {
            all.add(times);
        }
    }

    private static long cpuTicks(Process process) throws IOException {
        if (process == null) {
            return 0;
        }
        String[] stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat")).replaceAll(".*\\) ", "").split(" ");
        return Long.parseLong(stat[11]) + Long.parseLong(stat[12]);
    }

    private static long rss(Process process) throws IOException {
        if (process == null) {
            return 0;
        }
        return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(line -> line.startsWith("VmRSS")).mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                .sum() / 1024;
    }
}
