package honeygap.net.pg;

import honeygap.fleet.Method;
import honeygap.fleet.Tenant;
import honeygap.net.Call;
import java.nio.ByteBuffer;

/** An RPC in PostgreSQL's wire protocol: the slices of its statement, and whoever waits for the answer. */
public final class Query extends Call {

    /** The client's end, told the answer as it is to be written. */
    public interface Asker {

        /** Ok: the row as the appliance gave it. */
        void answer(ByteBuffer... row);

        void pushBack(long stayAwayMs);

        void abort();
    }

    private final ByteBuffer before;
    private final ByteBuffer after;
    /** Null once the answer has been given or the client has left. */
    private Asker asker;

    public Query(String id, Method method, Tenant tenant, String key, long takenAt, long deadline, long work,
                 boolean retry, Asker asker, ByteBuffer before, ByteBuffer after) {
        super(id, method, tenant, key, takenAt, deadline, work, retry);
        this.asker = asker;
        this.before = before;
        this.after = after;
    }

    public ByteBuffer before() {
        return before;
    }

    public ByteBuffer after() {
        return after;
    }

    public boolean isAwaited() {
        return asker != null;
    }

    /** Nobody waits any more. */
    public void forget() {
        asker = null;
    }

    public void answer(ByteBuffer... row) {
        once();
        if (asker != null) {
            asker.answer(row);
        }
    }

    @Override
    public void pushBack(long stayAway) {
        once();
        if (asker != null) {
            asker.pushBack((stayAway + 9) / 10);
        }
    }

    @Override
    public void abort() {
        once();
        if (asker != null) {
            asker.abort();
        }
    }
}
