package honeygap.settings;

/**
 * How the release desk counts votes and reports. Times are tenths of a millisecond.
 *
 * @param gate how a stage advances: one of the constants below
 * @param voteLifetime for how long a vote counts
 * @param soak minimum duration of a stage
 * @param callTimeout timeout of a call to the desk
 * @param rollbackVotes number of votes that roll a build back
 * @param votesPerSecond number of votes that the desk accepts in a second
 * @param sampledShare share of all picks that the desk samples for its counts
 * @param countsInterval period of the desk's counts
 */
public record DeskSettings(int gate, long voteLifetime, long soak, long callTimeout, int rollbackVotes,
                           double votesPerSecond, double sampledShare, long countsInterval) {

    /** The first vote to advance is enough. */
    public static final int FIRST_VOTE = 0;
    /** A number of votes to advance is needed. */
    public static final int BY_COUNT = 1;
    /** Stages advance by themselves unless votes hold them. */
    public static final int AUTOMATIC = 2;
}
