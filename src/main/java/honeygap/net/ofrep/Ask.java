package honeygap.net.ofrep;

import honeygap.flags.Shared;
import honeygap.fleet.Appliance;
import honeygap.fleet.Pick;
import honeygap.fleet.Tenant;
import honeygap.net.Call;
import honeygap.read.Malformed;

/** The RPC by which servers are asked, for one evaluation or several that share it. */
public final class Ask extends Call {

    private final Exchange dispatcher;
    final Shared shared;

    Ask(String id, Shared shared, Tenant tenant, Exchange dispatcher) {
        super(id, shared.question.method, tenant, null, shared.takenAt, shared.deadline, 0, false);
        this.shared = shared;
        this.dispatcher = dispatcher;
    }

    public OfrepRequest request() {
        return (OfrepRequest) shared.question;
    }

    @Override
    public void picked(Appliance appliance) {
        dispatcher.picked(this, appliance);
    }

    /**
     * A whole answer of this appliance; how the pick ends by it, as {@code Answers} says.
     *
     * @throws Malformed where it is none of the protocol's
     */
    public int served(Appliance appliance, int status, byte[] body) throws Malformed {
        boolean isTracking = !request().shareable;
        int outcome = dispatcher.responseReceived(this, appliance, Bodies.parseResponse(status, body, request().flag, isTracking));
        if (outcome == Pick.OK) {
            once();
        }
        return outcome;
    }

    /** The appliance wants nothing for so many tenths of a millisecond. */
    public void stayAway(Appliance appliance, long retryAfter) {
        dispatcher.applyRetryAfter(appliance, retryAfter);
    }

    @Override
    public void pushBack(long retryAfter) {
        once();
        dispatcher.callFailed(this, true, retryAfter);
    }

    @Override
    public void abort() {
        once();
        dispatcher.callFailed(this, false, 0);
    }
}
