package honeygap.net;

import honeygap.fleet.Appliance;
import honeygap.fleet.Method;
import honeygap.fleet.Rpc;
import honeygap.fleet.Tenant;

/**
 * An RPC between a front and a back: the front that opened it is told its one final answer, the back carries
 * out its picks. What was asked and how it is answered is the business of the pair that shares a protocol.
 */
public abstract class Call extends Rpc {

    private boolean answered;
    /** Answers in time whatever the rules do: a fault there must not lose an RPC. */
    public Loop.Timer guard;

    protected Call(String id, Method method, Tenant tenant, String key, long takenAt, long deadline, long work,
                   boolean retry) {
        super(id, method, tenant, key, takenAt, deadline, work, retry);
    }

    /** Guards against a second final answer, whoever gives it. */
    protected final void once() {
        Loop.holds(!answered);
        answered = true;
    }

    public final boolean isAnswered() {
        return answered;
    }

    /** A pick of it goes to this appliance. */
    public void picked(Appliance appliance) {
    }

    /** Final answer: pushed back; best not asked again before so many tenths of a millisecond have passed. */
    public abstract void pushBack(long retryAfter);

    /** Final answer: aborted; nothing is promised about its effect. */
    public abstract void abort();
}
