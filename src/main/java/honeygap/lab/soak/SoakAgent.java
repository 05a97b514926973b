package honeygap.lab.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One agent in a process of its own, started anew at the same address as often as the run wants. */
final class SoakAgent implements AutoCloseable {

    private static final long READY_S = 30;
    /** New connections come for so long after the signal to end. */
    private static final long DEALT_FOR_MS = 400;
    private static final Pattern TAKEN = Pattern.compile("shutdown: RPC (\\S+) \\(.*\\) taken ");

    /** The list that the next process starts with, as JSON. */
    interface KnownList {

        String json();
    }

    final int number;
    final InetSocketAddress address;
    private final Path folder;
    private final SoakRecord record;
    private final SystemFaults faults;
    private final KnownList known;
    private final int discoveryPort;
    private final int deskPort;
    private final int fleetSize;
    private final SoakLoad load;
    private Process process;
    private long startedAt;
    private int life;
    /** When it was told to end, or Long.MAX_VALUE. */
    private volatile long toldToEndAt = Long.MAX_VALUE;

    SoakAgent(int number, int fleetSize, Path folder, SoakRecord record, SystemFaults faults, KnownList known,
            int discoveryPort, int deskPort, SoakLoad load) throws IOException {
        this.load = load;
        this.number = number;
        this.fleetSize = fleetSize;
        this.folder = Files.createDirectories(folder);
        this.record = record;
        this.faults = faults;
        this.known = known;
        this.discoveryPort = discoveryPort;
        this.deskPort = deskPort;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = (InetSocketAddress) free.getLocalSocketAddress();
        }
    }

    /** Starts a process; comes back when it is ready. */
    synchronized void start() throws IOException, InterruptedException {
        Path config = writeConfiguration();
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        List<String> command = new ArrayList<>(List.of(java, "-XX:+UseSerialGC", "-Xms32m", "-Xmx64m", "-Xss256k",
                "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData", "-Djava.net.preferIPv4Stack=true", "-cp",
                System.getProperty("java.class.path"), "honeygap.cli.Start", "serve", "--config", config.toString()));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().putAll(faults.environment(number * 1000L + life++));
        startedAt = record.now();
        toldToEndAt = Long.MAX_VALUE;
        process = builder.start();
        // Also where this process is told to end in the middle of a run.
        Runtime.getRuntime().addShutdownHook(new Thread(process.toHandle()::destroyForcibly));
        CompletableFuture<Void> ready = new CompletableFuture<>();
        Process mine = process;
        StandInThread.start("log of agent " + number, () -> read(mine, ready));
        try {
            ready.get(READY_S, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("agent " + number + " did not come up: " + e.getMessage() + "\n" + Files.readString(log()),
                    e);
        }
    }

    /** Its files as they are now; read at the start and on SIGHUP. */
    private Path writeConfiguration() throws IOException {
        List<String> methods = new ArrayList<>();
        for (SoakMethod method : SoakMethod.values()) {
            methods.add("{\"Name\":\"" + method.word + "\",\"AimNs\":500000000,\"GiveUpNs\":" + load.deadlineMs().get(method) + "000000,\"Effect\":\""
                    + method.effect + "\",\"KeyScope\":\"zone\",\"WindowNs\":" + SoakMethod.TOKEN_WINDOW_MS + "000000}");
        }
        Path next = Files.writeString(folder.resolve("agent.json.new"), """
                {"name":"n%d","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"%x",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
                 "rollouts":{"address":"127.0.0.1:%d","news":{"Revision":%d,"Wave":0,"State":"Progressing",
                  "MaxShare":%s,"AgeMs":100000}},
                 "known":%s,
                 "settings":{"TickNs":1000000,"FleetSize":%d,"RegistryMode":"ask","Classes":[%s],
                  "Ceilings":{"MaxAttempts":4,"ConnectTimeoutNs":250000000,"IdleCloseNs":3000000000,"RetryAfter":true,
                   "MaxRetryAfterNs":500000000,"Probing":%s},
                  "Rules":{"MustAskInNs":10000000000,"StopSendingWithinNs":%d000000,"ColdFrom":0.35,
                   "FallMultiple":2.5,"TipAfterNs":1000000000,"WarmAfterNs":2000000000},
                  "FamilyInfo":{"GateMode":"by_count","AyesNeeded":100,"NoesNeeded":100,"VotesPerS":30,
                   "VoteStandsNs":6000000000,"SoakNs":2000000000,"CallTimeoutNs":2000000000,"Caps":[%s,1.0],
                   "Waves":[0.2,1.0],"WindowNs":%d000000,"Uncounted":1.0}}}
                """.formatted(number, address.getPort(), discoveryPort, 1 + number + 1000L * life, load.sockets(), deskPort,
                StandInDesk.TRIAL_BUILD, StandInDesk.CAP, known.json(), fleetSize, String.join(",", methods),
                mayProbe(), SoakChecker.GRACE_MS, StandInDesk.CAP, SoakChecker.EXPOSURE_WINDOW_MS));
        Path config = folder.resolve("agent.json");
        Files.move(next, config, StandardCopyOption.ATOMIC_MOVE);
        return config;
    }

    /** Every other agent may ask appliances whether they serve. */
    private boolean mayProbe() {
        return number % 2 == 0;
    }

    private Path log() {
        return folder.resolve("log");
    }

    private void read(Process mine, CompletableFuture<Void> ready) throws IOException {
        try (BufferedReader lines = new BufferedReader(
                new InputStreamReader(mine.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                Files.writeString(log(), record.now() + " " + line + "\n", StandardOpenOption.CREATE,
                        StandardOpenOption.APPEND);
                Matcher taken = TAKEN.matcher(line);
                if (taken.find()) {
                    record.takenAfterSignal.add(taken.group(1));
                }
                if (line.contains("ready after")) {
                    ready.complete(null);
                }
            }
        } finally {
            ready.completeExceptionally(new IOException("it ended"));
        }
    }

    /** A signal by its name, without the SIG. */
    synchronized void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Ends the process with SIGKILL at once, and records its life. */
    synchronized void kill() throws InterruptedException {
        boolean endedBefore = !process.isAlive();
        toldToEndAt = record.now();
        process.toHandle().destroyForcibly();
        process.waitFor();
        record.lives.add(new SoakRecord.Life(number, startedAt, Long.MAX_VALUE, record.now(),
                endedBefore ? SoakRecord.Death.CRASHED : SoakRecord.Death.KILLED));
    }

    /** Ends the process with SIGTERM, more signals, and SIGKILL as soon as the operators may send it; records its life. */
    synchronized void shutDown(SignalSeries series) throws IOException, InterruptedException {
        boolean endedBefore = !process.isAlive();
        signal("TERM");
        toldToEndAt = record.now();
        long signalledAt = toldToEndAt;
        long killAt = signalledAt + load.killAfterMs();
        long stoppedAt = -1;
        for (SignalSeries.Step step : series.steps()) {
            boolean isOver = process.waitFor(Math.min(step.afterMs(), Math.max(0, killAt - record.now())), TimeUnit.MILLISECONDS);
            if (isOver || record.now() >= killAt) {
                break;
            }
            signal(step.signal());
            if (step.signal().equals("STOP")) {
                stoppedAt = record.now();
            } else if (step.signal().equals("CONT")) {
                record.standstills.add(new SoakRecord.Standstill(number, stoppedAt, record.now()));
                stoppedAt = -1;
            }
        }
        boolean endedByItself = process.waitFor(Math.max(0, killAt - record.now()), TimeUnit.MILLISECONDS);
        if (!endedByItself) {
            process.toHandle().destroyForcibly();
            process.waitFor();
        }
        long to = record.now();
        if (stoppedAt >= 0) {
            record.standstills.add(new SoakRecord.Standstill(number, stoppedAt, to));
        }
        record.lives.add(new SoakRecord.Life(number, startedAt, signalledAt, to, endedBefore ? SoakRecord.Death.CRASHED
                : endedByItself ? SoakRecord.Death.ENDED : SoakRecord.Death.KILLED_AFTER_SIGNAL));
    }

    /** Whether the front deals clients to it now: for a while after it was told to end, and no more until it is there again. */
    boolean takesNewClients() {
        return load.connectsAlways() || record.now() < toldToEndAt + DEALT_FOR_MS || toldToEndAt == Long.MAX_VALUE;
    }

    /** Reads the files again. */
    synchronized void hangUp() throws IOException, InterruptedException {
        writeConfiguration();
        signal("HUP");
    }

    /** What it holds now, as the system counts it. */
    synchronized void measure(String when) throws IOException {
        long pid = process.pid();
        try (var held = Files.list(Path.of("/proc/" + pid + "/fd"))) {
            record.holdings.add(new SoakRecord.Holdings(number, pid, when, held.count(), status(pid, "Threads"),
                    status(pid, "VmRSS")));
        }
    }

    private static long status(long pid, String name) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream().filter(line -> line.startsWith(name + ":"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", ""))).findFirst().orElse(0);
    }

    @Override
    public synchronized void close() {
        if (process != null) {
            process.destroyForcibly().onExit().join();
        }
    }
}
