package honeygap.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which violations the checker reports for a record, and what it accepts. Times are milliseconds. */
class SoakCheckerTest {

    private static final int AGENT = 1;

    private SoakRecord record;

    @BeforeEach
    void start() {
        record = new SoakRecord();
    }

    private void sent(String id, SoakMethod method, long at) {
        record.sent.put(id, new SoakRecord.SentRequest(id, AGENT, method, at, 1000));
    }

    private void served(String id, long at) {
        record.completions.add(new SoakRecord.Completion(id, SoakRecord.Ending.SERVED, at, id));
    }

    private void arrives(String id, int appliance, int zone, long at, boolean ran) {
        record.arrivals.add(new SoakRecord.Arrival(id, appliance, 0, StandInDesk.EARLIER_BUILD, zone, at, at, 100, ran));
    }

    private List<String> broken() {
        return SoakChecker.check(record).stream().map(Violation::rule).distinct().toList();
    }

    @Test
    void plainRequest() {
        sent("a", SoakMethod.ASSIGN, 1000);
        arrives("a", 3, 0, 1010, true);
        served("a", 1020);
        assertEquals(List.of(), broken());
    }

    @Test
    void noAnswerLateAnswerAndTwoAnswers() {
        sent("never", SoakMethod.READ, 1000);
        sent("late", SoakMethod.READ, 1000);
        served("late", 2700);
        sent("twice", SoakMethod.READ, 1000);
        served("twice", 1100);
        served("twice", 1200);
        assertEquals(3, SoakChecker.check(record).size());
    }

    private void ends(long signalledAt, long to, SoakRecord.Death death) {
        record.lifetimes.add(new SoakRecord.ProcessLifetime(AGENT, 0, signalledAt, to, death));
    }

    /**
     * A process that was killed without a word before owes nothing; one that was told to end does, however it ended.
     */
    @ParameterizedTest
    @CsvSource({"KILLED, ''", "ENDED, lost", "KILLED_AFTER_SIGNAL, lost", "CRASHED, lost crash"})
    void deathOfTheProcess(SoakRecord.Death death, String rules) {
        sent("a", SoakMethod.READ, 1000);
        ends(death == SoakRecord.Death.KILLED ? Long.MAX_VALUE : 500, 1100, death);
        assertEquals(rules, String.join(" ", broken()));
    }

    /** Lost requests are excused if the process was paused for too long after its SIGTERM. */
    @Test
    void heldUpAtTheEnd() {
        sent("a", SoakMethod.READ, 1000);
        ends(500, 1900, SoakRecord.Death.KILLED_AFTER_SIGNAL);
        record.pauses.add(new SoakRecord.ProcessPause(AGENT, 1000, 1100));
        assertEquals(List.of("lost"), broken());
        record.pauses.add(new SoakRecord.ProcessPause(AGENT, 1200, 1300));
        assertEquals(List.of(), broken());
    }

    /**
     * A request whose connection was closed counts as not accepted unless an appliance received it or the agent logged
     * it.
     */
    @Test
    void closedUnanswered() {
        sent("a", SoakMethod.READ, 1000);
        record.completions.add(new SoakRecord.Completion("a", SoakRecord.Ending.CLOSED, 1100, ""));
        assertEquals(List.of(), broken());
        record.acceptedAfterSignal.add("a");
        assertEquals(List.of("lost"), broken());
        start();
        sent("b", SoakMethod.READ, 1000);
        arrives("b", 1, 0, 1010, true);
        record.resends.put("b", new SoakRecord.Resend("b", 1050));
        served("b", 1100);
        assertEquals(List.of("lost"), broken(), "read on the first connection");
    }

    @Test
    void valueOfAnotherRequest() {
        sent("a", SoakMethod.READ, 1000);
        record.completions.add(new SoakRecord.Completion("a", SoakRecord.Ending.SERVED, 1010, "b"));
        assertEquals(List.of("value"), broken());
    }

    @Test
    void effectTwice() {
        sent("a", SoakMethod.ASSIGN, 1000);
        arrives("a", 1, 0, 1010, false);
        arrives("a", 2, 0, 1020, true);
        served("a", 1030);
        assertEquals(List.of(), broken(), "the first attempt was refused");
        arrives("a", 3, 0, 1040, true);
        assertEquals(List.of("duplicate"), broken());
    }

    @Test
    void tokenOutsideItsGroup() {
        sent("a", SoakMethod.BOOK, 1000);
        arrives("a", 1, 0, 1010, true);
        arrives("a", 4, 0, 1020, true);
        served("a", 1030);
        assertEquals(List.of(), broken(), "the same zone");
        arrives("a", 2, 1, 1025, true);
        assertEquals(List.of("duplicate"), broken());
    }

