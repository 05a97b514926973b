package honeygap.net;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import org.apache.mina.util.ExceptionMonitor;
import org.tinylog.Logger;

/**
 * The one thread that owns all state. What comes in is gathered; each turn tells it in one go, pulls the
 * decisions dry and carries them out. As MINA's executor it also runs the processor of the sockets, whose
 * thread would end with the last session: timers go on then in the loop itself.
 */
public final class Loop implements Executor, Runnable {

    /** What the loop turns for: is told the time, and makes one decision at a time until there is none. */
    public interface Core {

        void now(long now);

        boolean next();
    }

    /** Something to be done at a time, unless called off. */
    public static final class Timer implements Comparable<Timer> {

        private final long at;
        private final long number;
        private final Loop loop;
        private Runnable task;

        private Timer(long at, long number, Runnable task, Loop loop) {
            this.at = at;
            this.number = number;
            this.task = task;
            this.loop = loop;
        }

        public void callOff() {
            if (task != null) {
                task = null;
                loop.calledOff++;
            }
        }

        @Override
        public int compareTo(Timer other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    /** Faults caught since the start: each is logged, none ends the loop. */
    private static final AtomicLong FAULTS = new AtomicLong();

    private static final AtomicLong BROKEN = new AtomicLong();

    private static final long TENTHS_A_MS = 10;
    private static final long NANOS_A_TENTH = 100_000;
    private static final long IDLE_WAIT_MS = 1000;
    private static final int TIMERS_KEPT = 64;
    private static final int READ_AT_FIRST = 4096;
    private static final int READ_MOST = 65536;

    private final LinkedBlockingQueue<Runnable> processors = new LinkedBlockingQueue<>();
    private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private final ArrayDeque<Runnable> gathered = new ArrayDeque<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final SimpleIoProcessorPool<NioSession> pool;
    private final NioSocketConnector connector;
    private final List<Acceptor> acceptors = new ArrayList<>();
    private final AtomicLong ownDialFailures = new AtomicLong();
    private final long zero = System.nanoTime();
    private final boolean isEager;
    private long timerCount;
    private int calledOff;
    private long now;
    private List<Core> cores = List.of();
    private volatile Thread thread;
    private volatile boolean isClosing;
    private volatile boolean over;
    private long startedNanos = zero;
    private long firstRpcAfter;
    Turns turns;
    /** Listens in on all connections; null where nobody does. */
    Tap tap;
    long tapped;

    public Loop() {
        this(false);
    }

    /** An eager loop does not sleep when something is due within two milliseconds: for tools that keep time. */
    public Loop(boolean isEager) {
        this.isEager = isEager;
        ExceptionMonitor.setInstance(new ExceptionMonitor() {
            @Override
            public void exceptionCaught(Throwable cause) {
                fault(cause);
            }
        });
        pool = new SimpleIoProcessorPool<>(Turns.class, this, 1, null);
        connector = new NioSocketConnector(this::onOwnThread, pool);
        connector.setHandler(new Door(this, null));
        configure(connector.getSessionConfig());
    }

    private static void configure(SocketSessionConfig session) {
        session.setTcpNoDelay(true);
        session.setReadBufferSize(READ_AT_FIRST);
        session.setMaxReadBufferSize(READ_MOST);
    }

    /** Accepting and connecting wait on threads of their own, which hand each session over. */
    private void onOwnThread(Runnable task) {
        Thread helper = new Thread(null, task, "connections", 1 << 17);
        helper.setDaemon(true);
        helper.start();
    }

    public static void fault(Throwable cause) {
        if (FAULTS.incrementAndGet() <= 100) {
            Logger.error(cause, "a fault, answered and gone on");
        }
    }

    /** What must hold: asserted in debug builds, counted in release builds. */
    public static void holds(boolean condition) {
        if (!condition) {
            BROKEN.incrementAndGet();
        }
        assert condition;
    }

    public static long broken() {
        return BROKEN.get();
    }

    public static long faults() {
        return FAULTS.get();
    }

    /** Tenths of a millisecond since the loop was made. */
    public long clock() {
        return (System.nanoTime() - zero) / 100_000;
    }

    /** The time of this turn. */
    public long now() {
        return now;
    }

    /** The program began then, by the clock of the runtime; where it is not told, with the loop. */
    public void startedAt(long nanos) {
        startedNanos = nanos;
    }

    /** Milliseconds since the program began. */
    long sinceStart() {
        return (System.nanoTime() - startedNanos) / 1_000_000;
    }

    /** An RPC has been taken: how long a restart takes is told by the first. */
    public void rpcTaken() {
        if (firstRpcAfter == 0) {
            firstRpcAfter = Math.max(1, sinceStart());
            Logger.info("first RPC after {} ms", firstRpcAfter);
        }
    }

    /** Milliseconds from the program's beginning to its first RPC; 0 before that. */
    long firstRpcAfter() {
        return firstRpcAfter;
    }

    /** Lets somebody listen in on all connections that come up from then on; before the start. */
    public void tap(Tap tap) {
        this.tap = tap;
    }

    public void start(Core... cores) {
        this.cores = List.of(cores);
        Thread started = new Thread(this, "loop");
        started.setDaemon(true);
        started.start();
    }

    /** Where it listens, which tells the port where none was named; before the next call, from one thread. */
    public InetSocketAddress listen(InetSocketAddress address, int backlog, int places, Supplier<Peer> comers)
            throws IOException {
        return listen(address, backlog, (executor, pool) -> new Acceptor(this, executor, pool, places), comers);
    }

    /** Makes what accepts connections on a thread of this executor and hands them to this pool. */
    interface Accepting {

        Acceptor make(Executor executor, SimpleIoProcessorPool<NioSession> pool);
    }

    InetSocketAddress listen(InetSocketAddress address, int backlog, Accepting accepting, Supplier<Peer> comers)
            throws IOException {
        Acceptor acceptor = accepting.make(this::onOwnThread, pool);
        acceptor.setHandler(new Door(this, comers));
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(backlog);
        configure(acceptor.getSessionConfig());
        try {
            acceptor.bind(address);
        } catch (IOException e) {
            acceptor.dispose();
            throw e;
        }
        acceptors.add(acceptor);
        return acceptor.getLocalAddress();
    }

    /**
     * Takes no new connections from then on; those that are there go on, and those that the system has accepted are taken as well, up
     * to a time on this loop's clock. Done is told on the loop.
     */
    void shut(long until, Runnable done) {
        onOwnThread(() -> {
            acceptors.forEach(acceptor -> acceptor.stop(zero + until * NANOS_A_TENTH));
            post(done);
        });
    }

    /** Connections that were accepted and that no peer has heard of yet. */
    int acceptedUnseen() {
        return acceptors.stream().mapToInt(Acceptor::unseen).sum();
    }

    /** Opens a connection; the peer hears whether it came up. Whoever gives up cancels what is returned. */
    public ConnectFuture connect(InetSocketAddress address, Peer peer) {
        ConnectFuture future = connector.connect(address,
                (session, connecting) -> session.setAttribute(Door.PEER, peer));
        future.addListener(done -> {
            if (!((ConnectFuture) done).isConnected()) {
                boolean isOurs = isOfThisMachine(((ConnectFuture) done).getException());
                ownDialFailures.addAndGet(isOurs ? 1 : 0);
                post(isOurs ? peer::notDialled : peer::unreachable);
            }
        });
        return future;
    }

    /** Refused, or timed out, is the other side's word; no descriptor, port or route for it is this machine's own. */
    private static boolean isOfThisMachine(Throwable why) {
        return why instanceof SocketException && !(why instanceof ConnectException)
                && !(why instanceof NoRouteToHostException);
    }

    /** Connections that this machine could not begin to open. */
    long ownDialFailures() {
        return ownDialFailures.get();
    }

    /** Calls for a new connection that failed and were made again. */
    long acceptFailures() {
        return acceptors.stream().mapToLong(Acceptor::failures).sum();
    }

    /** Ends the sending at once, so that a pick given up is over before the next one goes out. */
    public void cut(IoSession session) {
        if (session.getAttribute(Turns.CHANNEL) instanceof SocketChannel channel) {
            try {
                channel.shutdownOutput();
            } catch (IOException e) {
                Logger.debug(e, "already closed");
            }
        }
        session.closeNow();
    }

    /** Whether nothing waits to be read on a connection, not even its end; a byte that came is lost. */
    public boolean isQuiet(IoSession session) {
        try {
            return session.getAttribute(Turns.CHANNEL) instanceof SocketChannel channel
                    && channel.read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** What has come on a connection and has not been read yet; empty where nothing has, or its end. */
    public ByteBuffer unread(IoSession session) {
        ByteBuffer bytes = ByteBuffer.allocate(READ_AT_FIRST);
        try {
            if (session.getAttribute(Turns.CHANNEL) instanceof SocketChannel channel) {
                channel.read(bytes);
            }
        } catch (IOException e) {
            Logger.debug(e, "already closed");
        }
        bytes.flip();
        if (tap != null && bytes.hasRemaining()) {
            tap.received(Door.number(session), bytes.duplicate());
        }
        return bytes;
    }

    /** From any thread: to be done in the next turn. */
    public void post(Runnable task) {
        posted.add(task);
        if (!isCurrent()) {
            // One is enough to end the wait, and while a processor runs nobody takes them out.
            if (processors.isEmpty()) {
                processors.offer(() -> { });
            }
            turns.wake();
        }
    }

    /** Something that came in, to be told in this or the next turn. */
    public void gather(Runnable told) {
        gathered.add(told);
    }

    public Timer at(long time, Runnable task) {
        // Guards against timers called off long before their time, several an RPC, that nobody takes out.
        if (calledOff > TIMERS_KEPT && calledOff > timers.size() / 2) {
            timers.removeIf(old -> old.task == null);
            calledOff = 0;
        }
        Timer timer = new Timer(time, timerCount++, task, this);
        timers.add(timer);
        return timer;
    }

    boolean isCurrent() {
        return Thread.currentThread() == thread;
    }

    @Override
    public void execute(Runnable processor) {
        processors.add(processor);
    }

    /** Closes everything; from another thread only. */
    public void end() {
        // First: a turn that comes while it closes must not dial any more. The thread itself goes on until all is closed.
        isClosing = true;
        acceptors.forEach(Acceptor::dispose);
        connector.dispose();
        pool.dispose();
        over = true;
    }

    @Override
    public void run() {
        thread = Thread.currentThread();
        while (!over) {
            try {
                turn();
                Runnable processor = processors.poll(untilDue(), TimeUnit.MILLISECONDS);
                if (processor != null) {
                    processor.run();
                }
            } catch (InterruptedException | RuntimeException | Error e) {
                fault(e);
            }
        }
    }

    /** One turn: tells all that was gathered, pulls the decisions dry; none any more once it is over. */
    void turn() {
        now = clock();
        if (isClosing) {
            return;
        }
        for (Core core : cores) {
            guarded(() -> core.now(now));
        }
        boolean more = true;
        while (more) {
            for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
                guarded(task);
            }
            while (!timers.isEmpty() && (timers.peek().task == null || timers.peek().at <= now)) {
                Runnable task = timers.poll().task;
                if (task != null) {
                    guarded(task);
                }
            }
            for (Runnable told = gathered.poll(); told != null; told = gathered.poll()) {
                guarded(told);
            }
            for (Core core : cores) {
                guarded(() -> decide(core));
            }
            more = !gathered.isEmpty() || !posted.isEmpty();
        }
    }

    private static void decide(Core core) {
        boolean more = true;
        while (more) {
            more = core.next();
        }
    }

    /** Nothing that a peer or the module does wrong ends the loop; whether it went well. */
    static boolean guarded(Runnable task) {
        try {
            task.run();
            return true;
        } catch (RuntimeException | Error e) {
            fault(e);
            return false;
        }
    }

    /** Milliseconds until the next timer, rounded up. */
    long untilDue() {
        while (!timers.isEmpty() && timers.peek().task == null) {
            timers.poll();
        }
        if (timers.isEmpty()) {
            return IDLE_WAIT_MS;
        }
        long left = timers.peek().at - clock();
        if (isEager && left < 2 * TENTHS_A_MS) {
            return 0;
        }
        return Math.min(IDLE_WAIT_MS, left <= 0 ? 0 : (left + TENTHS_A_MS - 1) / TENTHS_A_MS);
    }
}
