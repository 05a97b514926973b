package honeygap.net.shutdown;

import honeygap.net.Loop;

/** Bounds the log lines of one kind of event to a number a second; lines beyond it are counted. */
final class LogBudget {

    private static final long SECOND = 10_000;

    private final Loop loop;
    private final int linesPerSecond;
    private long secondBegan = Long.MIN_VALUE / 2;
    private int lines;
    private long leftOut;

    LogBudget(Loop loop, int linesPerSecond) {
        this.loop = loop;
        this.linesPerSecond = linesPerSecond;
    }

    /** Whether one more line may be written now; counted either way. */
    boolean allows() {
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

    long leftOut() {
        return leftOut;
    }
}
