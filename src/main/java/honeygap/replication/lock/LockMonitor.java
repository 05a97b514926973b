package honeygap.replication.lock;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Checks that locks are acquired in ascending rank, held only briefly, and never held across I/O or calls to other
 * components. Violations are always counted; with assertions enabled they also fail.
 */
public final class LockMonitor {

    private final long maxHoldNs;
    private final AtomicLong orderViolations = new AtomicLong();
    private final AtomicLong longHolds = new AtomicLong();
    private final AtomicLong holdsWhileBlocking = new AtomicLong();
    /** Bit mask of the ranks that the current thread holds. */
    private final ThreadLocal<int[]> heldRanks = ThreadLocal.withInitial(() -> new int[1]);

    /** The longest time in nanoseconds for which a lock may be held. */
    public LockMonitor(long maxHoldNs) {
        this.maxHoldNs = maxHoldNs;
    }

    void beforeAcquire(Rank rank) {
        int[] rankBits = heldRanks.get();
        if (rankBits[0] >= 1 << rank.ordinal()) {
            orderViolations.incrementAndGet();
            assert false : rank + " acquired while a lock of the same or a later rank is held";
        }
    }

    void acquired(Rank rank) {
        heldRanks.get()[0] |= 1 << rank.ordinal();
    }

    void released(Rank rank, long heldNs) {
        heldRanks.get()[0] &= ~(1 << rank.ordinal());
        if (heldNs > maxHoldNs) {
            longHolds.incrementAndGet();
            assert false : rank + " held for " + heldNs / 1000 + " us";
        }
    }

    /** Call before an operation that may block, such as I/O on a socket or file, or a call to another component. */
    public void beforeBlocking(String operation) {
        if (heldRanks.get()[0] != 0) {
            holdsWhileBlocking.incrementAndGet();
            assert false : operation + " while a lock is held";
        }
    }

    public long orderViolations() {
        return orderViolations.get();
    }

    public long longHolds() {
        return longHolds.get();
    }

    public long holdsWhileBlocking() {
        return holdsWhileBlocking.get();
    }
}
