package honeygap.flags;

import honeygap.fleet.Rpc;
import java.util.LinkedHashSet;
import java.util.Set;

/** What is asked of servers once, and all evaluations that wait for it. */
public final class Shared {

    public final Question question;
    public final long takenAt;
    public final long deadline;
    /** The RPC by which it is asked, once the host has opened it. */
    public Rpc rpc;
    final Set<Evaluation> waiting = new LinkedHashSet<>(2);
    /** Answered, given up or left: nothing that comes for it counts any more. */
    boolean isComplete;
    /** A pick of it went to a build on trial: only one evaluation may have its answer. */
    boolean isExclusive;

    Shared(Question query, long openedAt, long deadline) {
        this.question = query;
        this.takenAt = openedAt;
        this.deadline = deadline;
    }

    public boolean isComplete() {
        return isComplete;
    }
}
