package honeygap.net.pg;

import honeygap.fleet.Method;
import honeygap.fleet.Tenant;
import honeygap.net.Call;
import java.nio.ByteBuffer;

/** An RPC in PostgreSQL's wire protocol: the slices of its statement, and whoever waits for the answer. */
public final class Query extends Call {

    /** The client's end, told the answer as it is to be written. */
    public interface ResponseHandler {

        /** Ok: the row as the appliance gave it. */
        void answer(ByteBuffer... row);

        void pushBack(long retryAfterMs);

        void abort();
    }

    private final ByteBuffer textBeforeTimeout;
    private final ByteBuffer textAfterTimeout;
    /** Null once the answer has been given or the client has left. */
    private ResponseHandler responseHandler;

    public Query(String id, Method method, Tenant tenant, String key, long takenAt, long deadline, long work,
                 boolean retry, ResponseHandler responseHandler, ByteBuffer textBeforeTimeout, ByteBuffer textAfterTimeout) {
        super(id, method, tenant, key, takenAt, deadline, work, retry);
        this.responseHandler = responseHandler;
        this.textBeforeTimeout = textBeforeTimeout;
        this.textAfterTimeout = textAfterTimeout;
    }

    public ByteBuffer before() {
        return textBeforeTimeout;
    }

    public ByteBuffer after() {
        return textAfterTimeout;
    }

    public boolean isAwaitingResponse() {
        return responseHandler != null;
    }

    /** Nobody waits any more. */
    public void detachHandler() {
        responseHandler = null;
    }

    public void answer(ByteBuffer... row) {
        once();
        if (responseHandler != null) {
            responseHandler.answer(row);
        }
    }

    @Override
    public void pushBack(long retryAfter) {
        once();
        if (responseHandler != null) {
            responseHandler.pushBack((retryAfter + 9) / 10);
        }
    }

    @Override
    public void abort() {
        once();
        if (responseHandler != null) {
            responseHandler.abort();
        }
    }
}
