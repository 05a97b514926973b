package honeygap.rules.shutdown;

/**
 * Times of the shutdown steps of a process, computed once when it receives the signal. Times are monotonic, in tenths
 * of a millisecond.
 *
 * @param signalledAt when the signal was received
 * @param closesAt from this time no connection is accepted, and each is closed when it is idle
 * @param answersBy the shutdown deadline: every RPC has its final answer by this time
 * @param endsBy the process ends by this time, whatever is open
 */
public record ShutdownSchedule(long signalledAt, long closesAt, long answersBy, long endsBy) {

    /**
     * Operators kill a process no earlier than the longest deadline of all methods plus this after the signal. Until
     * this time after the signal connections are still accepted.
     */
    private static final long GRACE_PERIOD = 7_000;
    /** Upper bound of the deadline in that sum; a longer one counts as this. */
    private static final long MAX_COUNTED_DEADLINE = 30_000;
    /** Longest stall of a process between reading its clock and writing. */
    private static final long MAX_STALL = 1_500;
    /** Time for the exit itself: the shutdown hook, the last log lines, the recorder's last block, the runtime. */
    private static final long EXIT_TIME = 1_000;
    /** Time for a client to read the last answer before its connection is closed. */
    private static final long LAST_READ_TIME = 1_000;

    /** The schedule for a signal at this time, given the longest deadline of all methods. */
    public static ShutdownSchedule of(long signalledAt, long longestDeadline) {
        long killedAt = signalledAt + GRACE_PERIOD + Math.min(MAX_COUNTED_DEADLINE, longestDeadline);
        long endsBy = killedAt - MAX_STALL - EXIT_TIME;
        long answersBy = endsBy - LAST_READ_TIME;
        return new ShutdownSchedule(signalledAt, Math.min(signalledAt + GRACE_PERIOD, answersBy), answersBy, endsBy);
    }

    /** When a stalled process exits even if its last answers may not have been written. */
    public long forcedExitAt() {
        return endsBy + MAX_STALL;
    }

    public ShutdownPhase phase(long now) {
        return now < closesAt ? ShutdownPhase.DRAINING : now < answersBy ? ShutdownPhase.CLOSING : ShutdownPhase.ENDED;
    }
}
