package honeygap.net.ofrep;

import honeygap.flags.SharedRequest;
import honeygap.fleet.Appliance;
import honeygap.fleet.Pick;
import honeygap.fleet.Tenant;
import honeygap.net.Call;
import honeygap.config.Malformed;

/** The RPC that sends a request to flag servers, for one evaluation or for several that share it. */
public final class EvaluationCall extends Call {

    private final EvaluationDispatcher dispatcher;
    final SharedRequest shared;

    EvaluationCall(String id, SharedRequest shared, Tenant tenant, EvaluationDispatcher dispatcher) {
        super(id, shared.query.method, tenant, null, shared.openedAt, shared.deadline, 0, false);
        this.shared = shared;
        this.dispatcher = dispatcher;
    }

    public OfrepRequest request() {
        return (OfrepRequest) shared.query;
    }

    @Override
    public void onPick(Appliance appliance) {
        dispatcher.picked(this, appliance);
    }

    /**
     * Handles a complete response of this appliance and returns the outcome of the pick, as decided by
     * {@code EvaluationCoordinator}.
     *
     * @throws Malformed if the response violates the protocol
     */
    public int responseReceived(Appliance appliance, int status, byte[] body) throws Malformed {
        boolean isTracking = !request().isShareable;
        int outcome = dispatcher.responseReceived(this, appliance,
                OfrepJson.parseResponse(status, body, request().flag, isTracking));
        if (outcome == Pick.OK) {
            markAnswered();
        }
        return outcome;
    }

    /** The appliance asked for no requests during this many tenths of a millisecond. */
    public void applyRetryAfter(Appliance appliance, long retryAfter) {
        dispatcher.applyRetryAfter(appliance, retryAfter);
    }

    @Override
    public void pushBack(long retryAfter) {
        markAnswered();
        dispatcher.callFailed(this, true, retryAfter);
    }

    @Override
    public void abort() {
        markAnswered();
        dispatcher.callFailed(this, false, 0);
    }
}
