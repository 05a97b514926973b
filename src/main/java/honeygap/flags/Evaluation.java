package honeygap.flags;

/** One flag evaluation requested by one client; it ends exactly once. */
public class Evaluation {

    static final int NEW = 0;
    static final int WAITING = 1;
    static final int ANSWERED = 2;
    static final int PUSHED_BACK = 3;
    static final int ABORTED = 4;
    static final int ENDED = 5;

    public final FlagQuery query;
    public final long receivedAt;
    /** When the client stops waiting. */
    public final long deadline;
    /** The flag-set version that the client says it holds; {@link ServerAnswer#NO_VERSION} if it names none. */
    public final long clientVersion;

    int state = NEW;
    /** The request that it waits for; null before it has started or joined one. */
    SharedRequest request;
    ServerAnswer answer;
    long retryAfter;

    public Evaluation(FlagQuery query, long receivedAt, long deadline, long clientVersion) {
        this.query = query;
        this.receivedAt = receivedAt;
        this.deadline = deadline;
        this.clientVersion = clientVersion;
    }

    public final boolean isEnded() {
        return state == ENDED;
    }
}
