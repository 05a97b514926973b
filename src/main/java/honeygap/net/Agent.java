package honeygap.net;

import honeygap.config.Malformed;
import honeygap.rules.shutdown.ShutdownSchedule;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** An agent: an event loop and the protocols that it serves on it. */
public final class Agent {

    /** The interval at which counters are logged, in tenths of a millisecond. */
    private static final long COUNTER_LOG_INTERVAL = 100_000;
    private static final long POLL_INTERVAL = 100;
    private static final long MICROS_PER_TENTH = 100;
    private static final long MAX_CLOSING_MS = 50;
    private static final int LISTEN_ATTEMPTS = 20;
    private static final long LISTEN_RETRY_PAUSE_MS = 50;

    private final Loop loop;
    private final List<Protocol> protocols;
    private final List<InetSocketAddress> boundAddresses = new ArrayList<>();
    private final CountDownLatch readyToListen = new CountDownLatch(1);
    private final CountDownLatch shutdownDone = new CountDownLatch(1);
    private final Map<String, Counters.Group> otherCounters = new LinkedHashMap<>();
    /** Whether the protocols listen, and whether a shutdown was requested. Both are guarded by this. */
    private boolean isListening;
    private boolean isShuttingDown;
    private final Object reloadLock = new Object();
    private boolean isDrained;
    private long reloads;
    private long failedReloads;

    public Agent(Loop loop, List<Protocol> protocols) {
        this.loop = loop;
        this.protocols = List.copyOf(protocols);
    }

    /**
     * Warms up, waits until the protocols are ready, then listens; returns early if a shutdown is requested
     * meanwhile.
     */
    public void start() throws IOException {
        protocols.forEach(Protocol::warmUp);
        synchronized (this) {
            if (isShuttingDown) {
                return;
            }
            loop.post(() -> protocols.forEach(Protocol::start));
            loop.post(this::logCounters);
            loop.post(this::listenWhenReady);
            loop.start(protocols.stream().flatMap(protocol -> protocol.steppers().stream()).toArray(Loop.Stepper[]::new));
        }
        awaitUninterrupted(readyToListen::await);
        synchronized (this) {
            if (isShuttingDown) {
                return;
            }
            for (Protocol protocol : protocols) {
                boundAddresses.add(listen(protocol));
            }
            isListening = true;
        }
        Logger.info("ready after {} ms", loop.millisSinceStart());
    }

    /**
     * Retries a failed bind: file descriptors may run short for a moment, and the previous process may still hold the
     * address.
     */
    private InetSocketAddress listen(Protocol protocol) throws IOException {
        for (int attempt = 1; ; attempt++) {
            try {
                return protocol.listen();
            } catch (IOException e) {
                if (attempt == LISTEN_ATTEMPTS) {
                    throw e;
                }
                Logger.warn("bind failed, retrying: {}", e.getMessage());
                awaitUninterrupted(() -> Thread.sleep(LISTEN_RETRY_PAUSE_MS));
            }
        }
    }

    private interface InterruptibleWait {

        void await() throws InterruptedException;
    }

    private static void awaitUninterrupted(InterruptibleWait wait) throws IOException {
        try {
            wait.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted during startup", e);
        }
    }

    private void listenWhenReady() {
        if (protocols.stream().allMatch(Protocol::isReady)) {
            readyToListen.countDown();
        } else {
            loop.schedule(loop.now() + POLL_INTERVAL, this::listenWhenReady);
        }
    }

    /** The address on which the protocol with this index listens. */
    public InetSocketAddress address(int protocol) {
        return boundAddresses.get(protocol);
    }

    /** Stops at once and closes everything that is open. */
    public void close() {
        loop.close();
    }

    /** Publishes this agent's load to other agents and uses theirs; call it after the start. */
    public void shareLoad(LoadSharing sharing) {
        loop.post(() -> protocols.forEach(protocol -> protocol.shareLoad(sharing)));
    }

    /** Runs a task on the loop, in its next iteration; callable from any thread. */
    public void runOnLoop(Runnable task) {
        loop.post(task);
    }

    /** Adds a group of counters that does not belong to a protocol; call it before the start. */
    public void addCounters(String group, Counters.Group counts) {
        otherCounters.put(group, counts);
    }

    /** All counters by group; on the loop. */
    public Counters counters() {
        Counters counters = new Counters().group("agent", group -> {
            group.count("faults", Loop.faultCount());
            group.count("faults not logged", Loop.unloggedFaultCount());
            group.count("broken", Loop.invariantViolations());
            group.count("bytes held", loop.memory().heldBytes());
            group.count("rereads", reloads);
            group.count("not read", failedReloads);
            group.count("accept failures", loop.acceptFailures());
            group.count("own dial failures", loop.localConnectFailures());
            group.count("closed before opened", loop.closedBeforeOpened());
            group.count("closed before accepted", loop.closedBeforeAccepted());
            group.count("longest wait to accept ms", loop.longestAcceptWaitMs());
            group.count("longest wait for a slot ms", loop.longestSlotWaitMs());
            group.count("first RPC ms", loop.firstRpcMs());
        });
        counters.group("loop", loop.turnStatistics::report);
        protocols.forEach(protocol -> protocol.report(counters));
        otherCounters.forEach(counters::group);
        return counters;
    }

