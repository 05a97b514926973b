package honeygap.rules.input;

/** How many new connections one iteration of the event loop takes; others wait in the system's accept queue. */
public final class AcceptQuota {

    /** New connections of one listener in one iteration. */
    public static final int CONNECTIONS_PER_TURN = 4;

    private AcceptQuota() {
    }
}
