package honeygap.share.work;

import honeygap.share.lock.Discipline;
import honeygap.share.lock.Rank;
import honeygap.share.lock.RankedLock;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.Condition;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * A pool of threads that carry out work beside the loop. Each takes its piece under the lock of the line and runs it
 * under none. A worker that dies is replaced, and what it was at counts as ended.
 */
public final class Workers implements AutoCloseable {

    private static final long WAIT_NS = 50_000_000;

    private final Line line;
    private final LongSupplier clock;
    private final Discipline discipline;
    private final RankedLock lock;
    private final Condition came;
    private final AtomicLong died = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private volatile boolean over;

    /** So many threads; the clock tells tenths of a millisecond. */
    public Workers(int threads, Map<Kind, Budget> budgets, LongSupplier clock, Discipline discipline) {
        line = new Line(budgets);
        this.clock = clock;
        this.discipline = discipline;
        lock = new RankedLock(Rank.QUEUE, discipline);
        came = lock.condition();
        for (int i = 0; i < threads; i++) {
            hire();
        }
    }

    private void hire() {
        Thread thread = new Thread(null, this::work, "worker", 1 << 18);
        thread.setDaemon(true);
        thread.start();
    }

    /** From any thread, also one that holds a table's lock: never waits for a worker. */
    public boolean offer(Kind kind, String partner, Runnable task) {
        return lock.hold(() -> {
            boolean isTaken = line.offer(kind, partner, task, clock.getAsLong());
            if (isTaken) {
                came.signal();
            }
            return isTaken;
        });
    }

    private Piece next() throws InterruptedException {
        InterruptedException[] interrupted = new InterruptedException[1];
        Piece next = lock.hold(() -> {
            Piece piece = line.next(clock.getAsLong());
            if (piece == null && !over) {
                try {
                    lock.await(came, WAIT_NS);
                } catch (InterruptedException e) {
                    interrupted[0] = e;
                }
                piece = line.next(clock.getAsLong());
            }
            return piece;
        });
        if (interrupted[0] != null) {
            throw interrupted[0];
        }
        return next;
    }

    private void work() {
        Piece piece = null;
        boolean isWell = false;
        try {
            while (!over) {
                piece = next();
                if (piece != null) {
                    run(piece);
                    ended(piece);
                    piece = null;
                }
            }
            isWell = true;
        } catch (InterruptedException e) {
            isWell = over;
        } finally {
            if (piece != null) {
                ended(piece);
            }
            if (!isWell && !over) {
                died.incrementAndGet();
                hire();
            }
        }
    }

    /** A fault of the work ends the work alone; an error ends the worker too. */
    private void run(Piece piece) {
        discipline.mayWait("work");
        try {
            piece.task.run();
        } catch (RuntimeException e) {
            if (failed.incrementAndGet() <= 100) {
                Logger.error(e, "{} work failed", piece.kind);
            }
        }
    }

    private void ended(Piece piece) {
        lock.run(() -> {
            line.ended(piece);
            came.signal();
        });
    }

    /** Something read off the line, under its lock. */
    public long count(java.util.function.ToLongFunction<Line> reading) {
        return lock.hold(() -> reading.applyAsLong(line));
    }

    /** Workers that ended by an error and were replaced. */
    public long died() {
        return died.get();
    }

    /** Pieces of work that threw something. */
    public long failed() {
        return failed.get();
    }

    @Override
    public void close() {
        over = true;
        lock.run(came::signalAll);
    }
}
