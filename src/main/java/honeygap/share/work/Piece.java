package honeygap.share.work;

/** One piece of work, with or for one partner; empty where it concerns none. */
public final class Piece {

    final Kind kind;
    final String partner;
    final Runnable task;
    final long offeredAt;

    Piece(Kind kind, String partner, Runnable task, long offeredAt) {
        this.kind = kind;
        this.partner = partner;
        this.task = task;
        this.offeredAt = offeredAt;
    }

    @Override
    public String toString() {
        return kind + ":" + partner;
    }
}
