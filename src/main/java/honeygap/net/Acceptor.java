package honeygap.net;

import honeygap.rules.input.AcceptQuota;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.apache.mina.transport.socket.nio.SocketSessions;
import org.tinylog.Logger;

/**
 * Accepts at most a fixed number of open connections. The limit keeps a flood of connections from using up all file
 * descriptors before the loop has processed the first of them: connections over the limit wait in the system's accept
 * queue until others have closed. A failed accept call is retried after a short pause; MINA's own handling would
 * suspend all accepting for a second per failure.
 */
class Acceptor extends NioSocketAcceptor {

    private static final long SLOT_WAIT_MS = 1000;
    /**
     * The pause after a failed accept call, so that a process without free file descriptors does not use a whole CPU
     * core on retries.
     */
    private static final long FAILURE_PAUSE_MS = 10;
    private static final long FAILURES_PER_LOG_LINE = 100;
    private static final int EARLY_INPUT_BYTES = 1024;

    private final Loop loop;
    private final Semaphore slots;
    /** Permits for the connections that the loop still takes before it selects again. */
    private final Semaphore turnPermits = new Semaphore(AcceptQuota.CONNECTIONS_PER_TURN);
    private final AtomicLong failures = new AtomicLong();
    /** Input that was read when a connection was accepted, until the loop opens it. */
    private final Map<IoSession, ByteBuffer> earlyInputs = new ConcurrentHashMap<>();
    private final AtomicLong closedBeforeAccepted = new AtomicLong();
    private final AtomicLong longestTurnWaitMs = new AtomicLong();
    private final AtomicLong longestSlotWaitMs = new AtomicLong();
    private final SimpleIoProcessorPool<NioSession> pool;
    /** Connections that were accepted and whose handlers the loop has not opened yet. */
    private final AtomicInteger notYetOpened = new AtomicInteger();
    /** The latest time to accept connections from the system's queue during shutdown, by {@link System#nanoTime}. */
    private volatile long drainUntilNanos;
    private volatile boolean isDraining;

    Acceptor(Loop loop, Executor executor, SimpleIoProcessorPool<NioSession> pool, int maxConnections) {
        super(executor, pool);
        this.loop = loop;
        this.pool = pool;
        this.slots = new Semaphore(maxConnections);
        // Connections that were already accepted are served after the acceptor is unbound.
        setCloseOnDeactivation(false);
    }

