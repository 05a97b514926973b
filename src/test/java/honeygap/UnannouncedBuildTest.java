package honeygap;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import honeygap.fleet.Appliance;
import honeygap.fleet.Build;
import honeygap.fleet.Fleet;
import honeygap.fleet.Pick;
import honeygap.fleet.Rpc;
import honeygap.settings.DeskSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a key that goes back to an earlier build, and against an unlimited build, where the list has a build
 * before the desk's report of it arrives: what holds for a build on trial holds for it from then on.
 */
class UnannouncedBuildTest {

    private static final long SECOND = DecisionEngineHarness.SECOND;

    /** Lists the old build as draining, sends a key to the new one and lists the old build again. */
    private static void sendKeyTo(DecisionEngineHarness harness, Build build) {
        int state = build == harness.oldBuild ? Appliance.UP : Appliance.DRAINING;
        harness.listAppliance(1, harness.oldBuild, 0, 0, state, Fleet.LONG_AGO);
        harness.listWarm(2, build);
        Rpc first = harness.receiveRpc(0, "k");
        assertEquals("pick2", harness.pullDecisions());
        harness.advance(100);
        harness.endLastPick(first, Pick.OK);
        harness.listWarm(1, harness.oldBuild);
    }

    private static int picksOfKey(DecisionEngineHarness harness, int applianceId) {
        int picks = 0;
        for (int i = 0; i < 10; i++) {
            harness.advance(3 * SECOND);
            Rpc rpc = harness.receiveRpc(0, "k");
            boolean isPicked = harness.pullDecisions().contains("pick" + applianceId);
            picks += isPicked ? 1 : 0;
            harness.advance(100);
            if (rpc.inFlight > 0) {
                harness.endLastPick(rpc, Pick.OK);
            }
        }
        return picks;
    }

    /** Whatever the desk reports next, in any order of list and report: the key stays until its build is rolled back. */
    @ParameterizedTest
    @CsvSource({"0,0", "2,0", "1,10", "3,10"})
    void keyStaysWithABuildThatTheListHasFirst(int phaseReportedLater, int picksAtOld) {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, 0);
        sendKeyTo(harness, harness.newBuild);
        assertEquals(0, picksOfKey(harness, 1), "not reported yet");
        harness.engine.rolloutReported(harness.newBuild, phaseReportedLater, 0, phaseReportedLater == 0 ? 0.2 : 0, false,
                harness.now, 0);
        assertEquals(picksAtOld, picksOfKey(harness, 1), "reported");
    }

    /** The build reported last is being rolled back or withdrawn; that says nothing of a later one. */
    @ParameterizedTest
    @CsvSource({"0", "1", "2", "3"})
    void keyStaysWhateverBecomesOfTheBuildReportedLast(int phaseOfReported) {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, 0);
        harness.engine.rolloutReported(harness.oldBuild, phaseOfReported, 0, phaseOfReported == 2 ? 1 : 0.2, false, harness.now, 0);
        sendKeyTo(harness, harness.newBuild);
        assertEquals(0, picksOfKey(harness, 1));
    }

    /** Of three builds, a key that the unannounced one has is sent neither to the released nor to the announced one. */
    @Test
    void keyIsNotSentToAnAnnouncedBuildInBetween() {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, 0);
        Build third = new Build(3, 3);
        harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 1, 1, false, harness.now, 0);
        sendKeyTo(harness, third);
        harness.listWarm(3, harness.newBuild);
        assertEquals(0, picksOfKey(harness, 1) + picksOfKey(harness, 3));
        assertTrue(picksOfKey(harness, 2) > 0);
    }

    /** A report of an earlier state that arrives late does not free the key. */
    @Test
    void lateReportOfTheEarlierBuildFreesNoKey() {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, 0);
        harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 1, 1, false, harness.now, 0);
        sendKeyTo(harness, harness.newBuild);
        harness.engine.rolloutReported(harness.oldBuild, Build.RELEASED, 0, 1, false, harness.now, 0);
        assertEquals(0, picksOfKey(harness, 1));
    }

    /** Before the desk's first report the later of two listed builds is in the first stage: cap, methods and keys. */
    @Test
    void laterBuildIsLimitedBeforeTheFirstReport() {
        DecisionEngineHarness harness = DecisionEngineHarness.withoutReport();
        harness.listWarm(1, harness.oldBuild);
        harness.listWarm(2, harness.newBuild);
        assertTrue(harness.engine.isOnTrial(harness.newBuild));
        assertFalse(harness.engine.isOnTrial(harness.oldBuild));
        int picksAtNew = 0;
        for (int i = 0; i < 40; i++) {
            harness.advance(100);
            Rpc rpc = harness.receiveRpc(i % 3, null);
            boolean isAtNew = harness.pullDecisions().contains("pick2");
            assertFalse(isAtNew && rpc.method.index > 0, "only idempotent methods in the first stage");
            picksAtNew += isAtNew ? 1 : 0;
            harness.advance(10);
            harness.endLastPick(rpc, Pick.OK);
        }
        assertTrue(picksAtNew <= 1 + 0.2 * 40, picksAtNew + " picks");
        sendKeyTo(harness.advance(3 * SECOND), harness.newBuild);
        assertEquals(0, picksOfKey(harness, 1));
    }

    /** A single listed build needs no report. */
    @Test
    void onlyBuildIsNotLimitedBeforeTheFirstReport() {
        DecisionEngineHarness harness = DecisionEngineHarness.withoutReport();
        harness.listWarm(2, harness.newBuild);
        assertEquals(10, picksOfKey(harness, 2));
    }
}
