package honeygap.replication.lock;

import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/** A lock with a rank in the lock order. Results of a task that runs under it must stay valid after the release. */
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

    /**
     * Waits on a condition of this lock for at most the timeout; the waiting time does not count as holding the lock.
     */
    public void await(Condition condition, long timeoutNs) throws InterruptedException {
        condition.awaitNanos(timeoutNs);
        acquiredAtNs = System.nanoTime();
    }
}
