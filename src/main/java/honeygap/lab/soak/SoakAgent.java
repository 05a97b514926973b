package honeygap.lab.soak;

import honeygap.lab.LoopbackPorts;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
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

/** An agent in its own process, which can be restarted at the same address any number of times. */
final class SoakAgent implements AutoCloseable {

    private static final long READY_TIMEOUT_S = 30;
    /** Clients open new connections for this long after SIGTERM, as a load balancer notices a shutdown with delay. */
    private static final long NEW_CONNECTIONS_AFTER_SIGNAL_MS = 400;
    private static final Pattern ACCEPTED_AFTER_SIGNAL = Pattern.compile("shutdown: RPC (\\S+) \\(.*\\) taken ");

    /** Provides the list of appliances that the next process starts with, as JSON. */
    interface KnownList {

        String json();
    }

    final int number;
    final InetSocketAddress address;
    private final Path folder;
    private final SoakRecord record;
    private final SystemCallFaults faults;
    private final KnownList knownList;
    private final int discoveryPort;
    private final int deskPort;
    private final int fleetSize;
    private final SoakLoad load;
    private Process process;
    private long startedAt;
    private int startCount;
    /** Time of the last SIGTERM or SIGKILL, or Long.MAX_VALUE while the process is meant to run. */
    private volatile long terminatedAt = Long.MAX_VALUE;

    SoakAgent(int number, int fleetSize, Path folder, SoakRecord record, SystemCallFaults faults, KnownList knownList,
            int discoveryPort, int deskPort, SoakLoad load) throws IOException {
        this.load = load;
        this.number = number;
        this.fleetSize = fleetSize;
        this.folder = Files.createDirectories(folder);
        this.record = record;
        this.faults = faults;
        this.knownList = knownList;
        this.discoveryPort = discoveryPort;
        this.deskPort = deskPort;
        address = LoopbackPorts.unusedAddress();
    }

