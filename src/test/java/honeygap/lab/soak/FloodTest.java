package honeygap.lab.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards regular clients of an agent in its own process against clients that send unsound input at full speed; the
 * bounds are those of {@link FloodCommand}. For longer runs see docs/soak.md.
 */
@Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class FloodTest {

    private static final long MEASURED_MS = 2000;
    private static final int FLOOD_CLIENTS = 6;

    @TempDir
    private Path folder;

    @Test
    void regularClientsAreServedDuringFloods() throws Exception {
        try (FloodRun run = new FloodRun(folder, 1024)) {
            FloodMeasurement control = run.measure(null, 0, MEASURED_MS, 1);
            for (FloodKind kind : new FloodKind[] {FloodKind.TLS_REQUESTS, FloodKind.TLS_REQUESTS_UNREAD, FloodKind.RESETS}) {
                FloodMeasurement measured = run.measure(kind, FLOOD_CLIENTS, MEASURED_MS, 1);
                assertTrue(FloodCommand.isWithinBounds(measured, control), kind + ": " + measured + "; without: " + control);
            }
        }
    }
}
