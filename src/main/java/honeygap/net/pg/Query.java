package honeygap.net.pg;

import honeygap.fleet.Method;
import honeygap.fleet.Tenant;
import honeygap.net.Call;
import honeygap.net.GatheringBuffer;
import honeygap.rules.memory.MemoryBudget;
import java.nio.ByteBuffer;

/** An RPC in the PostgreSQL wire protocol: the slices of its statement and the handler of its response. */
public final class Query extends Call {

    /** Sends the final response of a query to the client. */
    public interface ResponseHandler {

        /** Ok; the row is as received from the appliance. */
        void answer(ByteBuffer... row);

        /** Pushed back; the client should not retry before this time has passed. */
        void pushBack(long retryAfterMs);

        /** Aborted; the RPC may or may not have had an effect. */
        void abort();
    }

    /** Null, like the text after the timeout, once no pick can be sent any more. */
    private ByteBuffer textBeforeTimeout;
    private ByteBuffer textAfterTimeout;
    private boolean isTextNeeded = true;
    private boolean isTextBeingWritten;
    private MemoryBudget.Account memory;
    /** Null once the RPC is answered or the client has disconnected. */
    private ResponseHandler responseHandler;

    public Query(String id, Method method, Tenant tenant, String key, long takenAt, long deadline, long work,
            boolean retry, ResponseHandler responseHandler, ByteBuffer textBeforeTimeout,
            ByteBuffer textAfterTimeout) {
        super(id, method, tenant, key, takenAt, deadline, work, retry);
        this.responseHandler = responseHandler;
        this.textBeforeTimeout = textBeforeTimeout;
        this.textAfterTimeout = textAfterTimeout;
    }

    /** Counts the memory that the text takes in this account, until the text is released. */
    public void accountFor(MemoryBudget.Account account, long now) {
        memory = account;
        account.set(MemoryBudget.Use.OPEN_REQUEST, GatheringBuffer.backingBytes(textBeforeTimeout, textAfterTimeout), now);
    }

    /** No further pick is sent: the text is released as soon as it is not being written either. */
    public void endTextUse() {
        isTextNeeded = false;
        releaseUnusedText();
    }

    @Override
    public void requestBeingWritten(boolean isBeingWritten) {
        isTextBeingWritten = isBeingWritten;
        releaseUnusedText();
    }

    private void releaseUnusedText() {
        if (!isTextNeeded && !isTextBeingWritten) {
            textBeforeTimeout = null;
            textAfterTimeout = null;
            if (memory != null) {
                memory.clear();
            }
        }
    }

    @Override
    protected void markAnswered() {
        super.markAnswered();
        endTextUse();
    }

    /** The text of the statement before the client's timeout. */
    public ByteBuffer textBeforeTimeout() {
        return textBeforeTimeout;
    }

    /** The text of the statement after the client's timeout. */
    public ByteBuffer textAfterTimeout() {
        return textAfterTimeout;
    }

    /** Whether a client still waits for the response. */
    public boolean isAwaitingResponse() {
        return responseHandler != null;
    }

    /** Detaches the client, which is sent no response from now on. */
    public void detachHandler() {
        responseHandler = null;
    }

    /** Final answer: ok, with the row received from the appliance. */
    public void answer(ByteBuffer... row) {
        markAnswered();
        if (responseHandler != null) {
            responseHandler.answer(row);
        }
    }

    @Override
    public void pushBack(long retryAfter) {
        markAnswered();
        if (responseHandler != null) {
            responseHandler.pushBack((retryAfter + 9) / 10);
        }
    }

    @Override
    public void abort() {
        markAnswered();
        if (responseHandler != null) {
            responseHandler.abort();
        }
    }
}
