package honeygap.replication.work;

/** A queued or running task, for one partner; the partner is empty where the task concerns none. */
public final class WorkItem {

    final WorkKind kind;
    final String partner;
    final Runnable task;
    final long enqueuedAt;

    WorkItem(WorkKind kind, String partner, Runnable task, long enqueuedAt) {
        this.kind = kind;
        this.partner = partner;
        this.task = task;
        this.enqueuedAt = enqueuedAt;
    }

    @Override
    public String toString() {
        return kind + ":" + partner;
    }
}
