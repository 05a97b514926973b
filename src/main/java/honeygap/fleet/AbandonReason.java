package honeygap.fleet;

/** Why an RPC was rejected or abandoned. */
public enum AbandonReason {
    /** The process ends before an answer could arrive. */
    SHUTTING_DOWN("shutting down"),
    /** Its deadline or the shutdown deadline has been reached. */
    OUT_OF_TIME("out of time"),
    /** It has used all its picks. */
    OUT_OF_TRIES("out of tries"),
    /** An earlier pick may have been executed and must not be retried. */
    MAY_HAVE_RUN("may have run"),
    /** No appliance is known to serve. */
    NONE_KNOWN("no appliance known to serve"),
    /** No appliance known to serve has free capacity. */
    NO_ROOM("no room");

    /** Its name in the log and in counters. */
    public final String outerName;

    AbandonReason(String outerName) {
        this.outerName = outerName;
    }
}
