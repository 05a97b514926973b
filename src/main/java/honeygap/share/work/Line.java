package honeygap.share.work;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which piece of work is next? By kind and age, within each kind's budget, one at a time with a partner. What does not
 * fit or has become stale is dropped and counted by kind. No threads and no locks here. Times are tenths of a
 * millisecond.
 */
public final class Line {

    private final Map<Kind, Budget> budgets;
    private final List<Piece> waiting = new ArrayList<>();
    private final Map<Kind, Integer> running = new EnumMap<>(Kind.class);
    private final Set<String> busy = new HashSet<>();
    private final Map<Kind, Long> done = new EnumMap<>(Kind.class);
    private final Map<Kind, Long> dropped = new EnumMap<>(Kind.class);
    private final Map<Kind, Long> stale = new EnumMap<>(Kind.class);

    /** Every kind has a budget. */
    public Line(Map<Kind, Budget> budgets) {
        this.budgets = new EnumMap<>(budgets);
    }

    /** False where it is dropped: its kind has too many waiting, or the same is to be done with this partner. */
    public boolean offer(Kind kind, String partner, Runnable task, long now) {
        int many = 0;
        boolean isThere = false;
        for (Piece piece : waiting) {
            many += piece.kind == kind ? 1 : 0;
            isThere |= piece.kind == kind && !partner.isEmpty() && piece.partner.equals(partner);
        }
        if (isThere || many >= budgets.get(kind).waiting()) {
            dropped.merge(kind, 1L, Long::sum);
            return false;
        }
        waiting.add(new Piece(kind, partner, task, now));
        return true;
    }

    /** The next piece, which runs from now on; null where none may. */
    public Piece next(long now) {
        Piece best = null;
        double bestAt = 0;
        for (Iterator<Piece> pieces = waiting.iterator(); pieces.hasNext();) {
            Piece piece = pieces.next();
            Budget budget = budgets.get(piece.kind);
            long waited = now - piece.offeredAt;
            if (waited > budget.stale()) {
                stale.merge(piece.kind, 1L, Long::sum);
                pieces.remove();
                continue;
            }
            // Each kind stands one step behind the one before, and a step forward for each age that it waits.
            double at = piece.kind.ordinal() - (double) waited / budget.ages();
            boolean may = running.getOrDefault(piece.kind, 0) < budget.running() && !busy.contains(piece.partner);
            if (may && (best == null || at < bestAt)) {
                best = piece;
                bestAt = at;
            }
        }
        if (best != null) {
            waiting.remove(best);
            running.merge(best.kind, 1, Integer::sum);
            if (!best.partner.isEmpty()) {
                busy.add(best.partner);
            }
        }
        return best;
    }

    /** It has ended, well or not: its partner and its kind's room are free again. */
    public void ended(Piece piece) {
        running.merge(piece.kind, -1, Integer::sum);
        busy.remove(piece.partner);
        done.merge(piece.kind, 1L, Long::sum);
    }

    public int waiting() {
        return waiting.size();
    }

    public long done(Kind kind) {
        return done.getOrDefault(kind, 0L);
    }

    /** Turned away at once. */
    public long dropped(Kind kind) {
        return dropped.getOrDefault(kind, 0L);
    }

    /** Not begun in time. */
    public long stale(Kind kind) {
        return stale.getOrDefault(kind, 0L);
    }
}
