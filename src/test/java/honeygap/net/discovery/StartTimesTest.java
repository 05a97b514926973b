package honeygap.net.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import honeygap.fleet.Fleet;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Conversion of start times while the wall clock is stepped. */
class StartTimesTest {

    private static final long HOUR_MS = 3_600_000;
    private static final long TENTHS_MS_PER_SECOND = 10_000;

    private long wallMs = 1_800_000_000_000L;
    private long monotonic = 50 * TENTHS_MS_PER_SECOND;
    private final StartTimes times = new StartTimes(() -> Instant.ofEpochMilli(wallMs), () -> monotonic);

    private void advance(long seconds) {
        wallMs += 1000 * seconds;
        monotonic += TENTHS_MS_PER_SECOND * seconds;
    }

    @Test
    void convertsWhileWallClockIsSteady() {
        assertEquals(Fleet.LONG_AGO, times.toMonotonic(0));
        assertEquals(48 * TENTHS_MS_PER_SECOND, times.toMonotonic(wallMs - 2000));
        advance(1000);
        assertEquals(1048 * TENTHS_MS_PER_SECOND, times.toMonotonic(wallMs - 2000));
    }

    /** Drift between the clocks does not count as a step. */
    @Test
    void driftIsNotAStep() {
        advance(1000);
        wallMs += 900;
        assertEquals(1048 * TENTHS_MS_PER_SECOND, times.toMonotonic(wallMs - 2000));
    }

    /** After a step forward a cold appliance would look warm; after a step back it would never become warm. */
    @ParameterizedTest
    @ValueSource(longs = {HOUR_MS, -HOUR_MS, 3000, -3000})
    void newStartAfterStepCountsFromNow(long stepMs) {
        long startedMs = wallMs - 1000;
        wallMs += stepMs;
        assertEquals(50 * TENTHS_MS_PER_SECOND, times.toMonotonic(startedMs));
        advance(60);
        assertEquals(110 * TENTHS_MS_PER_SECOND, times.toMonotonic(wallMs - 1000), "started after the step");
    }

    @Test
    void futureStartCountsFromNow() {
        assertEquals(50 * TENTHS_MS_PER_SECOND, times.toMonotonic(wallMs + 500));
    }
}
