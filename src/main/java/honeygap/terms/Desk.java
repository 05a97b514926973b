package honeygap.terms;

/** The desk: what votes do, how long they and stages last, time-out, voices to send back, and its counts. */
public record Desk(int gate, long voteLifetime, long soak, long callTimeout, int rollbackVotes, double votesPerSecond,
                   double sampledShare, long countsInterval) {

    public static final int FIRST_VOICE = 0;
    public static final int BY_COUNT = 1;
    public static final int AUTOMATIC = 2;
}
