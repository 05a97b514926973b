package honeygap.net.discovery;

import honeygap.fleet.Fleet;
import java.time.InstantSource;
import java.util.function.LongSupplier;

/**
 * Converts the wall-clock start time that discovery reports for an appliance to the loop's monotonic clock. The wall
 * clock may be stepped at any moment, even between two entries of a list. Once a step has been detected, wall-clock
 * times no longer yield reliable ages: a start that is new to this agent then counts from the moment it was reported,
 * so the appliance can only appear colder than it is, never warmer.
 */
final class StartTimes {

    private static final long TENTHS_PER_MS = 10;
    /** A change of the offset between the clocks by more than this is a step rather than drift. */
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

    /**
     * Converts a start time that has not been reported before; 0 means long ago, and a time in the future means now.
     */
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
