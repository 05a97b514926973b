package honeygap.net;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.tinylog.Logger;

/**
 * Measures the event loop: how long its iterations take between two waits, what they do, and how long input waits from
 * being reported as readable to being read. A slow iteration is logged, at most one a second. Used by one thread.
 */
final class TurnStatistics {

    /** What an iteration does, for the log line of a slow one. */
    enum Activity {
        CONNECTION_OPENED, CONNECTION_CLOSED, READ, WRITE, TIMER
    }

    private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(10);
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final double P99 = 99;
    private static final long SLOW_MICROS = TimeUnit.MILLISECONDS.toMicros(50);

    private final OncePerSecond logLimiter;
    private final Histogram turnMicros = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram readWaitMicros = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private final int[] activities = new int[Activity.values().length];
    private long turnStartNanos = System.nanoTime();
    private long turns;
    private long slowTurns;

    TurnStatistics(OncePerSecond logLimiter) {
        this.logLimiter = logLimiter;
    }

    /** The loop has been woken up: an iteration begins. */
    void startTurn() {
        turnStartNanos = System.nanoTime();
        Arrays.fill(activities, 0);
    }

    /** The loop is about to wait: the iteration has ended. */
    void endTurn() {
        long micros = microsInTurn();
        turns++;
        turnMicros.recordValue(Math.min(MAX_MICROS, micros));
        if (micros > SLOW_MICROS) {
            slowTurns++;
            if (logLimiter.isDue()) {
                Logger.warn("slow iteration of {} ms: {} connections opened, {} closed, {} reads, {} writes, {} timers",
                        TimeUnit.MICROSECONDS.toMillis(micros), count(Activity.CONNECTION_OPENED),
                        count(Activity.CONNECTION_CLOSED), count(Activity.READ), count(Activity.WRITE), count(Activity.TIMER));
            }
        }
    }

    private long microsInTurn() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - turnStartNanos);
    }

    /** Counts something that this iteration does. */
    void add(Activity activity) {
        activities[activity.ordinal()]++;
        if (activity == Activity.READ) {
            readWaitMicros.recordValue(Math.min(MAX_MICROS, microsInTurn()));
        }
    }

    private int count(Activity activity) {
        return activities[activity.ordinal()];
    }

    void report(Counters counters) {
        counters.count("turns", turns);
        counters.count("slow", slowTurns);
        counters.count("longest us", turnMicros.getMaxValue());
        counters.count("p99 us", turnMicros.getValueAtPercentile(P99));
        counters.count("longest read wait us", readWaitMicros.getMaxValue());
        counters.count("p99 read wait us", readWaitMicros.getValueAtPercentile(P99));
    }
}
