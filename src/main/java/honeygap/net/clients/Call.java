package honeygap.net.clients;

import honeygap.fleet.Method;
import honeygap.fleet.Rpc;
import honeygap.fleet.Tenant;
import honeygap.net.Loop;
import java.nio.ByteBuffer;

/** An RPC together with the client that waits for it and the slices of its statement. */
public final class Call extends Rpc {

    private final ByteBuffer before;
    private final ByteBuffer after;
    /** Who waits; null once the answer has been given or the client has left. */
    Client client;
    private boolean answered;
    /** Answers in time whatever the rules do: a fault there must not lose an RPC. */
    Loop.Timer guard;

    Call(String id, Method method, Tenant tenant, String key, long takenAt, long deadline, long work,
         boolean retry, Client client, ByteBuffer before, ByteBuffer after) {
        super(id, method, tenant, key, takenAt, deadline, work, retry);
        this.client = client;
        this.before = before;
        this.after = after;
    }

    public ByteBuffer before() {
        return before;
    }

    public ByteBuffer after() {
        return after;
    }

    /** Guards against a second final answer, whoever gives it. */
    private void once() {
        Loop.holds(!answered);
        answered = true;
    }

    public boolean isAnswered() {
        return answered;
    }

    /** Ok: the row as the appliance gave it. */
    public void answer(ByteBuffer... row) {
        once();
        if (client != null) {
            client.answer(row);
        }
    }

    public void pushBack(long stayAwayMs) {
        once();
        if (client != null) {
            client.pushBack(stayAwayMs);
        }
    }

    public void abort() {
        once();
        if (client != null) {
            client.abort();
        }
    }
}
