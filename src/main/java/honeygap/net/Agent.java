package honeygap.net;

import honeygap.read.Malformed;
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

/** One agent on sockets: a loop, and the protocols that it speaks on it. */
public final class Agent {

    /** How often the counters go to the log. */
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
    /** Takes clients; and has been told to end. Guarded by this. */
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

    /** Warms up, waits for what it must know, then takes clients; not where it has been told to end meanwhile. */
    public void start() throws IOException {
        protocols.forEach(Protocol::warmUp);
        synchronized (this) {
            if (isShuttingDown) {
                return;
            }
            loop.post(() -> protocols.forEach(Protocol::start));
            loop.post(this::logCounters);
            loop.post(this::listenWhenReady);
            loop.start(protocols.stream().flatMap(protocol -> protocol.steppers().stream()).toArray(Loop.Core[]::new));
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

    /** A socket may be had a moment later, and an address may still be held by the process before. */
    private InetSocketAddress listen(Protocol protocol) throws IOException {
        for (int attempt = 1; ; attempt++) {
            try {
                return protocol.listen();
            } catch (IOException e) {
                if (attempt == LISTEN_ATTEMPTS) {
                    throw e;
                }
                Logger.warn("can't listen yet, tried again: {}", e.getMessage());
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
            throw new IOException("interrupted before the start", e);
        }
    }

    private void listenWhenReady() {
        if (protocols.stream().allMatch(Protocol::isReady)) {
            readyToListen.countDown();
        } else {
            loop.at(loop.now() + POLL_INTERVAL, this::listenWhenReady);
        }
    }

    /** Where the protocol of this number takes clients. */
    public InetSocketAddress address(int protocol) {
        return boundAddresses.get(protocol);
    }

    /** Stops at once, whatever is open. */
    public void end() {
        loop.end();
    }

    /** Load is told to others, and theirs is heard; after the start. */
    public void share(Shared sharing) {
        loop.post(() -> protocols.forEach(protocol -> protocol.shareLoad(sharing)));
    }

    /** From any thread: to be done on the loop, in the next turn. */
    public void onLoop(Runnable task) {
        loop.post(task);
    }

    /** Counters of something beside the protocols, told with theirs; before the start. */
    public void count(String group, Counters.Group counts) {
        otherCounters.put(group, counts);
    }

    /** All counters by group; on the loop. */
    public Counters counters() {
        Counters counters = new Counters().group("agent", group -> {
            group.count("faults", Loop.faultCount());
            group.count("broken", Loop.broken());
            group.count("rereads", reloads);
            group.count("not read", failedReloads);
            group.count("accept failures", loop.acceptFailures());
            group.count("own dial failures", loop.localConnectFailures());
            group.count("first RPC ms", loop.firstRpcMs());
        });
        protocols.forEach(protocol -> protocol.report(counters));
        otherCounters.forEach(counters::group);
        return counters;
    }

    private void logCounters() {
        Events.logCounters(counters());
        loop.at(loop.now() + COUNTER_LOG_INTERVAL, this::logCounters);
    }

    /** Something that can be read once more: what is to be done for it, on the loop. */
    public interface Source {

        Runnable read() throws IOException, Malformed;
    }

    /**
     * Reads all anew, on this thread, and goes by it; where one can't be read whole, all stays as it was. One at a
     * time: each signal has a thread of its own, and one that read the older file must not be the last to tell.
     */
    public void reread(List<Source> sources) {
        // Not this agent's own lock: files that are slow to read must not hold up the order to end.
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
            Logger.warn("configuration not read, all stays as it was: {}",
                    String.valueOf(e.getMessage()).replace('\n', ';'));
            loop.post(() -> failedReloads++);
            return;
        }
        loop.post(() -> {
            changes.forEach(Runnable::run);
            reloads++;
        });
    }

    /** Takes no clients and closes connections between RPCs, or takes them again; on the loop. */
    public void drain(boolean isDrained) {
        this.isDrained = isDrained;
        protocols.forEach(protocol -> protocol.setDrained(isDrained));
    }

    public boolean isDrained() {
        return isDrained;
    }

    /** Connections of clients, of all protocols. */
    public int clients() {
        return protocols.stream().mapToInt(Protocol::connectionCount).sum();
    }

    /**
     * Ends by the schedule of a shutdown: comes back when nothing that was taken is open, at the shutdown's end at the latest; at once
     * before the start.
     */
    public void leave() throws InterruptedException {
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
        // The loop ends it, after its last answers. A loop that is held up for longer than it must bear does not hold up the end.
        long timeLeft = schedule.lastMoment() - loop.clock();
        if (!shutdownDone.await(timeLeft * MICROS_PER_TENTH, TimeUnit.MICROSECONDS)) {
            Logger.warn("shutdown: ends while the loop is held up");
        }
        closeLoop();
    }

    /**
     * Guards against a slow end: the runtime waits 0.3 s for threads that are in a system call, as those at sockets always are. Not
     * for ever, where one of them is held up.
     */
    private void closeLoop() throws InterruptedException {
        Thread closingThread = new Thread(loop::end, "closing");
        closingThread.setDaemon(true);
        closingThread.start();
        closingThread.join(MAX_CLOSING_MS);
    }

    private void shutDown(ShutdownSchedule schedule) {
        protocols.forEach(protocol -> protocol.shutDown(schedule));
        loop.at(schedule.closesAt(), () -> {
            Logger.info("shutdown: closing, {} connections open", clients());
            protocols.forEach(Protocol::closeBetweenRpcs);
            // Not before the next turn: what was accepted last is here by then.
            loop.stopAccepting(schedule.answersBy(), () -> loop.at(loop.now() + POLL_INTERVAL, this::finishWhenIdle));
        });
        // Not in the turn in which it is due: where the loop was held up its last answers are written only after that one.
        loop.at(schedule.endsBy(), () -> loop.at(loop.now() + POLL_INTERVAL, () -> {
            if (shutdownDone.getCount() > 0) {
                Logger.warn("shutdown: ends with {} connections open", clients());
                shutdownDone.countDown();
            }
        }));
    }

    /** Guards against ending with a connection that this machine has accepted and the loop has not seen. */
    private void finishWhenIdle() {
        if (clients() == 0 && loop.acceptedNotOpened() == 0) {
            Logger.info("shutdown: ends, nothing open");
            shutdownDone.countDown();
        } else {
            loop.at(loop.now() + POLL_INTERVAL, this::finishWhenIdle);
        }
    }
}
