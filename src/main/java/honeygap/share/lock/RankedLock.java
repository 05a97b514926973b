package honeygap.share.lock;

import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/** A lock with its place in the order. What is done under it returns a value that outlives it. */
public final class RankedLock {

    private final ReentrantLock lock = new ReentrantLock();
    private final Rank rank;
    private final Discipline discipline;
    private long since;

    public RankedLock(Rank rank, Discipline discipline) {
        this.rank = rank;
        this.discipline = discipline;
    }

    public <T> T hold(Supplier<T> task) {
        take();
        try {
            return task.get();
        } finally {
            release();
        }
    }

    public void run(Runnable task) {
        hold(() -> {
            task.run();
            return null;
        });
    }

    void take() {
        discipline.taking(rank);
        lock.lock();
        discipline.taken(rank);
        since = System.nanoTime();
    }

    void release() {
        long heldFor = System.nanoTime() - since;
        lock.unlock();
        discipline.released(rank, heldFor);
    }

    public Condition condition() {
        return lock.newCondition();
    }

    /** Waits on a condition of this lock, at most so long; the wait does not count as holding it. */
    public void await(Condition condition, long nanos) throws InterruptedException {
        condition.awaitNanos(nanos);
        since = System.nanoTime();
    }
}
