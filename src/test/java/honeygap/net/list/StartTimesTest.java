package honeygap.net.list;

import static org.junit.jupiter.api.Assertions.assertEquals;

import honeygap.fleet.Fleet;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Ages of appliances while the wall clock is stepped. */
class StartTimesTest {

    private static final long HOUR_MS = 3_600_000;
    private static final long SECOND = 10_000;

    private long wallMs = 1_800_000_000_000L;
    private long monotonic = 50 * SECOND;
    private final StartTimes times = new StartTimes(() -> Instant.ofEpochMilli(wallMs), () -> monotonic);

    private void pass(long seconds) {
        wallMs += 1000 * seconds;
        monotonic += SECOND * seconds;
    }

    @Test
    void agesByTheWallClockWhileItIsSteady() {
        assertEquals(Fleet.LONG_AGO, times.toMonotonic(0));
        assertEquals(48 * SECOND, times.toMonotonic(wallMs - 2000));
        pass(1000);
        assertEquals(1048 * SECOND, times.toMonotonic(wallMs - 2000));
    }

    /** A drift of the clocks is no step. */
    @Test
    void adjustedClock() {
        pass(1000);
        wallMs += 900;
        assertEquals(1048 * SECOND, times.toMonotonic(wallMs - 2000));
    }

    /** Stepped forward, a cold appliance would look warm; stepped back, one would never become warm. */
    @ParameterizedTest
    @ValueSource(longs = {HOUR_MS, -HOUR_MS, 3000, -3000})
    void steppedClock(long stepMs) {
        long startedMs = wallMs - 1000;
        wallMs += stepMs;
        assertEquals(50 * SECOND, times.toMonotonic(startedMs));
        pass(60);
        assertEquals(110 * SECOND, times.toMonotonic(wallMs - 1000), "stamped after the step");
    }

    @Test
    void theFutureIsNow() {
        assertEquals(50 * SECOND, times.toMonotonic(wallMs + 500));
    }
}
