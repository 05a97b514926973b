package honeygap.net;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.Iterator;
import java.util.concurrent.Executor;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.tinylog.Logger;

/**
 * Accepts connections up to a number of places. Guards against a flood of connections that takes all descriptors before
 * the loop has seen the first of them: beyond its places they wait with the system until others have gone. A call that fails for a
 * moment is made again soon; left to MINA, each such failure would stop all accepting for a second.
 */
class Acceptor extends NioSocketAcceptor {

    private static final long SLOT_WAIT_MS = 1000;
    /** The pause after a call that failed; the pauses of a process that has no descriptors left are not to fill its core. */
    private static final long FAILURE_PAUSE_MS = 10;
    private static final long FAILURES_PER_LOG_LINE = 100;

    private final Loop loop;
    private final Semaphore slots;
    private final AtomicLong failures = new AtomicLong();
    private final SimpleIoProcessorPool<NioSession> pool;
    /** Connections that were accepted and that the loop has not seen yet. */
    private final AtomicInteger notYetOpened = new AtomicInteger();
    /** When accepting what the system has accepted ends at the latest, by the runtime's monotonic clock. */
    private volatile long drainUntilNanos;
    private volatile boolean isDraining;

    Acceptor(Loop loop, Executor executor, SimpleIoProcessorPool<NioSession> pool, int maxConnections) {
        super(executor, pool);
        this.loop = loop;
        this.pool = pool;
        this.slots = new Semaphore(maxConnections);
        // Whoever has been taken is served, also when no more are.
        setCloseOnDeactivation(false);
    }

    @Override
    protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel handle) throws Exception {
        return slots.tryAcquire(SLOT_WAIT_MS, TimeUnit.MILLISECONDS) ? acceptWithSlot(processor, handle) : null;
    }

    /** Accepts a connection for a place that has been taken; gives the place back where there is none. */
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
            // Closed is not gone: the system's descriptor is let go of when the loop selects the next time.
            session.getCloseFuture().addListener(closed -> loop.post(() -> loop.at(loop.now() + 1, slots::release)));
        }
        return session;
    }

    /**
     * Closes the listening sockets; what the system has accepted before is accepted here first. Guards against a reset of connections
     * in its queue whose clients have been told that somebody is there, and may have sent.
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

    /** Whether a connection waits to be accepted. */
    private boolean hasPendingConnection(ServerSocketChannel handle) throws Exception {
        // Woken beforehand, it comes back at once, with the sockets on which somebody waits marked.
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

    /** Whether there was time and a place for one more connection; a call that failed is made again. */
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

    /** The loop has seen one of its connections. */
    void onSessionOpened() {
        notYetOpened.decrementAndGet();
    }

    int notYetOpened() {
        return notYetOpened.get();
    }

    /** The system's call. */
    NioSession acceptFromSystem(IoProcessor<NioSession> processor, ServerSocketChannel handle) throws Exception {
        return super.accept(processor, handle);
    }

    private void handleAcceptFailure(IOException cause) throws InterruptedException {
        if (failures.getAndIncrement() % FAILURES_PER_LOG_LINE == 0) {
            Logger.warn("a connection could not be accepted, tried again: {}; {} such so far", cause.getMessage(),
                    failures.get());
        }
        Thread.sleep(FAILURE_PAUSE_MS);
    }

    long failures() {
        return failures.get();
    }
}
