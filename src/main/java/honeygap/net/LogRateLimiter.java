package honeygap.net;

/** Limits the log lines for one kind of event to a number per second; suppressed lines are counted. */
public final class LogRateLimiter {

    private static final long TENTHS_PER_SECOND = 10_000;

    private final Loop loop;
    private final int linesPerSecond;
    private long windowStart = Long.MIN_VALUE / 2;
    private int linesInWindow;
    private long suppressed;

    public LogRateLimiter(Loop loop, int linesPerSecond) {
        this.loop = loop;
        this.linesPerSecond = linesPerSecond;
    }

    /** Whether one more line may be logged now; counts it as logged or suppressed. */
    public boolean tryAcquire() {
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

    /** The number of lines suppressed so far. */
    public long suppressed() {
        return suppressed;
    }
}
