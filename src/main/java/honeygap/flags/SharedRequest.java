package honeygap.flags;

import honeygap.fleet.Rpc;
import java.util.LinkedHashSet;
import java.util.Set;

/** A request that is sent to the servers once, with all evaluations that wait for its answer. */
public final class SharedRequest {

    public final FlagQuery query;
    public final long openedAt;
    public final long deadline;
    /** The RPC that carries the request, once the host has opened it. */
    public Rpc rpc;
    final Set<Evaluation> waiting = new LinkedHashSet<>(2);
    /** Answered, failed or abandoned; later results are ignored. */
    boolean isComplete;
    /** Whether a pick was sent to a build on trial, so that only one evaluation may receive the answer. */
    boolean isExclusive;

    SharedRequest(FlagQuery query, long openedAt, long deadline) {
        this.query = query;
        this.openedAt = openedAt;
        this.deadline = deadline;
    }

    public boolean isComplete() {
        return isComplete;
    }
}
