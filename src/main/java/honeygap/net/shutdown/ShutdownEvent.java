package honeygap.net.shutdown;

/** What may happen to an RPC or a connection after the signal to end. */
public enum ShutdownEvent {
    /** A connection was accepted. */
    ACCEPTED("accepted"),
    /** An RPC was read and taken on. */
    TAKEN("taken"),
    /** An RPC was answered with what an appliance made for it. */
    SERVED("served"),
    /** An RPC was refused with the promise of no effect. */
    REFUSED("refused"),
    /** An RPC was answered as failed. */
    FAILED("failed"),
    /** The client left before the answer. */
    ABANDONED("abandoned by its client"),
    /** A connection was closed between RPCs. */
    CLOSED("closed");

    /** How it is called in the log and among the counters. */
    public final String label;

    ShutdownEvent(String label) {
        this.label = label;
    }
}
