package honeygap.rules.shutdown;

/**
 * When a process that was told to end does what, worked out once, when the signal comes. Times are monotonic, in tenths of a
 * millisecond.
 *
 * @param signalledAt when the signal came
 * @param closesAt from then on no connection is accepted, and each is closed when it rests
 * @param answersBy the shutdown deadline: every RPC has its final answer by then
 * @param endsBy the process ends by then, whatever is open
 */
public record ShutdownSchedule(long signalledAt, long closesAt, long answersBy, long endsBy) {

    /** The operators kill a process at the earliest so long after the signal, beyond the longest deadline of all methods. */
    private static final long KILL_GRACE = 7_000;
    /** The longest deadline that they count; a longer one counts as this. */
    private static final long MAX_COUNTED_DEADLINE = 30_000;
    /** A process may be held up for so long between reading its clock and writing. */
    private static final long MAX_STALL = 1_500;
    /** What the end itself takes: the shutdown hook, the last lines of the log, the recorder's last block, the runtime. */
    private static final long EXIT_TIME = 1_000;
    /** What a client may take to read the last answer before its connection ends. */
    private static final long LAST_READ_TIME = 1_000;

    /** By the longest deadline of all methods. */
    public static ShutdownSchedule of(long signalledAt, long longestDeadline) {
        long killedAt = signalledAt + KILL_GRACE + Math.min(MAX_COUNTED_DEADLINE, longestDeadline);
        long endsBy = killedAt - MAX_STALL - EXIT_TIME;
        long answersBy = endsBy - LAST_READ_TIME;
        return new ShutdownSchedule(signalledAt, Math.min(signalledAt + KILL_GRACE, answersBy), answersBy, endsBy);
    }

    /** When the process ends though its last answers may not have been written, since it was held up. */
    public long lastMoment() {
        return endsBy + MAX_STALL;
    }

    public ShutdownPhase phase(long now) {
        return now < closesAt ? ShutdownPhase.DRAINING : now < answersBy ? ShutdownPhase.CLOSING : ShutdownPhase.ENDED;
    }
}
