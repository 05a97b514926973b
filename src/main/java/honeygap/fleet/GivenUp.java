package honeygap.fleet;

/** Why an RPC was refused or failed. */
public enum GivenUp {
    /** The process ends before an answer could be there. */
    SHUTTING_DOWN("shutting down"),
    /** Its deadline, or the shutdown's, is here. */
    OUT_OF_TIME("out of time"),
    /** It has had as many picks as it may. */
    OUT_OF_TRIES("out of tries"),
    /** An earlier pick may have run, and no other may follow it. */
    MAY_HAVE_RUN("may have run"),
    /** No appliance is known to serve. */
    NONE_KNOWN("no appliance known to serve"),
    /** No appliance that is known to serve has room. */
    NO_ROOM("no room");

    /** How it is called in the log and among the counters. */
    public final String word;

    GivenUp(String outerName) {
        this.word = outerName;
    }
}