    /** Starts a process and returns when it is ready. */
    synchronized void start() throws IOException, InterruptedException {
        Path config = writeConfiguration();
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        List<String> command = new ArrayList<>(List.of(java, "-XX:+UseSerialGC", "-Xms32m", "-Xmx64m", "-Xss256k",
                "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData", "-Djava.net.preferIPv4Stack=true", "-cp",
                System.getProperty("java.class.path"), "honeygap.cli.Start", "serve", "--config", config.toString()));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().putAll(faults.environment(number * 1000L + startCount++));
        startedAt = record.now();
        terminatedAt = Long.MAX_VALUE;
        process = builder.start();
        // Ends the agent even if this JVM is terminated in the middle of a run.
        Runtime.getRuntime().addShutdownHook(new Thread(process.toHandle()::destroyForcibly));
        CompletableFuture<Void> ready = new CompletableFuture<>();
        Process started = process;
        StandInThread.start("output of agent " + number, () -> readOutput(started, ready));
        try {
            ready.get(READY_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("agent " + number + " failed to start: " + e.getMessage() + "\n"
                    + Files.readString(logFile()), e);
        }
    }

    /** Writes the configuration that the agent reads at its start and on SIGHUP. */
    private Path writeConfiguration() throws IOException {
        List<String> methods = new ArrayList<>();
        for (SoakMethod method : SoakMethod.values()) {
            methods.add("{\"Name\":\"" + method.label + "\",\"AimNs\":500000000,\"GiveUpNs\":"
                    + load.deadlineMs().get(method) + "000000,\"Effect\":\"" + method.effect
                    + "\",\"KeyScope\":\"zone\",\"WindowNs\":" + SoakMethod.TOKEN_WINDOW_MS + "000000}");
        }
        Path newFile = Files.writeString(folder.resolve("agent.json.new"), """
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
                """.formatted(number, address.getPort(), discoveryPort, 1 + number + 1000L * startCount, load.maxSockets(),
                deskPort, StandInDesk.TRIAL_BUILD, StandInDesk.CAP, knownList.json(), fleetSize, String.join(",", methods),
                isProbingAllowed(), SoakChecker.DRAIN_GRACE_MS, StandInDesk.CAP, SoakChecker.EXPOSURE_WINDOW_MS));
        Path config = folder.resolve("agent.json");
        Files.move(newFile, config, StandardCopyOption.ATOMIC_MOVE);
        return config;
    }

    /** Every other agent may probe appliances. */
    private boolean isProbingAllowed() {
        return number % 2 == 0;
    }

    private Path logFile() {
        return folder.resolve("log");
    }

    private void readOutput(Process started, CompletableFuture<Void> ready) throws IOException {
        try (BufferedReader lines = new BufferedReader(
                new InputStreamReader(started.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                Files.writeString(logFile(), record.now() + " " + line + "\n", StandardOpenOption.CREATE,
                        StandardOpenOption.APPEND);
                Matcher accepted = ACCEPTED_AFTER_SIGNAL.matcher(line);
                if (accepted.find()) {
                    record.acceptedAfterSignal.add(accepted.group(1));
                }
                if (line.contains("ready after")) {
                    ready.complete(null);
                }
            }
        } finally {
            ready.completeExceptionally(new IOException("process exited before it was ready"));
        }
    }

    /** Sends a signal, named without the prefix SIG. */
    synchronized void sendSignal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Kills the process with SIGKILL and records its lifetime. */
    synchronized void kill() throws InterruptedException {
        boolean hadCrashed = !process.isAlive();
        terminatedAt = record.now();
        process.toHandle().destroyForcibly();
        process.waitFor();
        record.lifetimes.add(new SoakRecord.ProcessLifetime(number, startedAt, Long.MAX_VALUE, record.now(),
                hadCrashed ? SoakRecord.Death.CRASHED : SoakRecord.Death.KILLED));
    }

    /**
     * Ends the process with SIGTERM, further signals, and SIGKILL at the earliest time allowed; records its lifetime.
     */
    synchronized void shutDown(SignalSequence signals) throws IOException, InterruptedException {
        boolean hadCrashed = !process.isAlive();
        sendSignal("TERM");
        terminatedAt = record.now();
        long signalledAt = terminatedAt;
        long killAt = signalledAt + load.killAfterMs();
        long pausedAt = -1;
        for (SignalSequence.Step step : signals.steps()) {
            boolean hasExited = process.waitFor(
                    Math.min(step.delayMs(), Math.max(0, killAt - record.now())), TimeUnit.MILLISECONDS);
            if (hasExited || record.now() >= killAt) {
                break;
            }
            sendSignal(step.signal());
            if (step.signal().equals("STOP")) {
                pausedAt = record.now();
            } else if (step.signal().equals("CONT")) {
                record.pauses.add(new SoakRecord.ProcessPause(number, pausedAt, record.now()));
                pausedAt = -1;
            }
        }
        boolean exitedByItself = process.waitFor(Math.max(0, killAt - record.now()), TimeUnit.MILLISECONDS);
        if (!exitedByItself) {
            process.toHandle().destroyForcibly();
            process.waitFor();
        }
        long endedAt = record.now();
        if (pausedAt >= 0) {
            record.pauses.add(new SoakRecord.ProcessPause(number, pausedAt, endedAt));
        }
        record.lifetimes.add(new SoakRecord.ProcessLifetime(number, startedAt, signalledAt, endedAt,
                hadCrashed ? SoakRecord.Death.CRASHED
                : exitedByItself ? SoakRecord.Death.ENDED : SoakRecord.Death.KILLED_AFTER_SIGNAL));
    }

    /**
     * Whether clients may open connections now: until a short while after the signal to end, and again after the
     * restart.
     */
    boolean acceptsNewClients() {
        return load.connectsDuringShutdown() || record.now() < terminatedAt + NEW_CONNECTIONS_AFTER_SIGNAL_MS
                || terminatedAt == Long.MAX_VALUE;
    }

    /** Writes the configuration again and makes the agent reload it by SIGHUP. */
    synchronized void reloadConfiguration() throws IOException, InterruptedException {
        writeConfiguration();
        sendSignal("HUP");
    }

    /** Records the open descriptors, threads and memory of the process as the system reports them. */
    synchronized void recordResourceUsage(String phase) throws IOException {
        long pid = process.pid();
        try (var descriptors = Files.list(Path.of("/proc/" + pid + "/fd"))) {
            record.resourceUsage.add(new SoakRecord.ResourceUsage(number, pid, phase, descriptors.count(),
                    procStatus(pid, "Threads"), procStatus(pid, "VmRSS")));
        }
    }

    /** Peak resident memory of the process, in kilobytes. */
    synchronized long peakMemoryKb() throws IOException {
        return procStatus(process.pid(), "VmHWM");
    }

    private static long procStatus(long pid, String name) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
                .filter(line -> line.startsWith(name + ":"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", ""))).findFirst().orElse(0);
    }

    @Override
    public synchronized void close() {
        if (process != null) {
            process.destroyForcibly().onExit().join();
        }
    }
}
