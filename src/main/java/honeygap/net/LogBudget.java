package honeygap.net;

/** Bounds the log lines of one kind of event to a number a second; lines beyond it are counted. */
public final class LogBudget {

    private static final long TENTHS_PER_SECOND = 10_000;

    private final Loop loop;
    private final int linesPerSecond;
    private long windowStart = Long.MIN_VALUE / 2;
    private int linesInWindow;
    private long suppressed;

    public LogBudget(Loop loop, int linesPerSecond) {
        this.loop = loop;
        this.linesPerSecond = linesPerSecond;
    }

    /** Whether one more line may be written now; counted either way. */
    public boolean allows() {
        if (loop.now() >= windowStart + TENTHS_PER_SECOND) {
            windowStart = loop.now();
            linesInWindow = 0;
        }
        if (linesInWindow < linesPerSecond) {
            linesInWindow++;
            return true;
        }
        suppressed++;
        return false;
    }

    /** Lines that were left out so far. */
    public long leftOut() {
        return suppressed;
    }
}
