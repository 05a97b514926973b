package honeygap.rules.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import honeygap.fleet.Chance;
import honeygap.fleet.Fleet;
import honeygap.terms.Listing;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Times at which an agent calls discovery. */
class ListCallsTest {

    private static final long SECOND = Fleet.SECOND;
    private static final Listing POLLED = new Listing(true, false, 10 * SECOND, 0);
    private static final Listing PUSHED = new Listing(true, true, 10 * SECOND, 0);
    private static final int AGENTS = 200;

    private static ListCalls schedule(long seed, Listing listing) {
        return new ListCalls(0, new Chance(seed), listing);
    }

    /** If hundreds of agents start at once and all call at once, their calls time out in discovery's queue. */
    @Test
    void firstCallsAreSpreadWithAStoredList() {
        long[] times = LongStream.range(0, AGENTS).map(seed -> {
            ListCalls schedule = schedule(seed, POLLED);
            schedule.known(0);
            return schedule.callAt();
        }).sorted().toArray();
        assertTrue(times[AGENTS / 4] > SECOND / 2, "a quarter within " + times[AGENTS / 4]);
        assertTrue(times[AGENTS / 2] > SECOND, "half within " + times[AGENTS / 2]);
        assertTrue(times[AGENTS - 1] <= 10 * SECOND, "all within the call interval");
    }

    /** Pushed changes count from the first moment, and without a stored list nothing can be served. */
    @Test
    void callsAtOnceForPushedListsOrWithoutAStoredOne() {
        ListCalls pushed = schedule(1, PUSHED);
        pushed.known(0);
        assertTrue(pushed.calls(0));
        assertTrue(schedule(1, POLLED).calls(0));
    }

    @Test
    void neverCallsForUnwatchedLists() {
        ListCalls schedule = schedule(1, new Listing(false, true, 0, 0));
        schedule.failed(0);
        assertEquals(Long.MAX_VALUE, schedule.callAt());
        assertFalse(schedule.calls(Long.MAX_VALUE - 1));
    }

    /** An open call keeps its position in the queue; a second one would only make the queue longer. */
    @Test
    void oneCallIsOpenAtATime() {
        ListCalls schedule = schedule(1, POLLED);
        assertTrue(schedule.calls(0));
        assertFalse(schedule.calls(10 * SECOND - 1));
        schedule.callAccepted();
        assertFalse(schedule.calls(1_000 * SECOND));
    }

    /** Delays are uniform below a bound that doubles up to a limit and is reset by a received list. */
    @Test
    void retriesBackOffWithFullJitter() {
        for (int failures = 1; failures <= 12; failures++) {
            double bound = Math.min(10, 2.5 * Math.pow(2, failures - 1)) * SECOND;
            double sum = 0;
            double longest = 0;
            for (int seed = 0; seed < AGENTS; seed++) {
                ListCalls schedule = schedule(seed, POLLED);
                for (int i = 0; i < failures; i++) {
                    schedule.failed(0);
                }
                sum += schedule.callAt();
                longest = Math.max(longest, schedule.callAt());
            }
            assertTrue(longest <= bound && longest > 0.9 * bound, failures + " failures: longest " + longest);
            assertEquals(bound / 2, sum / AGENTS, bound / 8, failures + " failures: mean");
        }
    }

    /** A response header only shows that the call was accepted; it may still time out in the queue. */
    @Test
    void onlyAListResetsTheBackOff() {
        ListCalls schedule = schedule(3, POLLED);
        for (int i = 0; i < 10; i++) {
            schedule.failed(0);
        }
        long longest = 0;
        for (int i = 0; i < 20; i++) {
            schedule.callAccepted();
            schedule.failed(0);
            longest = Math.max(longest, schedule.callAt());
        }
        assertTrue(longest > 5 * SECOND, "longest " + longest);
    }

    /** Changes missed since the end of a watch are fetched soon. */
    @Test
    void callsSoonAfterAWatchThatHadReported() {
        for (int seed = 0; seed < AGENTS; seed++) {
            ListCalls schedule = schedule(seed, POLLED);
            schedule.failed(0);
            schedule.answered();
            schedule.failed(0);
            assertTrue(schedule.callAt() <= SECOND / 2, "after a watch: " + schedule.callAt());
        }
    }

    /** If lists are pushed, discovery has no queue that calls could fill. */
    @Test
    void callsSoonForPushedLists() {
        ListCalls schedule = schedule(1, PUSHED);
        for (int i = 0; i < 20; i++) {
            schedule.failed(0);
            assertTrue(schedule.callAt() <= 2.5 * SECOND, i + " failures: " + schedule.callAt());
        }
    }
}
