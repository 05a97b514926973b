package honeygap.fleet;

/** The vote that this agent cast last, and what became of it. */
public final class Ballot {

    public Build build;
    public int stage;
    public int verdict;
    public long castAt = Fleet.LONG_AGO;
    /** The next one may be cast then. */
    public long nextAt = Fleet.LONG_AGO;
    /** No answer yet. */
    public boolean out;
    public boolean stood;
    /** What is to be noted about it. */
    public String line;

    public void cast(Build build, int stage, int verdict, long at) {
        this.build = build;
        this.stage = stage;
        this.verdict = verdict;
        castAt = at;
        out = true;
        stood = false;
    }
}