    private void logCounters() {
        EventLog.logCounters(counters());
        loop.schedule(loop.now() + COUNTER_LOG_INTERVAL, this::logCounters);
    }

    /** A part of the configuration that can be reloaded. Reading it returns the change to apply on the loop. */
    public interface Source {

        Runnable read() throws IOException, Malformed;
    }

    /**
     * Reads all sources on this thread and applies them together; if one of them is malformed, nothing changes.
     * Reloads run one at a time: each signal has a thread of its own, and a reload that read an older file must not
     * be applied last.
     */
    public void reload(List<Source> sources) {
        // What the signal brings about is counted from here, however long the reading takes and even if it fails.
        long requestedAt = loop.clock();
        loop.post(() -> protocols.forEach(protocol -> protocol.reloadRequested(requestedAt)));
        // A lock of its own rather than this object's: slow reads must not delay a shutdown.
        synchronized (reloadLock) {
            readAndApply(sources);
        }
    }

    private void readAndApply(List<Source> sources) {
        List<Runnable> changes = new ArrayList<>();
        try {
            for (Source source : sources) {
                changes.add(source.read());
            }
        } catch (IOException | Malformed e) {
            Logger.warn("configuration not read, keeping the current one: {}",
                    String.valueOf(e.getMessage()).replace('\n', ';'));
            loop.post(() -> failedReloads++);
            return;
        }
        loop.post(() -> {
            changes.forEach(Runnable::run);
            reloads++;
        });
    }

    /** Refuses clients and closes connections between RPCs, or accepts clients again; on the loop. */
    public void setDrained(boolean isDrained) {
        this.isDrained = isDrained;
        protocols.forEach(protocol -> protocol.setDrained(isDrained));
    }

    public boolean isDrained() {
        return isDrained;
    }

    /** The number of client connections of all protocols. */
    public int clientConnections() {
        return protocols.stream().mapToInt(Protocol::connectionCount).sum();
    }

    /**
     * Shuts down by schedule: returns when no accepted connection is open any more, at the latest at the end of the
     * schedule. Returns at once if the agent has not started.
     */
    public void shutDownGracefully() throws InterruptedException {
        long signalledAt = loop.clock();
        synchronized (this) {
            isShuttingDown = true;
            if (!isListening) {
                return;
            }
        }
        long longestDeadline = protocols.stream().mapToLong(Protocol::longestDeadline).max().orElse(0);
        ShutdownSchedule schedule = ShutdownSchedule.of(signalledAt, longestDeadline);
        loop.post(() -> shutDown(schedule));
        // The loop ends the wait after the last answers are written. A blocked loop must not delay the end of the
        // process, so the wait is bounded.
        long timeLeft = schedule.forcedExitAt() - loop.clock();
        if (!shutdownDone.await(timeLeft * MICROS_PER_TENTH, TimeUnit.MICROSECONDS)) {
            Logger.warn("shutdown: ends while the event loop is blocked");
        }
        closeLoop();
    }

    /**
     * Closes the loop's sockets before the process exits, as the Java runtime otherwise waits 0.3 s for threads that
     * are in a system call, which threads on sockets always are. The wait is bounded in case one of those threads is
     * blocked.
     */
    private void closeLoop() throws InterruptedException {
        Thread closingThread = new Thread(loop::close, "closing");
        closingThread.setDaemon(true);
        closingThread.start();
        closingThread.join(MAX_CLOSING_MS);
    }

    private void shutDown(ShutdownSchedule schedule) {
        protocols.forEach(protocol -> protocol.shutDown(schedule));
        loop.schedule(schedule.closesAt(), () -> {
            Logger.info("shutdown: closing, {} connections open", clientConnections());
            protocols.forEach(Protocol::closeBetweenRpcs);
            // Wait for the next iteration: by then the connections accepted last have been opened.
            loop.stopAccepting(schedule.answersBy(), () -> loop.schedule(loop.now() + POLL_INTERVAL, this::finishWhenIdle));
        });
        // Not in the iteration in which the timer is due: if the loop was delayed, the last answers are written only
        // after that iteration.
        loop.schedule(schedule.endsBy(), () -> loop.schedule(loop.now() + POLL_INTERVAL, () -> {
            if (shutdownDone.getCount() > 0) {
                Logger.warn("shutdown: ends with {} connections open", clientConnections());
                shutdownDone.countDown();
            }
        }));
    }

    /**
     * Finishes the shutdown when no connection is open, including connections that were accepted and that the loop
     * has not opened yet.
     */
    private void finishWhenIdle() {
        if (clientConnections() == 0 && loop.acceptedNotOpened() == 0) {
            Logger.info("shutdown: ends, nothing open");
            shutdownDone.countDown();
        } else {
            loop.schedule(loop.now() + POLL_INTERVAL, this::finishWhenIdle);
        }
    }
}
