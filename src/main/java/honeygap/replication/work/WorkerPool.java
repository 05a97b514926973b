package honeygap.replication.work;

import honeygap.replication.lock.LockMonitor;
import honeygap.replication.lock.Rank;
import honeygap.replication.lock.RankedLock;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.Condition;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * A pool of threads that run background work. Each polls the queue under the queue's lock and runs the item without
 * any lock. A worker thread that dies is replaced, and its item counts as ended.
 */
public final class WorkerPool implements AutoCloseable {

    private static final long IDLE_WAIT_NS = 50_000_000;

    private final WorkQueue queue;
    private final LongSupplier clock;
    private final LockMonitor lockMonitor;
    private final RankedLock lock;
    private final Condition workAvailable;
    private final AtomicLong deadWorkers = new AtomicLong();
    private final AtomicLong failedItems = new AtomicLong();
    private volatile boolean isClosed;

    /** The clock returns units of 0.1 ms. */
    public WorkerPool(int threads, Map<WorkKind, WorkLimits> limits, LongSupplier clock, LockMonitor lockMonitor) {
        queue = new WorkQueue(limits);
        this.clock = clock;
        this.lockMonitor = lockMonitor;
        lock = new RankedLock(Rank.QUEUE, lockMonitor);
        workAvailable = lock.condition();
        for (int i = 0; i < threads; i++) {
            startWorker();
        }
    }

    private void startWorker() {
        Thread thread = new Thread(null, this::runWorker, "worker", 1 << 18);
        thread.setDaemon(true);
        thread.start();
    }

    /** Thread-safe, also while a table's lock is held: never waits for a worker. */
    public boolean offer(WorkKind kind, String partner, Runnable task) {
        return lock.callLocked(() -> {
            boolean isQueued = queue.offer(kind, partner, task, clock.getAsLong());
            if (isQueued) {
                workAvailable.signal();
            }
            return isQueued;
        });
    }

    private WorkItem next() throws InterruptedException {
        InterruptedException[] interrupted = new InterruptedException[1];
        WorkItem polled = lock.callLocked(() -> {
            WorkItem item = queue.poll(clock.getAsLong());
            if (item == null && !isClosed) {
                try {
                    lock.await(workAvailable, IDLE_WAIT_NS);
                } catch (InterruptedException e) {
                    interrupted[0] = e;
                }
                item = queue.poll(clock.getAsLong());
            }
            return item;
        });
        if (interrupted[0] != null) {
            throw interrupted[0];
        }
        return polled;
    }

    private void runWorker() {
        WorkItem item = null;
        boolean isRegularEnd = false;
        try {
            while (!isClosed) {
                item = next();
                if (item != null) {
                    run(item);
                    finished(item);
                    item = null;
                }
            }
            isRegularEnd = true;
        } catch (InterruptedException e) {
            isRegularEnd = isClosed;
        } finally {
            if (item != null) {
                finished(item);
            }
            if (!isRegularEnd && !isClosed) {
                deadWorkers.incrementAndGet();
                startWorker();
            }
        }
    }

    /** An exception ends the item only; an error ends the worker thread too. */
    private void run(WorkItem item) {
        lockMonitor.beforeBlocking("work");
        try {
            item.task.run();
        } catch (RuntimeException e) {
            if (failedItems.incrementAndGet() <= 100) {
                Logger.error(e, "{} work failed", item.kind);
            }
        }
    }

    private void finished(WorkItem item) {
        lock.runLocked(() -> {
            queue.finished(item);
            workAvailable.signal();
        });
    }

    /** Reads a figure from the queue under its lock. */
    public long count(java.util.function.ToLongFunction<WorkQueue> reading) {
        return lock.callLocked(() -> reading.applyAsLong(queue));
    }

    /** Worker threads that ended by an error and were replaced. */
    public long deadWorkers() {
        return deadWorkers.get();
    }

    /** Items that threw an exception. */
    public long failedItems() {
        return failedItems.get();
    }

    @Override
    public void close() {
        isClosed = true;
        lock.runLocked(workAvailable::signalAll);
    }
}
