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
public final class WorkQueue {

    private final Map<WorkKind, WorkLimits> limits;
    private final List<WorkItem> queued = new ArrayList<>();
    private final Map<WorkKind, Integer> running = new EnumMap<>(WorkKind.class);
    private final Set<String> busy = new HashSet<>();
    private final Map<WorkKind, Long> finished = new EnumMap<>(WorkKind.class);
    private final Map<WorkKind, Long> dropped = new EnumMap<>(WorkKind.class);
    private final Map<WorkKind, Long> stale = new EnumMap<>(WorkKind.class);

    /** Every kind has a budget. */
    public WorkQueue(Map<WorkKind, WorkLimits> limits) {
        this.limits = new EnumMap<>(limits);
    }

    /** False where it is dropped: its kind has too many waiting, or the same is to be done with this partner. */
    public boolean offer(WorkKind kind, String partner, Runnable task, long now) {
        int sameKind = 0;
        boolean isDuplicate = false;
        for (WorkItem item : queued) {
            sameKind += item.kind == kind ? 1 : 0;
            isDuplicate |= item.kind == kind && !partner.isEmpty() && item.partner.equals(partner);
        }
        if (isDuplicate || sameKind >= limits.get(kind).maxQueued()) {
            dropped.merge(kind, 1L, Long::sum);
            return false;
        }
        queued.add(new WorkItem(kind, partner, task, now));
        return true;
    }

    /** The next piece, which runs from now on; null where none may. */
    public WorkItem poll(long now) {
        WorkItem selected = null;
        double selectedPriority = 0;
        for (Iterator<WorkItem> iterator = queued.iterator(); iterator.hasNext();) {
            WorkItem item = iterator.next();
            WorkLimits kindLimits = limits.get(item.kind);
            long waitTime = now - item.enqueuedAt;
            if (waitTime > kindLimits.maxWait()) {
                stale.merge(item.kind, 1L, Long::sum);
                iterator.remove();
                continue;
            }
            // Each kind stands one step behind the one before, and a step forward for each age that it waits.
            double priority = item.kind.ordinal() - (double) waitTime / kindLimits.agingInterval();
            boolean isEligible = running.getOrDefault(item.kind, 0) < kindLimits.maxRunning() && !busy.contains(item.partner);
            if (isEligible && (selected == null || priority < selectedPriority)) {
                selected = item;
                selectedPriority = priority;
            }
        }
        if (selected != null) {
            queued.remove(selected);
            running.merge(selected.kind, 1, Integer::sum);
            if (!selected.partner.isEmpty()) {
                busy.add(selected.partner);
            }
        }
        return selected;
    }

    /** It has ended, well or not: its partner and its kind's room are free again. */
    public void finished(WorkItem item) {
        running.merge(item.kind, -1, Integer::sum);
        busy.remove(item.partner);
        finished.merge(item.kind, 1L, Long::sum);
    }

    public int queuedCount() {
        return queued.size();
    }

    public long finishedCount(WorkKind kind) {
        return finished.getOrDefault(kind, 0L);
    }

    /** Turned away at once. */
    public long droppedCount(WorkKind kind) {
        return dropped.getOrDefault(kind, 0L);
    }

    /** Not begun in time. */
    public long staleCount(WorkKind kind) {
        return stale.getOrDefault(kind, 0L);
    }
}
