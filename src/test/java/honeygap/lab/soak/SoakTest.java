package honeygap.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Two short soak runs, the same each time but for how threads interleave; longer ones by hand, see docs/soak.md. In each every
 * agent is told to end once, and killed at the earliest. Without the lease of the list the first breaks drain some two hundred times.
 */
@Timeout(value = 150, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SoakTest {

    private static final int AGENTS = 5;

    @TempDir
    private Path folder;

    @ParameterizedTest
    @CsvSource({"4, 15000", "2, 40000"})
    void keepsAllRules(long seed, long loadMs) throws Exception {
        try (SoakRun run = new SoakRun(SoakPlan.generate(seed, AGENTS, loadMs), folder)) {
            SoakRun.Outcome outcome = run.run();
            assertEquals(List.of(), outcome.violations());
            assertTrue(outcome.signalled() >= AGENTS, outcome.signalled() + " told to end");
            assertTrue(outcome.served() > outcome.requests() / 10, outcome.served() + " of " + outcome.requests());
        }
    }
}
