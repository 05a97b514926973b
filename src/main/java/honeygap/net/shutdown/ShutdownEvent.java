package honeygap.net.shutdown;

/** Events of RPCs and connections that are logged during a shutdown. */
public enum ShutdownEvent {
    ACCEPTED("accepted"),
    /** An RPC was read from a client. */
    TAKEN("taken"),
    /** An RPC was answered with an appliance's answer. */
    SERVED("served"),
    /** An RPC was refused; it has not taken effect. */
    REFUSED("refused"),
    /** An RPC was answered with an error. */
    FAILED("failed"),
    /** The client disconnected before the answer. */
    ABANDONED("abandoned by its client"),
    /** A connection was closed between RPCs. */
    CLOSED("closed");

    /** The name in the log and the counters. */
    public final String label;

    ShutdownEvent(String label) {
        this.label = label;
    }
}