    /** The grace of a drain starts when the change is written to the agent, or six seconds after that was possible. */
    @Test
    void drains() {
        record.listChanges.add(new SoakRecord.ListChange(7, 3, ApplianceState.DRAINING, 1000));
        sent("a", SoakMethod.READ, 7500);
        served("a", 7520);
        arrives("a", 3, 0, 7510, true);
        assertEquals(List.of(), broken(), "within the grace");
        record.listDeliveries.add(new SoakRecord.ListDelivery(AGENT, 7, 6500));
        assertEquals(List.of("drain"), broken());
        record.listChanges.add(new SoakRecord.ListChange(8, 3, ApplianceState.SERVING, 7000));
        record.listDeliveries.add(new SoakRecord.ListDelivery(AGENT, 8, 7100));
        assertEquals(List.of(), broken(), "serving again");
    }

    @Test
    void drainsDuringAnOutage() {
        record.outages.add(new SoakRecord.Outage(500, 9000));
        record.listChanges.add(new SoakRecord.ListChange(7, 3, ApplianceState.DRAINING, 1000));
        sent("a", SoakMethod.READ, 15_400);
        served("a", 15_420);
        arrives("a", 3, 0, 15_410, true);
        assertEquals(List.of(), broken(), "within the grace six seconds after the outage");
        sent("b", SoakMethod.READ, 15_900);
        served("b", 15_920);
        arrives("b", 3, 0, 15_910, true);
        assertEquals(List.of("drain"), broken());
    }

    @Test
    void exposure() {
        for (int i = 0; i < 20; i++) {
            sent("r" + i, SoakMethod.READ, 1000 + i);
            served("r" + i, 1100 + i);
            if (i % 2 == 0) {
                record.arrivals.add(new SoakRecord.Arrival("r" + i, 0, 0, StandInDesk.TRIAL_BUILD, 0, 1010 + i, 1010 + i, 100,
                        true));
            }
        }
        assertEquals(List.of("exposure"), broken());
    }

    @Test
    void clientsThatLeft() {
        sent("a", SoakMethod.READ, 1000);
        record.disconnects.put("a", new SoakRecord.Disconnect("a", 1100));
        arrives("a", 1, 0, 1190, true);
        assertEquals(List.of(), broken());
        arrives("a", 1, 0, 1400, true);
        assertEquals(List.of("left"), broken());
    }

    @Test
    void timeTold() {
        sent("a", SoakMethod.READ, 1000);
        served("a", 1900);
        record.arrivals.add(new SoakRecord.Arrival("a", 1, 0, 1, 0, 1800, 1800, 600, true));
        assertEquals(List.of("deadline"), broken());
    }

    @Test
    void holdings() {
        record.resourceUsage.add(new SoakRecord.ResourceUsage(AGENT, 77, "start", 20, 12, 60_000));
        record.resourceUsage.add(new SoakRecord.ResourceUsage(AGENT, 77, "end", 24, 13, 70_000));
        assertEquals(List.of(), broken());
        record.resourceUsage.add(new SoakRecord.ResourceUsage(AGENT, 77, "later", 60, 13, 200_000));
        assertEquals(List.of("memory", "holdings"), broken());
    }

    /** A connection with an incomplete request is closed within three seconds, not counting pauses of the process. */
    @Test
    void halfRequest() {
        assertEquals(List.of(), SoakChecker.checkIncompleteRequest(record, AGENT, 3100, 10_000));
        assertEquals(1, SoakChecker.checkIncompleteRequest(record, AGENT, 3400, 10_000).size());
        record.pauses.add(new SoakRecord.ProcessPause(AGENT, 9000, 9400));
        assertEquals(List.of(), SoakChecker.checkIncompleteRequest(record, AGENT, 3400, 10_000));
    }

    /** Time limits grow by the scheduling delay that the run measured, since a busy machine measures late. */
    @Test
    void latenessOfTheRunItself() {
        sent("late", SoakMethod.READ, 1000);
        served("late", 2700);
        record.latenessMs = 100;
        assertEquals(List.of(), broken());
    }

    /** A seed always generates the same plan, and a plan with fewer faults keeps its other values. */
    @Test
    void plans() {
        SoakPlan plan = SoakPlan.generate(5, 12, 30_000);
        assertEquals(plan, SoakPlan.generate(5, 12, 30_000));
        SoakPlan smaller = plan.withFaults(plan.faults().subList(0, 3));
        assertEquals(3, smaller.faults().size());
        assertEquals(plan.appliances(), smaller.appliances());
    }
}
