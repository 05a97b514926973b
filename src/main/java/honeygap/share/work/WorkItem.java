package honeygap.share.work;

/** One piece of work, with or for one partner; empty where it concerns none. */
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
