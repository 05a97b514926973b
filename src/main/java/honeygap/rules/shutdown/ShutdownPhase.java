package honeygap.rules.shutdown;

/** Phase of the shutdown of a process. */
public enum ShutdownPhase {
    /** Not shutting down. */
    SERVING,
    /** Signalled; connections are still accepted and stay open, since clients learn of the shutdown later. */
    DRAINING,
    /** No connection is accepted, and each is closed as soon as it is idle. */
    CLOSING,
    /** Every open RPC is abandoned and answered. */
    ENDED
}
