package honeygap.net;

/** Bounds the log lines of one kind of event to a number a second; lines beyond it are counted. */
public final class LogBudget {

    private static final long SECOND = 10_000;

    private final Loop loop;
    private final int linesPerSecond;
    private long secondBegan = Long.MIN_VALUE / 2;
    private int lines;
    private long leftOut;

    public LogBudget(Loop loop, int linesPerSecond) {
        this.loop = loop;
        this.linesPerSecond = linesPerSecond;
    }

    /** Whether one more line may be written now; counted either way. */
    public boolean allows() {
        if (loop.now() >= secondBegan + SECOND) {
            secondBegan = loop.now();
            lines = 0;
        }
        if (lines < linesPerSecond) {
            lines++;
            return true;
        }
        leftOut++;
        return false;
    }

    /** Lines that were left out so far. */
    public long leftOut() {
        return leftOut;
    }
}
