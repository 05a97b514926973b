package honeygap.fleet;

import java.util.ArrayList;
import java.util.List;

/** One RPC taken from a client. */
public class Rpc {

    /** For the door only. */
    public final String id;
    public final Method method;
    public final Tenant tenant;
    /** May be null. */
    public final String key;
    public final long receivedAt;
    /** When the client gives this try up. */
    public final long deadline;
    /** Expected work in tenths of a millisecond on a standard core; 0 when not told. */
    public final long workHint;
    public final boolean retry;
    public final List<Pick> picks = new ArrayList<>(2);
    /** Picks whose outcome is still to come. */
    public int out;
    public boolean closed;
    /** Why it was refused or failed; null where it was not. */
    public GivenUp givenUp;
    /** The draw of theta said the build on trial; one draw an RPC. */
    public boolean thetaDrawn;
    public boolean drewTrial;

    public Rpc(String id, Method method, Tenant tenant, String key, long receivedAt, long deadline, long workHint,
               boolean retry) {
        this.id = id;
        this.method = method;
        this.tenant = tenant;
        this.key = key;
        this.receivedAt = receivedAt;
        this.deadline = deadline;
        this.workHint = workHint;
        this.retry = retry;
    }
}
