package honeygap.share.lock;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Watches that locks are taken in rising rank, held for a short time, and never over I/O or a call out. Where
 * assertions are on a breach fails one; it is counted always.
 */
public final class Discipline {

    private final long longest;
    private final AtomicLong outOfOrder = new AtomicLong();
    private final AtomicLong heldLong = new AtomicLong();
    private final AtomicLong heldOverIo = new AtomicLong();
    /** A bit a rank that this thread holds. */
    private final ThreadLocal<int[]> held = ThreadLocal.withInitial(() -> new int[1]);

    /** Nanoseconds for which a lock may be held. */
    public Discipline(long longest) {
        this.longest = longest;
    }

    void taking(Rank rank) {
        int[] ranks = held.get();
        if (ranks[0] >= 1 << rank.ordinal()) {
            outOfOrder.incrementAndGet();
            assert false : rank + " taken while one of its rank or below is held";
        }
    }

    void taken(Rank rank) {
        held.get()[0] |= 1 << rank.ordinal();
    }

    void released(Rank rank, long heldFor) {
        held.get()[0] &= ~(1 << rank.ordinal());
        if (heldFor > longest) {
            heldLong.incrementAndGet();
            assert false : rank + " held for " + heldFor / 1000 + " us";
        }
    }

    /** Before anything that may wait: a socket, a file, another part's code. */
    public void mayWait(String what) {
        if (held.get()[0] != 0) {
            heldOverIo.incrementAndGet();
            assert false : what + " while a lock is held";
        }
    }

    public long outOfOrder() {
        return outOfOrder.get();
    }

    public long heldLong() {
        return heldLong.get();
    }

    public long heldOverIo() {
        return heldOverIo.get();
    }
}
