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
    private static final long REPORT = 100_000;
    private static final long LOOK_EVERY = 100;
    private static final long MICROSECONDS_A_TENTH = 100;
    private static final long CLOSING_MOST_MS = 50;
    private static final int LISTEN_TRIES = 20;
    private static final long LISTEN_PAUSE_MS = 50;

    private final Loop loop;
    private final List<Protocol> protocols;
    private final List<InetSocketAddress> bound = new ArrayList<>();
    private final CountDownLatch opens = new CountDownLatch(1);
    private final CountDownLatch ended = new CountDownLatch(1);
    private final Map<String, Counters.Group> others = new LinkedHashMap<>();
    /** Takes clients; and has been told to end. Guarded by this. */
    private boolean isOpen;
    private boolean isLeaving;
    private final Object rereading = new Object();
    private boolean isDrained;
    private long rereads;
    private long unread;

    public Agent(Loop loop, List<Protocol> protocols) {
        this.loop = loop;
        this.protocols = List.copyOf(protocols);
    }

    /** Warms up, waits for what it must know, then takes clients; not where it has been told to end meanwhile. */
    public void start() throws IOException {
        protocols.forEach(Protocol::prepare);
        synchronized (this) {
            if (isLeaving) {
                return;
            }
            loop.post(() -> protocols.forEach(Protocol::begin));
            loop.post(this::report);
            loop.post(this::openWhenReady);
            loop.start(protocols.stream().flatMap(protocol -> protocol.cores().stream()).toArray(Loop.Core[]::new));
        }
        unlessInterrupted(opens::await);
        synchronized (this) {
            if (isLeaving) {
                return;
            }
            for (Protocol protocol : protocols) {
                bound.add(listen(protocol));
            }
            isOpen = true;
        }
        Logger.info("ready after {} ms", loop.sinceStart());
    }

    /** A socket may be had a moment later, and an address may still be held by the process before. */
    private InetSocketAddress listen(Protocol protocol) throws IOException {
        for (int i = 1; ; i++) {
            try {
                return protocol.listen();
            } catch (IOException e) {
                if (i == LISTEN_TRIES) {
                    throw e;
                }
                Logger.warn("can't listen yet, tried again: {}", e.getMessage());
                unlessInterrupted(() -> Thread.sleep(LISTEN_PAUSE_MS));
            }
        }
    }

    private interface Wait {

        void await() throws InterruptedException;
    }

    private static void unlessInterrupted(Wait wait) throws IOException {
        try {
            wait.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted before the start", e);
        }
    }

    private void openWhenReady() {
        if (protocols.stream().allMatch(Protocol::mayOpen)) {
            opens.countDown();
        } else {
            loop.at(loop.now() + LOOK_EVERY, this::openWhenReady);
        }
    }

    /** Where the protocol of this number takes clients. */
    public InetSocketAddress address(int protocol) {
        return bound.get(protocol);
    }

    /** Stops at once, whatever is open. */
    public void end() {
        loop.end();
    }

    /** Load is told to others, and theirs is heard; after the start. */
    public void share(Shared shared) {
        loop.post(() -> protocols.forEach(protocol -> protocol.share(shared)));
    }

    /** From any thread: to be done on the loop, in the next turn. */
    public void onLoop(Runnable task) {
        loop.post(task);
    }

    /** Counters of something beside the protocols, told with theirs; before the start. */
    public void count(String group, Counters.Group counts) {
        others.put(group, counts);
    }

    /** All counters by group; on the loop. */
    public Counters counters() {
        Counters counters = new Counters().group("agent", all -> {
            all.count("faults", Loop.faults());
            all.count("broken", Loop.broken());
            all.count("rereads", rereads);
            all.count("not read", unread);
            all.count("accept failures", loop.acceptFailures());
            all.count("own dial failures", loop.ownDialFailures());
            all.count("first RPC ms", loop.firstRpcAfter());
        });
        protocols.forEach(protocol -> protocol.report(counters));
        others.forEach(counters::group);
        return counters;
    }

    private void report() {
        Events.counters(counters());
        loop.at(loop.now() + REPORT, this::report);
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
        synchronized (rereading) {
            tell(sources);
        }
    }

    private void tell(List<Source> sources) {
        List<Runnable> changes = new ArrayList<>();
        try {
            for (Source source : sources) {
                changes.add(source.read());
            }
        } catch (IOException | Malformed e) {
            Logger.warn("configuration not read, all stays as it was: {}",
                    String.valueOf(e.getMessage()).replace('\n', ';'));
            loop.post(() -> unread++);
            return;
        }
        loop.post(() -> {
            changes.forEach(Runnable::run);
            rereads++;
        });
    }

    /** Takes no clients and closes connections between RPCs, or takes them again; on the loop. */
    public void drain(boolean isDrained) {
        this.isDrained = isDrained;
        protocols.forEach(protocol -> protocol.drain(isDrained));
    }

    public boolean isDrained() {
        return isDrained;
    }

    /** Connections of clients, of all protocols. */
    public int clients() {
        return protocols.stream().mapToInt(Protocol::count).sum();
    }

    /**
     * Ends by the schedule of a shutdown: comes back when nothing that was taken is open, at the shutdown's end at the latest; at once
     * before the start.
     */
    public void leave() throws InterruptedException {
        long signalledAt = loop.clock();
        synchronized (this) {
            isLeaving = true;
            if (!isOpen) {
                return;
            }
        }
        long longest = protocols.stream().mapToLong(Protocol::longestDeadline).max().orElse(0);
        ShutdownSchedule schedule = ShutdownSchedule.of(signalledAt, longest);
        loop.post(() -> shutDown(schedule));
        // The loop ends it, after its last answers. A loop that is held up for longer than it must bear does not hold up the end.
        long left = schedule.lastMoment() - loop.clock();
        if (!ended.await(left * MICROSECONDS_A_TENTH, TimeUnit.MICROSECONDS)) {
            Logger.warn("shutdown: ends while the loop is held up");
        }
        endThreads();
    }

    /**
     * Guards against a slow end: the runtime waits 0.3 s for threads that are in a system call, as those at sockets always are. Not
     * for ever, where one of them is held up.
     */
    private void endThreads() throws InterruptedException {
        Thread closing = new Thread(loop::end, "closing");
        closing.setDaemon(true);
        closing.start();
        closing.join(CLOSING_MOST_MS);
    }

    private void shutDown(ShutdownSchedule schedule) {
        protocols.forEach(protocol -> protocol.shutDown(schedule));
        loop.at(schedule.closesAt(), () -> {
            Logger.info("shutdown: closing, {} connections open", clients());
            protocols.forEach(Protocol::leave);
            // Not before the next turn: what was accepted last is here by then.
            loop.shut(schedule.answersBy(), () -> loop.at(loop.now() + LOOK_EVERY, this::endWhenDone));
        });
        // Not in the turn in which it is due: where the loop was held up its last answers are written only after that one.
        loop.at(schedule.endsBy(), () -> loop.at(loop.now() + LOOK_EVERY, () -> {
            if (ended.getCount() > 0) {
                Logger.warn("shutdown: ends with {} connections open", clients());
                ended.countDown();
            }
        }));
    }

    /** Guards against ending with a connection that this machine has accepted and the loop has not seen. */
    private void endWhenDone() {
        if (clients() == 0 && loop.acceptedUnseen() == 0) {
            Logger.info("shutdown: ends, nothing open");
            ended.countDown();
        } else {
            loop.at(loop.now() + LOOK_EVERY, this::endWhenDone);
        }
    }
}
