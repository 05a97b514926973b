package honeygap.rules.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import honeygap.fleet.RandomSource;
import honeygap.fleet.Fleet;
import honeygap.settings.ListSettings;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Times at which an agent calls discovery. */
class ListCallsTest {

    private static final long SECOND = Fleet.SECOND;
    private static final ListSettings POLLED = new ListSettings(true, false, 10 * SECOND, 0);
    private static final ListSettings PUSHED = new ListSettings(true, true, 10 * SECOND, 0);
    private static final int AGENTS = 200;

    private static ListCallSchedule schedule(long seed, ListSettings listing) {
        return new ListCallSchedule(0, new RandomSource(seed), listing);
    }

    /** If hundreds of agents start at once and all call at once, their calls time out in discovery's queue. */
    @Test
    void firstCallsAreSpreadWithAStoredList() {
        long[] times = LongStream.range(0, AGENTS).map(seed -> {
            ListCallSchedule schedule = schedule(seed, POLLED);
            schedule.storedListLoaded(0);
            return schedule.nextCallAt();
        }).sorted().toArray();
        assertTrue(times[AGENTS / 4] > SECOND / 2, "a quarter within " + times[AGENTS / 4]);
        assertTrue(times[AGENTS / 2] > SECOND, "half within " + times[AGENTS / 2]);
        assertTrue(times[AGENTS - 1] <= 10 * SECOND, "all within the call interval");
    }

    /** Pushed changes count from the first moment, and without a stored list nothing can be served. */
    @Test
    void callsAtOnceForPushedListsOrWithoutAStoredOne() {
        ListCallSchedule pushed = schedule(1, PUSHED);
        pushed.storedListLoaded(0);
        assertTrue(pushed.startCallIfDue(0));
        assertTrue(schedule(1, POLLED).startCallIfDue(0));
    }

    @Test
    void neverCallsForUnwatchedLists() {
        ListCallSchedule schedule = schedule(1, new ListSettings(false, true, 0, 0));
        schedule.callFailed(0);
        assertEquals(Long.MAX_VALUE, schedule.nextCallAt());
        assertFalse(schedule.startCallIfDue(Long.MAX_VALUE - 1));
    }

    /** An open call keeps its position in the queue; a second one would only make the queue longer. */
    @Test
    void oneCallIsOpenAtATime() {
        ListCallSchedule schedule = schedule(1, POLLED);
        assertTrue(schedule.startCallIfDue(0));
        assertFalse(schedule.startCallIfDue(10 * SECOND - 1));
        schedule.callAccepted();
        assertFalse(schedule.startCallIfDue(1_000 * SECOND));
    }

    /** Delays are uniform below a bound that doubles up to a limit and is reset by a received list. */
    @Test
    void retriesBackOffWithFullJitter() {
        for (int failures = 1; failures <= 12; failures++) {
            double bound = Math.min(10, 2.5 * Math.pow(2, failures - 1)) * SECOND;
            double sum = 0;
            double longest = 0;
            for (int seed = 0; seed < AGENTS; seed++) {
                ListCallSchedule schedule = schedule(seed, POLLED);
                for (int i = 0; i < failures; i++) {
                    schedule.callFailed(0);
                }
                sum += schedule.nextCallAt();
                longest = Math.max(longest, schedule.nextCallAt());
            }
            assertTrue(longest <= bound && longest > 0.9 * bound, failures + " failures: longest " + longest);
            assertEquals(bound / 2, sum / AGENTS, bound / 8, failures + " failures: mean");
        }
    }

    /** A response header only shows that the call was accepted; it may still time out in the queue. */
    @Test
    void onlyAListResetsTheBackOff() {
        ListCallSchedule schedule = schedule(3, POLLED);
        for (int i = 0; i < 10; i++) {
            schedule.callFailed(0);
        }
        long longest = 0;
        for (int i = 0; i < 20; i++) {
            schedule.callAccepted();
            schedule.callFailed(0);
            longest = Math.max(longest, schedule.nextCallAt());
        }
        assertTrue(longest > 5 * SECOND, "longest " + longest);
    }

    /** Changes missed since the end of a watch are fetched soon. */
    @Test
    void callsSoonAfterAWatchThatHadReported() {
        for (int seed = 0; seed < AGENTS; seed++) {
            ListCallSchedule schedule = schedule(seed, POLLED);
            schedule.callFailed(0);
            schedule.listReceived();
            schedule.callFailed(0);
            assertTrue(schedule.nextCallAt() <= SECOND / 2, "after a watch: " + schedule.nextCallAt());
        }
    }

    /** If lists are pushed, discovery has no queue that calls could fill. */
    @Test
    void callsSoonForPushedLists() {
        ListCallSchedule schedule = schedule(1, PUSHED);
        for (int i = 0; i < 20; i++) {
            schedule.callFailed(0);
            assertTrue(schedule.nextCallAt() <= 2.5 * SECOND, i + " failures: " + schedule.nextCallAt());
        }
    }
}
