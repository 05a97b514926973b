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
    void resetRecord() {
        record = new SoakRecord();
    }

    private void addSent(String id, SoakMethod method, long at) {
        record.sent.put(id, new SoakRecord.SentRequest(id, AGENT, method, at, 1000));
    }

    private void addServed(String id, long at) {
        record.completions.add(new SoakRecord.Completion(id, SoakRecord.Ending.SERVED, at, id));
    }

    private void addArrival(String id, int appliance, int zone, long at, boolean executed) {
        record.arrivals.add(new SoakRecord.Arrival(id, appliance, 0, StandInDesk.EARLIER_BUILD, zone, at, at, 100, executed));
    }

    private List<String> violatedRules() {
        return SoakChecker.check(record).stream().map(Violation::rule).distinct().toList();
    }

    @Test
    void plainRequest() {
        addSent("a", SoakMethod.ASSIGN, 1000);
        addArrival("a", 3, 0, 1010, true);
        addServed("a", 1020);
        assertEquals(List.of(), violatedRules());
    }

    @Test
    void missingLateAndDuplicateAnswers() {
        addSent("never", SoakMethod.READ, 1000);
        addSent("late", SoakMethod.READ, 1000);
        addServed("late", 2700);
        addSent("twice", SoakMethod.READ, 1000);
        addServed("twice", 1100);
        addServed("twice", 1200);
        assertEquals(3, SoakChecker.check(record).size());
    }

    private void addLifetime(long signalledAt, long endedAt, SoakRecord.Death death) {
        record.lifetimes.add(new SoakRecord.ProcessLifetime(AGENT, 0, signalledAt, endedAt, death));
    }

    /**
     * Requests may be lost when a process is killed without prior SIGTERM, but not when it got SIGTERM or crashed.
     */
    @ParameterizedTest
    @CsvSource({"KILLED, ''", "ENDED, lost", "KILLED_AFTER_SIGNAL, lost", "CRASHED, lost crash"})
    void requestLostWithProcess(SoakRecord.Death death, String rules) {
        addSent("a", SoakMethod.READ, 1000);
        addLifetime(death == SoakRecord.Death.KILLED ? Long.MAX_VALUE : 500, 1100, death);
        assertEquals(rules, String.join(" ", violatedRules()));
    }

    /** Lost requests are excused if the process was paused for too long after its SIGTERM. */
    @Test
    void pauseDuringShutdownIsExcused() {
        addSent("a", SoakMethod.READ, 1000);
        addLifetime(500, 1900, SoakRecord.Death.KILLED_AFTER_SIGNAL);
        record.pauses.add(new SoakRecord.ProcessPause(AGENT, 1000, 1100));
        assertEquals(List.of("lost"), violatedRules());
        record.pauses.add(new SoakRecord.ProcessPause(AGENT, 1200, 1300));
        assertEquals(List.of(), violatedRules());
    }

    /**
     * A request whose connection was closed counts as not accepted unless an appliance received it or the agent logged
     * it.
     */
    @Test
    void connectionClosedWithoutAnswer() {
        addSent("a", SoakMethod.READ, 1000);
        record.completions.add(new SoakRecord.Completion("a", SoakRecord.Ending.CLOSED, 1100, ""));
        assertEquals(List.of(), violatedRules());
        record.acceptedAfterSignal.add("a");
        assertEquals(List.of("lost"), violatedRules());
        resetRecord();
        addSent("b", SoakMethod.READ, 1000);
        addArrival("b", 1, 0, 1010, true);
        record.resends.put("b", new SoakRecord.Resend("b", 1050));
        addServed("b", 1100);
        assertEquals(List.of("lost"), violatedRules(), "read on the first connection");
    }

    @Test
    void valueOfAnotherRequest() {
        addSent("a", SoakMethod.READ, 1000);
        record.completions.add(new SoakRecord.Completion("a", SoakRecord.Ending.SERVED, 1010, "b"));
        assertEquals(List.of("value"), violatedRules());
    }

    @Test
    void duplicateEffect() {
        addSent("a", SoakMethod.ASSIGN, 1000);
        addArrival("a", 1, 0, 1010, false);
        addArrival("a", 2, 0, 1020, true);
        addServed("a", 1030);
        assertEquals(List.of(), violatedRules(), "the first attempt was refused");
        addArrival("a", 3, 0, 1040, true);
        assertEquals(List.of("duplicate"), violatedRules());
    }

    @Test
    void tokenedRequestOutsideItsZone() {
        addSent("a", SoakMethod.BOOK, 1000);
        addArrival("a", 1, 0, 1010, true);
        addArrival("a", 4, 0, 1020, true);
        addServed("a", 1030);
        assertEquals(List.of(), violatedRules(), "the same zone");
        addArrival("a", 2, 1, 1025, true);
        assertEquals(List.of("duplicate"), violatedRules());
    }

    /** The grace of a drain starts when the change is written to the agent, or six seconds after that was possible. */
    @Test
    void requestToDrainingAppliance() {
        record.listChanges.add(new SoakRecord.ListChange(7, 3, ApplianceState.DRAINING, 1000));
        addSent("a", SoakMethod.READ, 7500);
        addServed("a", 7520);
        addArrival("a", 3, 0, 7510, true);
        assertEquals(List.of(), violatedRules(), "within the grace");
        record.listDeliveries.add(new SoakRecord.ListDelivery(AGENT, 7, 6500));
        assertEquals(List.of("drain"), violatedRules());
        record.listChanges.add(new SoakRecord.ListChange(8, 3, ApplianceState.SERVING, 7000));
        record.listDeliveries.add(new SoakRecord.ListDelivery(AGENT, 8, 7100));
        assertEquals(List.of(), violatedRules(), "serving again");
    }

    @Test
    void drainDuringOutage() {
        record.outages.add(new SoakRecord.Outage(500, 9000));
        record.listChanges.add(new SoakRecord.ListChange(7, 3, ApplianceState.DRAINING, 1000));
        addSent("a", SoakMethod.READ, 15_400);
        addServed("a", 15_420);
        addArrival("a", 3, 0, 15_410, true);
        assertEquals(List.of(), violatedRules(), "within the grace six seconds after the outage");
        addSent("b", SoakMethod.READ, 15_900);
        addServed("b", 15_920);
        addArrival("b", 3, 0, 15_910, true);
        assertEquals(List.of("drain"), violatedRules());
    }

    @Test
    void exposureAboveCap() {
        for (int i = 0; i < 20; i++) {
            addSent("r" + i, SoakMethod.READ, 1000 + i);
            addServed("r" + i, 1100 + i);
            if (i % 2 == 0) {
                record.arrivals.add(new SoakRecord.Arrival("r" + i, 0, 0, StandInDesk.TRIAL_BUILD, 0, 1010 + i, 1010 + i, 100,
                        true));
            }
        }
        assertEquals(List.of("exposure"), violatedRules());
    }

    @Test
    void attemptAfterDisconnect() {
        addSent("a", SoakMethod.READ, 1000);
        record.disconnects.put("a", new SoakRecord.Disconnect("a", 1100));
        addArrival("a", 1, 0, 1190, true);
        assertEquals(List.of(), violatedRules());
        addArrival("a", 1, 0, 1400, true);
        assertEquals(List.of("left"), violatedRules());
    }

    @Test
    void forwardedTimeoutAboveDeadline() {
        addSent("a", SoakMethod.READ, 1000);
        addServed("a", 1900);
        record.arrivals.add(new SoakRecord.Arrival("a", 1, 0, 1, 0, 1800, 1800, 600, true));
        assertEquals(List.of("deadline"), violatedRules());
    }

    @Test
    void resourceUsageAboveLimits() {
        record.resourceUsage.add(new SoakRecord.ResourceUsage(AGENT, 77, "start", 20, 12, 60_000));
        record.resourceUsage.add(new SoakRecord.ResourceUsage(AGENT, 77, "end", 24, 13, 70_000));
        assertEquals(List.of(), violatedRules());
        record.resourceUsage.add(new SoakRecord.ResourceUsage(AGENT, 77, "later", 60, 13, 200_000));
        assertEquals(List.of("memory", "holdings"), violatedRules());
    }

    /** A connection with an incomplete request is closed within three seconds, not counting pauses of the process. */
    @Test
    void incompleteRequest() {
        assertEquals(List.of(), SoakChecker.checkIncompleteRequest(record, AGENT, 3100, 10_000));
        assertEquals(1, SoakChecker.checkIncompleteRequest(record, AGENT, 3400, 10_000).size());
        record.pauses.add(new SoakRecord.ProcessPause(AGENT, 9000, 9400));
        assertEquals(List.of(), SoakChecker.checkIncompleteRequest(record, AGENT, 3400, 10_000));
    }

    /** Time limits grow by the scheduling delay that the run measured, since a busy machine measures late. */
    @Test
    void limitsIncludeLatenessOfRun() {
        addSent("late", SoakMethod.READ, 1000);
        addServed("late", 2700);
        record.latenessMs = 100;
        assertEquals(List.of(), violatedRules());
    }

    /** A seed always generates the same plan, and a plan with fewer faults keeps its other values. */
    @Test
    void plansAreReproducible() {
        SoakPlan plan = SoakPlan.generate(5, 12, 30_000);
        assertEquals(plan, SoakPlan.generate(5, 12, 30_000));
        SoakPlan smaller = plan.withFaults(plan.faults().subList(0, 3));
        assertEquals(3, smaller.faults().size());
        assertEquals(plan.appliances(), smaller.appliances());
    }
}
