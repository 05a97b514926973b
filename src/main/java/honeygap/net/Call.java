package honeygap.net;

import honeygap.fleet.Appliance;
import honeygap.fleet.Method;
import honeygap.fleet.Rpc;
import honeygap.fleet.Tenant;

/**
 * An RPC as passed between the downstream and the upstream side of one protocol: the downstream side creates it and
 * receives its one final answer, the upstream side carries out its picks. Subclasses hold the request and write the
 * answer in the form of the protocol.
 */
public abstract class Call extends Rpc {

    private boolean answered;
    /** Answers the RPC at its deadline independently of the rules, so that a fault there does not lose the RPC. */
    public Loop.Timer deadlineTimer;

    protected Call(String id, Method method, Tenant tenant, String key, long takenAt, long deadline, long work,
            boolean retry) {
        super(id, method, tenant, key, takenAt, deadline, work, retry);
    }

    /** Marks the RPC as answered; each RPC has exactly one final answer. */
    protected void markAnswered() {
        Loop.checkInvariant(!answered);
        answered = true;
    }

    public final boolean isAnswered() {
        return answered;
    }

    /** Called when the request of a pick begins to be written, and when it has been written or was given up. */
    public void requestBeingWritten(boolean isBeingWritten) {
    }

    /** Called when a pick of this RPC is sent to the appliance. */
    public void onPick(Appliance appliance) {
    }

    /** Final answer: pushed back. The client should wait this many tenths of a millisecond before it retries. */
    public abstract void pushBack(long retryAfter);

    /** Final answer: aborted. The RPC may or may not have taken effect. */
    public abstract void abort();
}
