package honeygap;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import honeygap.fleet.Pick;
import honeygap.fleet.Rpc;
import honeygap.rules.shutdown.ShutdownPhase;
import honeygap.rules.shutdown.ShutdownSchedule;
import honeygap.settings.DeskSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Decisions on RPCs in a process that is shutting down. */
class ShutdownRulesTest {

    private static final long SECOND = DecisionEngineHarness.SECOND;
    private static final int READ = 0;
    private static final int UNSAFE = 2;
    private static final int ZONE = 1;

    private static DecisionEngineHarness newHarness() {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, ZONE);
        harness.listWarm(1, harness.oldBuild);
        harness.listWarm(2, harness.oldBuild);
        return harness;
    }

    private static ShutdownSchedule signal(DecisionEngineHarness harness) {
        ShutdownSchedule schedule = ShutdownSchedule.of(harness.now, 3 * SECOND);
        harness.engine.shutdownStarted(schedule);
        return schedule;
    }

    /**
     * Kills come 0.7 s after the longest deadline, which counts as 3 s at most; all in milliseconds after the signal.
     */
    @ParameterizedTest
    @CsvSource({"3000, 700, 3350, 3450", "5000, 700, 3350, 3450", "800, 700, 1150, 1250", "200, 550, 550, 650"})
    void schedule(long longestMs, long closesMs, long answersMs, long endsMs) {
        ShutdownSchedule schedule = ShutdownSchedule.of(SECOND, 10 * longestMs);
        assertEquals(SECOND + 10 * closesMs, schedule.closesAt());
        assertEquals(SECOND + 10 * answersMs, schedule.answersBy());
        assertEquals(SECOND + 10 * endsMs, schedule.endsBy());
        assertEquals(ShutdownPhase.DRAINING, schedule.phase(schedule.closesAt() - 1));
        assertEquals(longestMs < 700 ? ShutdownPhase.ENDED : ShutdownPhase.CLOSING,
                schedule.phase(schedule.closesAt()));
        assertEquals(ShutdownPhase.ENDED, schedule.phase(schedule.answersBy()));
    }

    /** A pick in flight at the shutdown deadline is cancelled, and its RPC gets the answer that its method allows. */
    @ParameterizedTest
    @CsvSource({"0, pushback", "1, abort", "2, abort"})
    void cancelsPicksAtTheDeadline(int method, String expected) {
        DecisionEngineHarness harness = newHarness();
        ShutdownSchedule schedule = signal(harness);
        harness.advance(SECOND);
        Rpc rpc = harness.receiveRpc(method, null);
        assertTrue(harness.pullDecisions().startsWith("pick"));
        harness.advance(schedule.answersBy() - 1 - harness.now);
        assertEquals("", harness.pullDecisions());
        harness.advance(1);
        assertEquals("cancel", harness.pullDecisions());
        harness.endLastPick(rpc, Pick.CANCELLED);
        assertEquals(expected, harness.pullDecisions());
    }

    /** The same for an RPC received before the signal. */
    @Test
    void cancelsPicksSentBeforeTheSignal() {
        DecisionEngineHarness harness = newHarness();
        Rpc rpc = harness.receiveRpc(UNSAFE, null);
        harness.pullDecisions();
        harness.advance(SECOND / 100);
        // Reloaded settings have a longest deadline that is shorter than this RPC's own.
        ShutdownSchedule schedule = ShutdownSchedule.of(harness.now, SECOND);
        harness.engine.shutdownStarted(schedule);
        harness.advance(schedule.answersBy() - harness.now);
        assertEquals("cancel", harness.pullDecisions());
        harness.endLastPick(rpc, Pick.NOT_EXECUTED);
        assertEquals("pushback", harness.pullDecisions());
    }

    /** The timeout of a pick is at most the time left to the shutdown deadline. */
    @Test
    void pickTimeoutEndsAtTheDeadline() {
        DecisionEngineHarness harness = newHarness();
        ShutdownSchedule schedule = signal(harness);
        harness.advance(SECOND);
        harness.receiveRpc(READ, null);
        harness.pullDecisions();
        assertTrue(harness.lastTimeout <= schedule.answersBy() - harness.now, "timeout " + harness.lastTimeout);
    }

    /** No retry begins close to the shutdown deadline even if the RPC's own deadline is later. */
    @Test
    void noRetryNearTheDeadline() {
        DecisionEngineHarness harness = newHarness();
        ShutdownSchedule schedule = signal(harness);
        harness.advance(SECOND);
        Rpc rpc = harness.receiveRpc(READ, null);
        harness.pullDecisions();
        harness.advance(schedule.answersBy() - harness.now - 1);
        harness.endLastPick(rpc, Pick.ERROR);
        assertEquals("pushback", harness.pullDecisions());
    }

    /**
     * An RPC that cannot be answered in time is refused at once: the time needed is three mean latencies, or the soft
     * deadline before the first answer.
     */
    @ParameterizedTest
    @CsvSource({"1.01, 0, pick", "0.99, 0, pushback", "0.31, 1000, pick", "0.29, 1000, pushback"})
    void refusesWhatCannotBeAnsweredInTime(double secondsLeft, long meanLatency, String expected) {
        DecisionEngineHarness harness = newHarness();
        harness.methods.get(UNSAFE).meanLatency = meanLatency;
        ShutdownSchedule schedule = signal(harness);
        harness.advance((long) (schedule.answersBy() - secondsLeft * SECOND) - harness.now);
        harness.receiveRpc(UNSAFE, null);
        assertTrue(harness.pullDecisions().startsWith(expected));
    }

    /** A second signal does not move the shutdown deadline. */
    @Test
    void secondSignalKeepsTheSchedule() {
        DecisionEngineHarness harness = newHarness();
        ShutdownSchedule first = signal(harness);
        Rpc rpc = harness.receiveRpc(UNSAFE, null);
        harness.pullDecisions();
        harness.advance(SECOND);
        signal(harness);
        harness.advance(first.answersBy() - harness.now);
        assertEquals("cancel", harness.pullDecisions());
        assertEquals(1, rpc.picks.size());
    }
}
