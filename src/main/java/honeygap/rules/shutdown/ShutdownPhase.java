package honeygap.rules.shutdown;

/** How far a process is on its way to the end. */
public enum ShutdownPhase {
    /** Not told to end. */
    SERVING,
    /** Told to end; connections are accepted and stay open, since clients hear of it later. */
    DRAINING,
    /** No connection is accepted, and each is closed as soon as it rests. */
    CLOSING,
    /** Whatever was open has been given up and answered. */
    ENDED
}
