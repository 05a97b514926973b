package honeygap.share.lock;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Watches that locks are taken in rising rank, held for a short time, and never over I/O or a call out. Where
 * assertions are on a breach fails one; it is counted always.
 */
public final class LockMonitor {

    private final long maxHoldNs;
    private final AtomicLong orderViolations = new AtomicLong();
    private final AtomicLong longHolds = new AtomicLong();
    private final AtomicLong holdsWhileBlocking = new AtomicLong();
    /** A bit a rank that this thread holds. */
    private final ThreadLocal<int[]> heldRanks = ThreadLocal.withInitial(() -> new int[1]);

    /** Nanoseconds for which a lock may be held. */
    public LockMonitor(long maxHoldNs) {
        this.maxHoldNs = maxHoldNs;
    }

    void beforeAcquire(Rank rank) {
        int[] rankBits = heldRanks.get();
        if (rankBits[0] >= 1 << rank.ordinal()) {
            orderViolations.incrementAndGet();
            assert false : rank + " taken while one of its rank or below is held";
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

    /** Before anything that may wait: a socket, a file, another part's code. */
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
