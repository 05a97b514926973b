package honeygap.fleet;

/** The vote that this agent cast last, and what became of it. */
public final class VoteRecord {

    public Build build;
    public int stage;
    public int verdict;
    public long castAt = Fleet.LONG_AGO;
    /** The next one may be cast then. */
    public long nextAllowedAt = Fleet.LONG_AGO;
    /** No answer yet. */
    public boolean isUnanswered;
    public boolean isAccepted;
    /** What is to be noted about it. */
    public String pendingNote;

    public void recordCast(Build build, int stage, int verdict, long now) {
        this.build = build;
        this.stage = stage;
        this.verdict = verdict;
        castAt = now;
        isUnanswered = true;
        isAccepted = false;
    }
}