    @Override
    protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle) throws Exception {
        if (!acquire(turnPermits, longestTurnWaitMs)) {
            return null;
        }
        boolean hasSlot = acquire(slots, longestSlotWaitMs);
        NioSession session = hasSlot ? acceptWithSlot(processor, handle) : null;
        if (session == null) {
            turnPermits.release();
        }
        return session;
    }

    private static boolean acquire(Semaphore permits, AtomicLong longestWaitMs) throws InterruptedException {
        long start = System.nanoTime();
        boolean isAcquired = permits.tryAcquire(SLOT_WAIT_MS, TimeUnit.MILLISECONDS);
        long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        longestWaitMs.accumulateAndGet(waitedMs, Math::max);
        return isAcquired;
    }

    /** The loop has begun another iteration; called by its thread alone. */
    void renewTurnPermits() {
        int used = AcceptQuota.CONNECTIONS_PER_TURN - turnPermits.availablePermits();
        if (used > 0) {
            turnPermits.release(used);
        }
    }

    /** Accepts a connection for a slot that has been acquired; releases the slot if there is no connection. */
    private NioSession acceptWithSlot(IoProcessor<NioSession> processor, ServerSocketChannel handle) throws Exception {
        NioSession session = null;
        try {
            session = acceptFromSystem(processor, handle);
        } catch (IOException e) {
            handleAcceptFailure(e);
        } finally {
            if (session == null) {
                slots.release();
            }
        }
        if (session != null) {
            notYetOpened.incrementAndGet();
            // The system's file descriptor is released only at the next select after the session has been closed.
            session.getCloseFuture().addListener(closed -> loop.post(() -> loop.schedule(loop.now() + 1, slots::release)));
        }
        return session;
    }

    /**
     * Closes the listening sockets, after accepting the connections in the system's queue. Closing at once would
     * reset them, although their clients see an established connection and may have sent requests.
     */
    void stop(long untilNanos) {
        drainUntilNanos = untilNanos;
        isDraining = true;
        unbind();
    }

    @Override
    protected void close(ServerSocketChannel handle) throws Exception {
        if (isDraining) {
            while (hasPendingConnection(handle) && acceptNext(handle)) {
                continue;
            }
        }
        super.close(handle);
    }

    /** Whether a connection waits in the accept queue. */
    private boolean hasPendingConnection(ServerSocketChannel handle) throws Exception {
        // After wakeup(), select() returns at once with the listening sockets that have pending connections.
        wakeup();
        select();
        boolean isPending = false;
        Iterator<ServerSocketChannel> selected = selectedHandles();
        while (selected.hasNext()) {
            isPending |= selected.next() == handle;
            selected.remove();
        }
        return isPending;
    }

    /**
     * Accepts one more connection; a failed accept call is retried by the caller. Returns false if no slot was free
     * before the deadline.
     */
    private boolean acceptNext(ServerSocketChannel handle) throws Exception {
        long nanosLeft = drainUntilNanos - System.nanoTime();
        if (nanosLeft <= 0 || !slots.tryAcquire(nanosLeft, TimeUnit.NANOSECONDS)) {
            return false;
        }
        NioSession session = acceptWithSlot(pool, handle);
        if (session != null) {
            initSession(session, null, null);
            session.getProcessor().add(session);
        }
        return true;
    }

    /** Called when the loop has opened the handler of an accepted connection. */
    void onSessionOpened() {
        notYetOpened.decrementAndGet();
    }

    int notYetOpened() {
        return notYetOpened.get();
    }

    /**
     * The system call; overridden in tests. A connection that its client has closed or reset already is dropped here, so
     * that it takes neither a slot nor the loop's time from others that wait in the queue.
     */
    NioSession acceptFromSystem(IoProcessor<NioSession> processor, ServerSocketChannel handle) throws Exception {
        SocketChannel channel = handle.accept();
        if (channel == null) {
            return null;
        }
        ByteBuffer input = ByteBuffer.allocate(EARLY_INPUT_BYTES);
        if (!readEarlyInput(channel, input)) {
            closedBeforeAccepted.incrementAndGet();
            channel.close();
            return null;
        }
        NioSession session = SocketSessions.create(this, processor, channel);
        if (input.flip().hasRemaining()) {
            earlyInputs.put(session, input);
        }
        return session;
    }

    /** Reads what the client has sent so far; returns false if it has closed or reset the connection. */
    private static boolean readEarlyInput(SocketChannel channel, ByteBuffer input) {
        try {
            channel.configureBlocking(false);
            return channel.read(input) >= 0;
        } catch (IOException e) {
            Logger.debug(e, "connection reset before it was accepted");
            return false;
        }
    }

    private void handleAcceptFailure(IOException cause) throws InterruptedException {
        if (failures.getAndIncrement() % FAILURES_PER_LOG_LINE == 0) {
            Logger.warn("accept failed, retrying: {}; {} failures so far", cause.getMessage(),
                    failures.get());
        }
        Thread.sleep(FAILURE_PAUSE_MS);
    }

    long failures() {
        return failures.get();
    }

    /** Takes the input that was read when the connection was accepted; null if there was none. */
    ByteBuffer takeEarlyInput(IoSession session) {
        return earlyInputs.remove(session);
    }

    /** Connections that their clients had closed before they were accepted. */
    long closedBeforeAccepted() {
        return closedBeforeAccepted.get();
    }

    /** The longest wait for the loop to take more connections, in milliseconds. */
    long longestTurnWaitMs() {
        return longestTurnWaitMs.get();
    }

    /** The longest wait for another connection to close, in milliseconds; at most a second at a time. */
    long longestSlotWaitMs() {
        return longestSlotWaitMs.get();
    }
}
