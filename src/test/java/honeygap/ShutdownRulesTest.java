package honeygap;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import honeygap.fleet.Pick;
import honeygap.fleet.Rpc;
import honeygap.rules.shutdown.ShutdownPhase;
import honeygap.rules.shutdown.ShutdownSchedule;
import honeygap.terms.Desk;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What is decided about RPCs in a process that has been told to end. */
class ShutdownRulesTest {

    private static final long SECOND = Agency.SECOND;
    private static final int READ = 0;
    private static final int UNSAFE = 2;
    private static final int ZONE = 1;

    private static Agency agency() {
        Agency agency = Agency.plain(Desk.FIRST_VOICE, ZONE);
        agency.warm(1, agency.old);
        agency.warm(2, agency.old);
        return agency;
    }

    private static ShutdownSchedule signal(Agency agency) {
        ShutdownSchedule schedule = ShutdownSchedule.of(agency.now, 3 * SECOND);
        agency.rules.ending(schedule);
        return schedule;
    }

    /** Kills come 0.7 s after the longest deadline, which counts as 3 s at most; all in milliseconds after the signal. */
    @ParameterizedTest
    @CsvSource({"3000, 700, 3350, 3450", "5000, 700, 3350, 3450", "800, 700, 1150, 1250", "200, 550, 550, 650"})
    void schedule(long longestMs, long closesMs, long answersMs, long endsMs) {
        ShutdownSchedule schedule = ShutdownSchedule.of(SECOND, 10 * longestMs);
        assertEquals(SECOND + 10 * closesMs, schedule.closesAt());
        assertEquals(SECOND + 10 * answersMs, schedule.answersBy());
        assertEquals(SECOND + 10 * endsMs, schedule.endsBy());
        assertEquals(ShutdownPhase.DRAINING, schedule.phase(schedule.closesAt() - 1));
        assertEquals(longestMs < 700 ? ShutdownPhase.ENDED : ShutdownPhase.CLOSING, schedule.phase(schedule.closesAt()));
        assertEquals(ShutdownPhase.ENDED, schedule.phase(schedule.answersBy()));
    }

    /** A pick that is out at the shutdown deadline is given up, and its RPC answered as its method allows. */
    @ParameterizedTest
    @CsvSource({"0, pushback", "1, abort", "2, abort"})
    void givenUpAtTheDeadline(int method, String answer) {
        Agency agency = agency();
        ShutdownSchedule schedule = signal(agency);
        agency.after(SECOND);
        Rpc rpc = agency.take(method, null);
        assertTrue(agency.pull().startsWith("pick"));
        agency.after(schedule.answersBy() - 1 - agency.now);
        assertEquals("", agency.pull());
        agency.after(1);
        assertEquals("cancel", agency.pull());
        agency.end(rpc, Pick.CANCELLED);
        assertEquals(answer, agency.pull());
    }

    /** One taken before the signal as well. */
    @Test
    void takenBeforeTheSignal() {
        Agency agency = agency();
        Rpc rpc = agency.take(UNSAFE, null);
        agency.pull();
        agency.after(SECOND / 100);
        // By the settings read again the longest deadline is shorter than this RPC's own.
        ShutdownSchedule schedule = ShutdownSchedule.of(agency.now, SECOND);
        agency.rules.ending(schedule);
        agency.after(schedule.answersBy() - agency.now);
        assertEquals("cancel", agency.pull());
        agency.end(rpc, Pick.MOOT);
        assertEquals("pushback", agency.pull());
    }

    /** A pick is told no more time than is left to the shutdown deadline. */
    @Test
    void timeTold() {
        Agency agency = agency();
        ShutdownSchedule schedule = signal(agency);
        agency.after(SECOND);
        agency.take(READ, null);
        agency.pull();
        assertTrue(agency.within <= schedule.answersBy() - agency.now, "told " + agency.within);
    }

    /** No further pick begins once the shutdown deadline is near, though the RPC's own is far. */
    @Test
    void noFurtherPick() {
        Agency agency = agency();
        ShutdownSchedule schedule = signal(agency);
        agency.after(SECOND);
        Rpc rpc = agency.take(READ, null);
        agency.pull();
        agency.after(schedule.answersBy() - agency.now - 1);
        agency.end(rpc, Pick.ERROR);
        assertEquals("pushback", agency.pull());
    }

    /** What can't be answered in time any more is refused at once; with answers to go by, by three times the usual. */
    @ParameterizedTest
    @CsvSource({"1.01, 0, pick", "0.99, 0, pushback", "0.31, 1000, pick", "0.29, 1000, pushback"})
    void refusedAtOnce(double secondsLeft, long usual, String then) {
        Agency agency = agency();
        agency.methods.get(UNSAFE).meanLatency = usual;
        ShutdownSchedule schedule = signal(agency);
        agency.after((long) (schedule.answersBy() - secondsLeft * SECOND) - agency.now);
        agency.take(UNSAFE, null);
        assertTrue(agency.pull().startsWith(then));
    }

    /** A second signal does not move the deadline. */
    @Test
    void signalledAgain() {
        Agency agency = agency();
        ShutdownSchedule first = signal(agency);
        Rpc rpc = agency.take(UNSAFE, null);
        agency.pull();
        agency.after(SECOND);
        signal(agency);
        agency.after(first.answersBy() - agency.now);
        assertEquals("cancel", agency.pull());
        assertEquals(1, rpc.picks.size());
    }
}
