package honeygap.lab;

/** Network fault injected into a call between two processes. */
public enum Fault {
    NONE,
    /** The connection is reset before the call is forwarded. */
    RESET,
    /** The call is not forwarded, and the caller gets no response until the connection is reset after a timeout. */
    SILENT,
    /** The call is forwarded but its response is dropped, as on a network path that is stalled in one direction. */
    ANSWER_LOST,
    /** Half of the response is delivered, then the connection is closed. */
    HALF,
    /** The last bytes of the response are corrupted. */
    SPOILT,
    /** The call is delayed by two seconds. */
    LATE
}
