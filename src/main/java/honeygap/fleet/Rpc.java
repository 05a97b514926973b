package honeygap.fleet;

import java.util.ArrayList;
import java.util.List;

/** An RPC received from a client. */
public class Rpc {

    /** Given by the client, which uses it again only to send the same RPC again. */
    public final String id;
    public final Method method;
    public final Tenant tenant;
    /** Routing key; may be null. */
    public final String key;
    public final long receivedAt;
    /** When the client stops waiting for this attempt. */
    public final long deadline;
    /** Expected work in tenths of a millisecond on a standard core; 0 if not given. */
    public final long workHint;
    /** Whether the client has sent it before. */
    public final boolean retry;
    public final List<Pick> picks = new ArrayList<>(2);
    /** A pick of an RPC with the same id that its client abandoned; null if there is none. */
    public Pick earlierPick;
    /** Number of picks in flight. */
    public int inFlight;
    public boolean closed;
    /** Why it was rejected or abandoned; null if it was not. */
    public AbandonReason abandonReason;
    /** Whether theta has been drawn for it, once for each RPC, and whether the draw chose the build on trial. */
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

    /** Number of picks without those that were withdrawn before they were sent. */
    public int attemptCount() {
        int count = 0;
        for (Pick pick : picks) {
            count += pick.isWithdrawn ? 0 : 1;
        }
        return count;
    }

    /** The last pick that was not withdrawn; null if there is none. */
    public Pick lastAttempt() {
        for (int i = picks.size() - 1; i >= 0; i--) {
            if (!picks.get(i).isWithdrawn) {
                return picks.get(i);
            }
        }
        return null;
    }
}
