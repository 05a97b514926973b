package honeygap.net.list;

import honeygap.fleet.Fleet;
import java.time.InstantSource;
import java.util.function.LongSupplier;

/**
 * Turns the wall-clock time at which discovery says that an appliance started into a time of the loop's monotonic clock.
 * The wall clock may be stepped at any moment, between one entry of a list and the next. Once a step has been seen,
 * wall-clock times can't be trusted for ages: a start that is new here then counts from when it was heard of, which makes
 * the appliance colder than it is, never warmer.
 */
final class StartTimes {

    private static final long TENTHS_PER_MS = 10;
    /** A difference between the clocks that changes by more than this is a step, and no drift. */
    private static final long MIN_STEP_MS = 1000;

    private final InstantSource wallClock;
    private final LongSupplier monotonicClock;
    private long clockOffsetMs;
    private boolean hasStepped;

    /** The monotonic clock is in tenths of a millisecond. */
    StartTimes(InstantSource wallClock, LongSupplier monotonicClock) {
        this.wallClock = wallClock;
        this.monotonicClock = monotonicClock;
        clockOffsetMs = currentOffsetMs();
    }

    private long currentOffsetMs() {
        return wallClock.millis() - monotonicClock.getAsLong() / TENTHS_PER_MS;
    }

    /** The loop's time of a start that was not heard of before; 0 is long ago, the future is now. */
    long toMonotonic(long startedAtMs) {
        if (startedAtMs == 0) {
            return Fleet.LONG_AGO;
        }
        long previousOffsetMs = clockOffsetMs;
        clockOffsetMs = currentOffsetMs();
        hasStepped |= Math.abs(clockOffsetMs - previousOffsetMs) > MIN_STEP_MS;
        long now = monotonicClock.getAsLong();
        return hasStepped ? now : Math.min(now, TENTHS_PER_MS * (startedAtMs - clockOffsetMs));
    }

    boolean hasStepped() {
        return hasStepped;
    }
}
