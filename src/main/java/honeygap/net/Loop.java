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

        private final long dueAt;
        private final long sequence;
        private final Loop loop;
        private Runnable task;

        private Timer(long dueAt, long sequence, Runnable task, Loop loop) {
            this.dueAt = dueAt;
            this.sequence = sequence;
            this.task = task;
            this.loop = loop;
        }

        public void callOff() {
            if (task != null) {
                task = null;
                loop.cancelledTimers++;
            }
        }

        @Override
        public int compareTo(Timer other) {
            return dueAt != other.dueAt ? Long.compare(dueAt, other.dueAt) : Long.compare(sequence, other.sequence);
        }
    }

    /** Faults caught since the start: each is logged, none ends the loop. */
    private static final AtomicLong FAULTS = new AtomicLong();

    private static final AtomicLong INVARIANT_VIOLATIONS = new AtomicLong();

    private static final long TENTHS_PER_MS = 10;
    private static final long NANOS_PER_TENTH = 100_000;
    private static final long MAX_WAIT_MS = 1000;
    private static final int MIN_CANCELLED_TO_PURGE = 64;
    private static final int INITIAL_READ_BUFFER_BYTES = 4096;
    private static final int MAX_READ_BUFFER_BYTES = 65536;

    private final LinkedBlockingQueue<Runnable> processorTasks = new LinkedBlockingQueue<>();
    private final Queue<Runnable> postedTasks = new ConcurrentLinkedQueue<>();
    private final ArrayDeque<Runnable> deferredTasks = new ArrayDeque<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final SimpleIoProcessorPool<NioSession> processorPool;
    private final NioSocketConnector connector;
    private final List<Acceptor> acceptors = new ArrayList<>();
    private final AtomicLong localConnectFailures = new AtomicLong();
    private final long clockOriginNanos = System.nanoTime();
    private final boolean isBusyWaiting;
    private long nextTimerSequence;
    private int cancelledTimers;
    private long now;
    private List<Core> steppers = List.of();
    private volatile Thread thread;
    private volatile boolean isClosing;
    private volatile boolean isStopped;
    private long programStartNanos = clockOriginNanos;
    private long firstRpcMs;
    LoopProcessor processor;
    /** Listens in on all connections; null where nobody does. */
    Tap trafficListener;
    long lastConnectionNumber;

    public Loop() {
        this(false);
    }

    /** An eager loop does not sleep when something is due within two milliseconds: for tools that keep time. */
    public Loop(boolean isBusyWaiting) {
        this.isBusyWaiting = isBusyWaiting;
        ExceptionMonitor.setInstance(new ExceptionMonitor() {
            @Override
            public void exceptionCaught(Throwable cause) {
                fault(cause);
            }
        });
        processorPool = new SimpleIoProcessorPool<>(LoopProcessor.class, this, 1, null);
        connector = new NioSocketConnector(this::runOnHelperThread, processorPool);
        connector.setHandler(new IoEventDispatcher(this, null));
        configure(connector.getSessionConfig());
    }

    private static void configure(SocketSessionConfig session) {
        session.setTcpNoDelay(true);
        session.setReadBufferSize(INITIAL_READ_BUFFER_BYTES);
        session.setMaxReadBufferSize(MAX_READ_BUFFER_BYTES);
    }

    /** Accepting and connecting wait on threads of their own, which hand each session over. */
    private void runOnHelperThread(Runnable task) {
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
            INVARIANT_VIOLATIONS.incrementAndGet();
        }
        assert condition;
    }

    public static long broken() {
        return INVARIANT_VIOLATIONS.get();
    }

    public static long faultCount() {
        return FAULTS.get();
    }

    /** Tenths of a millisecond since the loop was made. */
    public long clock() {
        return (System.nanoTime() - clockOriginNanos) / 100_000;
    }

    /** The time of this turn. */
    public long now() {
        return now;
    }

    /** The program began then, by the clock of the runtime; where it is not told, with the loop. */
    public void startedAt(long nanos) {
        programStartNanos = nanos;
    }

    /** Milliseconds since the program began. */
    long millisSinceStart() {
        return (System.nanoTime() - programStartNanos) / 1_000_000;
    }

    /** An RPC has been taken: how long a restart takes is told by the first. */
    public void rpcTaken() {
        if (firstRpcMs == 0) {
            firstRpcMs = Math.max(1, millisSinceStart());
            Logger.info("first RPC after {} ms", firstRpcMs);
        }
    }

    /** Milliseconds from the program's beginning to its first RPC; 0 before that. */
    long firstRpcMs() {
        return firstRpcMs;
    }

    /** Lets somebody listen in on all connections that come up from then on; before the start. */
    public void tap(Tap listener) {
        this.trafficListener = listener;
    }

    public void start(Core... steppers) {
        this.steppers = List.of(steppers);
        Thread loopThread = new Thread(this, "loop");
        loopThread.setDaemon(true);
        loopThread.start();
    }

    /** Where it listens, which tells the port where none was named; before the next call, from one thread. */
    public InetSocketAddress listen(InetSocketAddress address, int backlog, int maxConnections, Supplier<Peer> handlerFactory)
            throws IOException {
        return listen(address, backlog, (executor, pool) -> new Acceptor(this, executor, pool, maxConnections), handlerFactory);
    }

    /** Makes what accepts connections on a thread of this executor and hands them to this pool. */
    interface AcceptorFactory {

        Acceptor create(Executor executor, SimpleIoProcessorPool<NioSession> pool);
    }

    InetSocketAddress listen(InetSocketAddress address, int backlog, AcceptorFactory acceptorFactory, Supplier<Peer> handlerFactory)
            throws IOException {
        Acceptor acceptor = acceptorFactory.create(this::runOnHelperThread, processorPool);
        acceptor.setHandler(new IoEventDispatcher(this, handlerFactory));
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
    void stopAccepting(long until, Runnable onStopped) {
        runOnHelperThread(() -> {
            acceptors.forEach(acceptor -> acceptor.stop(clockOriginNanos + until * NANOS_PER_TENTH));
            post(onStopped);
        });
    }

    /** Connections that were accepted and that no peer has heard of yet. */
    int acceptedNotOpened() {
        return acceptors.stream().mapToInt(Acceptor::notYetOpened).sum();
    }

    /** Opens a connection; the peer hears whether it came up. Whoever gives up cancels what is returned. */
    public ConnectFuture connect(InetSocketAddress address, Peer handler) {
        ConnectFuture future = connector.connect(address,
                (session, connecting) -> session.setAttribute(IoEventDispatcher.HANDLER, handler));
        future.addListener(done -> {
            if (!((ConnectFuture) done).isConnected()) {
                boolean isLocal = isLocalFailure(((ConnectFuture) done).getException());
                localConnectFailures.addAndGet(isLocal ? 1 : 0);
                post(isLocal ? handler::connectFailedLocally : handler::unreachable);
            }
        });
        return future;
    }

    /** Refused, or timed out, is the other side's word; no descriptor, port or route for it is this machine's own. */
    private static boolean isLocalFailure(Throwable cause) {
        return cause instanceof SocketException && !(cause instanceof ConnectException)
                && !(cause instanceof NoRouteToHostException);
    }

    /** Connections that this machine could not begin to open. */
    long localConnectFailures() {
        return localConnectFailures.get();
    }

    /** Calls for a new connection that failed and were made again. */
    long acceptFailures() {
        return acceptors.stream().mapToLong(Acceptor::failures).sum();
    }

    /** Ends the sending at once, so that a pick given up is over before the next one goes out. */
    public void cut(IoSession session) {
        if (session.getAttribute(LoopProcessor.CHANNEL) instanceof SocketChannel channel) {
            try {
                channel.shutdownOutput();
            } catch (IOException e) {
                Logger.debug(e, "already closed");
            }
        }
        session.closeNow();
    }

    /** Whether nothing waits to be read on a connection, not even its end; a byte that came is lost. */
    public boolean hasNoPendingInput(IoSession session) {
        try {
            return session.getAttribute(LoopProcessor.CHANNEL) instanceof SocketChannel channel
                    && channel.read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** What has come on a connection and has not been read yet; empty where nothing has, or its end. */
    public ByteBuffer unread(IoSession session) {
        ByteBuffer bytes = ByteBuffer.allocate(INITIAL_READ_BUFFER_BYTES);
        try {
            if (session.getAttribute(LoopProcessor.CHANNEL) instanceof SocketChannel channel) {
                channel.read(bytes);
            }
        } catch (IOException e) {
            Logger.debug(e, "already closed");
        }
        bytes.flip();
        if (trafficListener != null && bytes.hasRemaining()) {
            trafficListener.received(IoEventDispatcher.connectionNumber(session), bytes.duplicate());
        }
        return bytes;
    }

    /** From any thread: to be done in the next turn. */
    public void post(Runnable task) {
        postedTasks.add(task);
        if (!isLoopThread()) {
            // One is enough to end the wait, and while a processor runs nobody takes them out.
            if (processorTasks.isEmpty()) {
                processorTasks.offer(() -> { });
            }
            processor.wake();
        }
    }

    /** Something that came in, to be told in this or the next turn. */
    public void gather(Runnable task) {
        deferredTasks.add(task);
    }

    public Timer at(long time, Runnable task) {
        // Guards against timers called off long before their time, several an RPC, that nobody takes out.
        if (cancelledTimers > MIN_CANCELLED_TO_PURGE && cancelledTimers > timers.size() / 2) {
            timers.removeIf(old -> old.task == null);
            cancelledTimers = 0;
        }
        Timer timer = new Timer(time, nextTimerSequence++, task, this);
        timers.add(timer);
        return timer;
    }

    boolean isLoopThread() {
        return Thread.currentThread() == thread;
    }

    @Override
    public void execute(Runnable processor) {
        processorTasks.add(processor);
    }

    /** Closes everything; from another thread only. */
    public void end() {
        // First: a turn that comes while it closes must not dial any more. The thread itself goes on until all is closed.
        isClosing = true;
        acceptors.forEach(Acceptor::dispose);
        connector.dispose();
        processorPool.dispose();
        isStopped = true;
    }

    @Override
    public void run() {
        thread = Thread.currentThread();
        while (!isStopped) {
            try {
                runIteration();
                Runnable processor = processorTasks.poll(millisUntilNextTimer(), TimeUnit.MILLISECONDS);
                if (processor != null) {
                    processor.run();
                }
            } catch (InterruptedException | RuntimeException | Error e) {
                fault(e);
            }
        }
    }

    /** One turn: tells all that was gathered, pulls the decisions dry; none any more once it is over. */
    void runIteration() {
        now = clock();
        if (isClosing) {
            return;
        }
        for (Core stepper : steppers) {
            runGuarded(() -> stepper.now(now));
        }
        boolean more = true;
        while (more) {
            for (Runnable task = postedTasks.poll(); task != null; task = postedTasks.poll()) {
                runGuarded(task);
            }
            while (!timers.isEmpty() && (timers.peek().task == null || timers.peek().dueAt <= now)) {
                Runnable task = timers.poll().task;
                if (task != null) {
                    runGuarded(task);
                }
            }
            for (Runnable task = deferredTasks.poll(); task != null; task = deferredTasks.poll()) {
                runGuarded(task);
            }
            for (Core stepper : steppers) {
                runGuarded(() -> stepUntilDone(stepper));
            }
            more = !deferredTasks.isEmpty() || !postedTasks.isEmpty();
        }
    }

    private static void stepUntilDone(Core stepper) {
        boolean more = true;
        while (more) {
            more = stepper.next();
        }
    }

    /** Nothing that a peer or the module does wrong ends the loop; whether it went well. */
    static boolean runGuarded(Runnable task) {
        try {
            task.run();
            return true;
        } catch (RuntimeException | Error e) {
            fault(e);
            return false;
        }
    }

    /** Milliseconds until the next timer, rounded up. */
    long millisUntilNextTimer() {
        while (!timers.isEmpty() && timers.peek().task == null) {
            timers.poll();
        }
        if (timers.isEmpty()) {
            return MAX_WAIT_MS;
        }
        long left = timers.peek().dueAt - clock();
        if (isBusyWaiting && left < 2 * TENTHS_PER_MS) {
            return 0;
        }
        return Math.min(MAX_WAIT_MS, left <= 0 ? 0 : (left + TENTHS_PER_MS - 1) / TENTHS_PER_MS);
    }
}
