package honeygap.replication.work;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects the next work item by kind and age, within the limits of each kind and with at most one running item per
 * partner. Items that do not fit or have become stale are dropped and counted by kind. Not thread-safe. Times are in
 * units of 0.1 ms.
 */
public final class WorkQueue {

    private final Map<WorkKind, WorkLimits> limits;
    private final List<WorkItem> queued = new ArrayList<>();
    private final Map<WorkKind, Integer> running = new EnumMap<>(WorkKind.class);
    private final Set<String> busy = new HashSet<>();
    private final Map<WorkKind, Long> finished = new EnumMap<>(WorkKind.class);
    private final Map<WorkKind, Long> dropped = new EnumMap<>(WorkKind.class);
    private final Map<WorkKind, Long> stale = new EnumMap<>(WorkKind.class);

    /** Every kind needs limits. */
    public WorkQueue(Map<WorkKind, WorkLimits> limits) {
        this.limits = new EnumMap<>(limits);
    }

    /** Returns false if the item is dropped: too many of its kind are queued, or one of its kind and partner is. */
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

    /** Removes and returns the next item, which counts as running from now on; null if none may run. */
    public WorkItem poll(long now) {
        WorkItem selected = null;
        double selectedOrder = 0;
        for (Iterator<WorkItem> iterator = queued.iterator(); iterator.hasNext();) {
            WorkItem item = iterator.next();
            WorkLimits kindLimits = limits.get(item.kind);
            long waitTime = now - item.enqueuedAt;
            if (waitTime > kindLimits.maxWait()) {
                stale.merge(item.kind, 1L, Long::sum);
                iterator.remove();
                continue;
            }
            // The lowest value runs first: the kind's position, less one for each aging interval of waiting.
            double order = item.kind.ordinal() - (double) waitTime / kindLimits.agingInterval();
            boolean isEligible = running.getOrDefault(item.kind, 0) < kindLimits.maxRunning()
                    && !busy.contains(item.partner);
            if (isEligible && (selected == null || order < selectedOrder)) {
                selected = item;
                selectedOrder = order;
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

    /** Ends a running item, successful or not: frees its partner and its kind's capacity. */
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

    /** Items rejected when offered. */
    public long droppedCount(WorkKind kind) {
        return dropped.getOrDefault(kind, 0L);
    }

    /** Items discarded because they waited too long. */
    public long staleCount(WorkKind kind) {
        return stale.getOrDefault(kind, 0L);
    }
}
