package honeygap.net;

import honeygap.rules.input.InputBacklog;
import honeygap.rules.memory.MemoryBudget;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
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
 * The event loop: one thread that owns all state. Input is queued; each iteration processes the queue, then asks the
 * steppers for decisions until there are none left. As MINA's executor the loop also runs the I/O processor, which
 * ends with its last session; from then on timers are run by the loop itself.
 */
public final class Loop implements Executor, Runnable {

    /**
     * A component that the loop drives: it is given the time once per iteration and takes one step at a time until it
     * has none left.
     */
    public interface Stepper {

        /** Begins an iteration at this time, in tenths of a millisecond. */
        void startIteration(long now);

        /** Takes one step; returns false if there is nothing left to do. */
        boolean step();
    }

    /** A task scheduled for a time, unless it is cancelled. */
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

        /** Cancels the timer; has no effect if it already ran. */
        public void cancel() {
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

    /** Faults caught since the process started; the first of them are logged. */
    private static final AtomicLong FAULTS = new AtomicLong();
    private static final long MAX_LOGGED_FAULTS = 100;
    /** Faults that should have been logged and could not. */
    private static final AtomicLong UNLOGGED_FAULTS = new AtomicLong();

    /** Violations of {@link #checkInvariant} since the process started. */
    private static final AtomicLong INVARIANT_VIOLATIONS = new AtomicLong();

    private static final long TENTHS_PER_MS = 10;
    private static final long NANOS_PER_TENTH = 100_000;
    private static final long MAX_WAIT_MS = 1000;
    private static final int MIN_CANCELLED_TO_PURGE = 64;
    private static final int INITIAL_READ_BUFFER_BYTES = 4096;
    /** Bounds what one pass over all connections may add to what they hold. */
    private static final int MAX_READ_BUFFER_BYTES = 16_384;
    /** Failures of the loop itself that it survives, unless each follows the one before within a second. */
    private static final int MAX_FAILURES_IN_A_ROW = 3;
    private static final long FAILURE_INTERVAL_NANOS = 1_000_000_000;

    private final LinkedBlockingQueue<Runnable> processorTasks = new LinkedBlockingQueue<>();
    private final Queue<Runnable> postedTasks = new ConcurrentLinkedQueue<>();
    private final ArrayDeque<Runnable> deferredTasks = new ArrayDeque<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final SimpleIoProcessorPool<NioSession> processorPool;
    private final NioSocketConnector connector;
    private final List<Acceptor> acceptors = new CopyOnWriteArrayList<>();
    private final AtomicLong localConnectFailures = new AtomicLong();
    private final long clockOriginNanos = System.nanoTime();
    private final boolean isBusyWaiting;
    private final MemoryBudget memory;
    private final InputBacklog backlog = new InputBacklog();
    final TurnStatistics turnStatistics = new TurnStatistics(new OncePerSecond(this));
    private long closedBeforeOpened;
    private long selections;
    private long nextTimerSequence;
    private int cancelledTimers;
    private long now;
    private List<Stepper> steppers = List.of();
    private volatile Thread thread;
    private volatile boolean isClosing;
    private volatile boolean isStopped;
    private volatile Consumer<Throwable> threadFailureListener = cause -> { };
    private int failuresInARow;
    private long lastFailureNanos;
    private long programStartNanos = clockOriginNanos;
    private long firstRpcMs;
    LoopProcessor processor;
    /** Receives a copy of the traffic on all connections; null if unused. */
    TrafficListener trafficListener;
    long lastConnectionNumber;

    public Loop() {
        this(false);
    }

    /**
     * A busy-waiting loop does not sleep if a timer is due within two milliseconds: for tools that need exact timing.
     */
    public Loop(boolean isBusyWaiting) {
        this(isBusyWaiting, Runtime.getRuntime().maxMemory());
    }

    /** A loop whose connections share a heap of this size. */
    Loop(boolean isBusyWaiting, long heapBytes) {
        this.isBusyWaiting = isBusyWaiting;
        memory = new MemoryBudget(heapBytes);
        ExceptionMonitor.setInstance(new ExceptionMonitor() {
            @Override
            public void exceptionCaught(Throwable cause) {
                // A connection that was closed while it waited for the loop is counted by its processor.
                if (!(cause instanceof ClosedChannelException)) {
                    reportFault(cause);
                }
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

    /** MINA's acceptors and connectors block on threads of their own and hand each session over to the loop. */
    private void runOnHelperThread(Runnable task) {
        Thread helper = new Thread(null, () -> runToEnd(task), "connections", 1 << 17);
        helper.setDaemon(true);
        helper.start();
    }

    /** Runs what a thread is there for. If it fails, the loop is not whole any more and the listener is notified. */
    private void runToEnd(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            reportFault(e);
            threadFailureListener.accept(e);
            throw e;
        }
    }

    /**
     * Sets what is done when a thread of this loop has ended by a failure: connections are then not accepted, not
     * opened or not served any more.
     */
    public void setThreadFailureListener(Consumer<Throwable> listener) {
        threadFailureListener = listener;
    }

    /** Counts and logs an unexpected exception or error; never fails itself, even if there is no memory for a log line. */
    public static void reportFault(Throwable cause) {
        if (FAULTS.incrementAndGet() <= MAX_LOGGED_FAULTS) {
            try {
                Logger.error(cause, "internal fault, continuing");
            } catch (RuntimeException | Error e) {
                UNLOGGED_FAULTS.incrementAndGet();
            }
        }
    }

    /** Checks an invariant: a violation is counted, and fails an assertion where assertions are enabled. */
    public static void checkInvariant(boolean condition) {
        if (!condition) {
            INVARIANT_VIOLATIONS.incrementAndGet();
        }
        assert condition;
    }

    /** The number of invariant violations since the process started. */
    public static long invariantViolations() {
        return INVARIANT_VIOLATIONS.get();
    }

    /** The number of faults since the process started. */
    public static long faultCount() {
        return FAULTS.get();
    }

    /** The number of faults that could not be logged. */
    static long unloggedFaultCount() {
        return UNLOGGED_FAULTS.get();
    }

    /** The memory that all connections of this loop share; on the loop's thread only. */
    public MemoryBudget memory() {
        return memory;
    }

    /** The connections whose input has exceeded their share of an iteration; on the loop's thread only. */
    public InputBacklog backlog() {
        return backlog;
    }

    /** New connections have been opened, and the system is about to be asked which connections are readable. */
    void beforeSelection() {
        selections++;
        for (Acceptor acceptor : acceptors) {
            acceptor.renewTurnPermits();
        }
    }

    /** How often the system was asked which connections are readable. */
    public long selections() {
        return selections;
    }

    /** A connection was closed before the loop opened it; MINA reports no event for it. */
    void onClosedBeforeOpened(IoSession session) {
        closedBeforeOpened++;
        if (session.getService() instanceof Acceptor acceptor) {
            acceptor.onSessionOpened();
            acceptor.takeEarlyInput(session);
        }
        session.getCloseFuture().setClosed();
    }

    /** Connections that were closed before the loop opened them. */
    long closedBeforeOpened() {
        return closedBeforeOpened;
    }

    /** Tenths of a millisecond since the loop was created. */
    public long clock() {
        return (System.nanoTime() - clockOriginNanos) / 100_000;
    }

    /** The time at which this iteration began, in tenths of a millisecond. */
    public long now() {
        return now;
    }

    /** Sets the start of the program, by {@link System#nanoTime}; by default it is the creation of the loop. */
    public void setProgramStart(long nanos) {
        programStartNanos = nanos;
    }

    /** Milliseconds since the program started. */
    long millisSinceStart() {
        return (System.nanoTime() - programStartNanos) / 1_000_000;
    }

    /** Called when an RPC has been read. The first one is logged: it shows how long a restart takes. */
    public void onRpcAccepted() {
        if (firstRpcMs == 0) {
            firstRpcMs = Math.max(1, millisSinceStart());
            Logger.info("first RPC after {} ms", firstRpcMs);
        }
    }

    /** Milliseconds from the start of the program to its first RPC; 0 before that. */
    long firstRpcMs() {
        return firstRpcMs;
    }

    /** Sets the listener for traffic on all connections opened from then on; call it before the start. */
    public void setTrafficListener(TrafficListener listener) {
        this.trafficListener = listener;
    }

    /** Starts the loop's thread, which drives these steppers. */
    public void start(Stepper... steppers) {
        this.steppers = List.of(steppers);
        Thread loopThread = new Thread(this, "loop");
        loopThread.setDaemon(true);
        loopThread.start();
    }

    /**
     * Listens on an address and returns the bound address, which has the port if none was given. Calls must not
     * overlap.
     */
    public InetSocketAddress listen(InetSocketAddress address, int backlog, int maxConnections,
            Supplier<ConnectionHandler> handlerFactory) throws IOException {
        return listen(address, backlog, (executor, pool) -> new Acceptor(this, executor, pool, maxConnections),
                handlerFactory);
    }

    /** Creates an acceptor that runs on the executor and hands its connections to the processor pool. */
    interface AcceptorFactory {

        Acceptor create(Executor executor, SimpleIoProcessorPool<NioSession> pool);
    }

    InetSocketAddress listen(InetSocketAddress address, int backlog, AcceptorFactory acceptorFactory,
            Supplier<ConnectionHandler> handlerFactory) throws IOException {
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
     * Stops accepting connections. Open connections stay, and connections in the system's accept queue are still
     * accepted, up to a time on this loop's clock. The callback runs on the loop.
     */
    void stopAccepting(long until, Runnable onStopped) {
        runOnHelperThread(() -> {
            acceptors.forEach(acceptor -> acceptor.stop(clockOriginNanos + until * NANOS_PER_TENTH));
            post(onStopped);
        });
    }

    /** Connections that were accepted and whose handlers have not been opened yet. */
    int acceptedNotOpened() {
        return acceptors.stream().mapToInt(Acceptor::notYetOpened).sum();
    }

    /**
     * Opens a connection; the handler is notified of success or failure. Cancel the returned future to abandon the
     * attempt.
     */
    public ConnectFuture connect(InetSocketAddress address, ConnectionHandler handler) {
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

    /**
     * A refused or timed-out connection is a failure of the remote side; a missing file descriptor, port or route is
     * local.
     */
    private static boolean isLocalFailure(Throwable cause) {
        return cause instanceof SocketException && !(cause instanceof ConnectException)
                && !(cause instanceof NoRouteToHostException);
    }

    /** Connections that could not be opened because of a failure on this machine. */
    long localConnectFailures() {
        return localConnectFailures.get();
    }

    /** Connections that their clients had closed before they were accepted. */
    long closedBeforeAccepted() {
        return acceptors.stream().mapToLong(Acceptor::closedBeforeAccepted).sum();
    }

    /** The longest wait of a listener for the loop to take more connections, in milliseconds. */
    long longestAcceptWaitMs() {
        return acceptors.stream().mapToLong(Acceptor::longestTurnWaitMs).max().orElse(0);
    }

    /** The longest wait of a listener for another connection to close, in milliseconds. */
    long longestSlotWaitMs() {
        return acceptors.stream().mapToLong(Acceptor::longestSlotWaitMs).max().orElse(0);
    }

    /** Accept calls that failed and were retried. */
    long acceptFailures() {
        return acceptors.stream().mapToLong(Acceptor::failures).sum();
    }

    /**
     * Closes a connection after ending its output at once, so that an abandoned pick can no longer be sent when the
     * next one is.
     */
    public void closeAbruptly(IoSession session) {
        if (session.getAttribute(LoopProcessor.CHANNEL) instanceof SocketChannel channel) {
            try {
                channel.shutdownOutput();
            } catch (IOException e) {
                Logger.debug(e, "already closed");
            }
        }
        session.closeNow();
    }

    /**
     * Whether a connection has neither unread input nor been closed by the remote side. If it has input, one byte of
     * it is lost.
     */
    public boolean hasNoPendingInput(IoSession session) {
        try {
            return session.getAttribute(LoopProcessor.CHANNEL) instanceof SocketChannel channel
                    && channel.read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Reads input that has arrived and was not read yet; empty if there is none. If the remote side has closed the
     * connection, it is closed here too.
     */
    public ByteBuffer readPending(IoSession session) {
        ByteBuffer bytes = ByteBuffer.allocate(INITIAL_READ_BUFFER_BYTES);
        try {
            if (session.getAttribute(LoopProcessor.CHANNEL) instanceof SocketChannel channel && channel.read(bytes) < 0) {
                session.closeNow();
            }
        } catch (IOException e) {
            Logger.debug(e, "already closed");
            session.closeNow();
        }
        bytes.flip();
        if (trafficListener != null && bytes.hasRemaining()) {
            trafficListener.received(IoEventDispatcher.connectionNumber(session), bytes.duplicate());
        }
        return bytes;
    }

    /** Runs a task in the next iteration; callable from any thread. */
    public void post(Runnable task) {
        postedTasks.add(task);
        if (!isLoopThread()) {
            // One task suffices to end the wait; while the I/O processor runs, this queue is not read.
            if (processorTasks.isEmpty()) {
                processorTasks.offer(() -> { });
            }
            processor.wake();
        }
    }

    /** Queues input for processing in this or the next iteration; on the loop's thread only. */
    public void defer(Runnable task) {
        deferredTasks.add(task);
    }

    /** Schedules a task for a time on this loop's clock; on the loop's thread only. */
    public Timer schedule(long time, Runnable task) {
        // Each RPC cancels several timers long before they are due: they are purged here so that they don't pile up.
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

    /** Closes all connections and stops the loop; must not be called on the loop's thread. */
    public void close() {
        // Set first, so that an iteration during the close opens no connections. The thread runs until everything is
        // closed.
        isClosing = true;
        acceptors.forEach(Acceptor::dispose);
        connector.dispose();
        processorPool.dispose();
        isStopped = true;
    }

    @Override
    public void run() {
        thread = Thread.currentThread();
        runToEnd(this::runUntilStopped);
    }

    private void runUntilStopped() {
        while (!isStopped) {
            Runnable processor = null;
            try {
                runIteration();
                processor = processorTasks.poll(millisUntilNextTimer(), TimeUnit.MILLISECONDS);
                if (processor != null) {
                    processor.run();
                }
            } catch (InterruptedException | RuntimeException | Error e) {
                reportFault(e);
                if (processor != null) {
                    // It did not end by itself, so MINA does not start another one for its sessions.
                    processorTasks.add(processor);
                }
                endIfFailingRepeatedly(e);
            }
        }
    }

    /** Ends the loop's thread rather than failing for ever: nobody would be served. */
    private void endIfFailingRepeatedly(Throwable cause) {
        long nanos = System.nanoTime();
        failuresInARow = nanos - lastFailureNanos > FAILURE_INTERVAL_NANOS ? 1 : failuresInARow + 1;
        lastFailureNanos = nanos;
        if (failuresInARow > MAX_FAILURES_IN_A_ROW) {
            throw new IllegalStateException("the event loop fails again and again", cause);
        }
    }

    /**
     * One iteration: processes all queued input, then steps until no decision is left; does nothing once the loop is
     * closing.
     */
    void runIteration() {
        now = clock();
        if (isClosing) {
            return;
        }
        for (Stepper stepper : steppers) {
            runGuarded(() -> stepper.startIteration(now));
        }
        runTasksAndDecisions();
        if (!backlog.isEmpty()) {
            processBacklog();
            runTasksAndDecisions();
        }
    }

    /** Processes input that was left over, after the decisions on all other input. */
    private void processBacklog() {
        backlog.startTurn();
        for (InputBacklog.Waiting next = backlog.next(); next != null; next = backlog.next()) {
            runGuarded(next::processBacklog);
        }
    }

    private void runTasksAndDecisions() {
        boolean more = true;
        while (more) {
            for (Runnable task = postedTasks.poll(); task != null; task = postedTasks.poll()) {
                runGuarded(task);
            }
            while (!timers.isEmpty() && (timers.peek().task == null || timers.peek().dueAt <= now)) {
                Runnable task = timers.poll().task;
                if (task != null) {
                    turnStatistics.add(TurnStatistics.Activity.TIMER);
                    runGuarded(task);
                }
            }
            for (Runnable task = deferredTasks.poll(); task != null; task = deferredTasks.poll()) {
                runGuarded(task);
            }
            for (Stepper stepper : steppers) {
                runGuarded(() -> stepUntilDone(stepper));
            }
            more = !deferredTasks.isEmpty() || !postedTasks.isEmpty();
        }
    }

    private static void stepUntilDone(Stepper stepper) {
        boolean more = true;
        while (more) {
            more = stepper.step();
        }
    }

    /**
     * Runs a task and reports any exception as a fault, so that no handler or rule can end the loop; returns whether
     * it succeeded.
     */
    static boolean runGuarded(Runnable task) {
        try {
            task.run();
            return true;
        } catch (RuntimeException | Error e) {
            reportFault(e);
            return false;
        }
    }

    /** Milliseconds until the next timer is due, rounded up; 0 while input waits for its turn. */
    long millisUntilNextTimer() {
        if (!backlog.isEmpty()) {
            return 0;
        }
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
