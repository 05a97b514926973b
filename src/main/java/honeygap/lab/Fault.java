package honeygap.lab;

/** What becomes of a call on its way between two processes. */
public enum Fault {
    NONE,
    /** The connection breaks before the call goes on. */
    RESET,
    /** The call goes nowhere and nothing comes back. */
    SILENT,
    /** The call arrives, the answer does not: a link that is stalled in one direction. */
    ANSWER_LOST,
    /** Half of the answer comes, then the connection breaks. */
    HALF,
    /** The answer comes as other bytes. */
    SPOILT,
    /** Two seconds later. */
    LATE
}
