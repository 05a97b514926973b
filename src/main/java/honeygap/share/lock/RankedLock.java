package honeygap.share.lock;

import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/** A lock with its place in the order. What is done under it returns a value that outlives it. */
public final class RankedLock {

    private final ReentrantLock lock = new ReentrantLock();
    private final Rank rank;
    private final LockMonitor monitor;
    private long acquiredAtNs;

    public RankedLock(Rank rank, LockMonitor monitor) {
        this.rank = rank;
        this.monitor = monitor;
    }

    public <T> T callLocked(Supplier<T> task) {
        acquire();
        try {
            return task.get();
        } finally {
            release();
        }
    }

    public void runLocked(Runnable task) {
        callLocked(() -> {
            task.run();
            return null;
        });
    }

    void acquire() {
        monitor.beforeAcquire(rank);
        lock.lock();
        monitor.acquired(rank);
        acquiredAtNs = System.nanoTime();
    }

    void release() {
        long heldNs = System.nanoTime() - acquiredAtNs;
        lock.unlock();
        monitor.released(rank, heldNs);
    }

    public Condition condition() {
        return lock.newCondition();
    }

    /** Waits on a condition of this lock, at most so long; the wait does not count as holding it. */
    public void await(Condition condition, long timeoutNs) throws InterruptedException {
        condition.awaitNanos(timeoutNs);
        acquiredAtNs = System.nanoTime();
    }
}
