package honeygap.fleet;

/** The last vote that this agent cast, and its result. */
public final class VoteRecord {

    public Build build;
    public int stage;
    public int verdict;
    public long castAt = Fleet.LONG_AGO;
    /** Earliest time of the next vote. */
    public long nextAllowedAt = Fleet.LONG_AGO;
    /** The desk has not answered it yet. */
    public boolean isUnanswered;
    public boolean isAccepted;
    /** Log line about it that is still to be written; null if none. */
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
