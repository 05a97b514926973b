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
import honeygap.settings.ExposureSettings;
import honeygap.settings.ListSettings;
import honeygap.settings.RetryLimits;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RulesTest {

    private static final long SECOND = DecisionEngineHarness.SECOND;

    /** No effect happens twice: the decision after a first pick, by effect, scope, outcome, zone and cell. */
    @ParameterizedTest
    @CsvSource({
        "0,0,1,0,0,pick", "0,0,3,1,1,pick", "0,0,2,0,0,pick",
        "1,0,1,1,1,pick", "1,1,1,0,9,pick", "1,1,1,1,9,abort", "1,2,3,0,0,pick", "1,2,3,0,1,abort",
        "1,1,2,1,9,pick",
        "2,0,1,0,0,abort", "2,0,3,0,0,abort", "2,0,5,0,0,abort", "2,0,6,0,0,abort",
        "2,0,2,0,0,pick", "2,0,4,0,0,pick", "2,0,7,0,0,pick"})
    void retries(int effect, int scope, int outcome, int zone, int cell, String expected) {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, scope);
        harness.listWarm(1, harness.oldBuild);
        Rpc rpc = harness.receiveRpc(effect, null);
        assertEquals("pick1", harness.pullDecisions());
        harness.listAppliance(1, harness.oldBuild, 0, 0, Appliance.DRAINING, Fleet.LONG_AGO);
        harness.listAppliance(2, harness.oldBuild, zone, cell, Appliance.UP, Fleet.LONG_AGO);
        harness.advance(100);
        harness.endLastPick(rpc, outcome);
        assertEquals(expected.equals("pick") ? "pick2" : expected, harness.pullDecisions());
    }

    /** After the time for which duplicates are dropped, an RPC gets its single final answer. */
    @ParameterizedTest
    @CsvSource({"0,2.5,pick", "1,1.5,pick", "1,2.5,pushback", "2,2.5,abort"})
    void tokenWindow(int effect, double seconds, String expected) {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, 0);
        harness.listWarm(1, harness.oldBuild);
        Rpc rpc = harness.receiveRpc(effect, null);
        harness.pullDecisions();
        harness.advance((long) (seconds * SECOND));
        harness.endLastPick(rpc, Pick.ERROR);
        assertTrue(harness.pullDecisions().startsWith(expected));
        assertEquals(expected.equals("pick") ? 0 : 1, rpc.closed ? 1 : 0);
    }

    /** Without capacity an RPC waits for a share of its soft deadline and is then pushed back; it is never lost. */
    @ParameterizedTest
    @CsvSource({"0.04,''", "0.1,pushback", "2.999,pushback", "3.5,abort"})
    void waitsWithoutCapacity(double seconds, String expected) {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, 0);
        harness.receiveRpc(0, null);
        assertEquals("", harness.pullDecisions());
        harness.advance((long) (seconds * SECOND));
        assertEquals(expected, harness.pullDecisions());
        assertEquals("", harness.advance(SECOND).pullDecisions().replace("pushback", expected.isEmpty() ? ""
                : "again"));
    }

    /**
     * Picks at the build on trial stay below the allowance plus the cap's share of the RPCs. There are none at cap 0,
     * nor for methods that are not idempotent in a stage limited to idempotent ones.
     */
    @ParameterizedTest
    @CsvSource({"0,2,0,0.2,0", "0,2,0,0.2,1", "0,2,0,0.2,2", "0,2,0,0,0", "0,2,1,1,1", "1,2,0,0.5,0",
        "3,2,0,0.2,0",        "0,1,0,1,0"})
    void exposure(int phase, int announced, int stage, double cap, int method) {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, 0);
        harness.engine.rolloutReported(announced == 2 ? harness.newBuild : harness.oldBuild,
                announced == 2 ? phase : Build.RELEASED, stage, cap, false, harness.now, 0);
        harness.listWarm(1, harness.oldBuild);
        harness.listWarm(2, harness.newBuild);
        int picksAtNew = 0;
        for (int i = 0; i < 40; i++) {
            harness.advance(100);
            Rpc rpc = harness.receiveRpc(method, null);
            picksAtNew += harness.pullDecisions().contains("pick2") ? 1 : 0;
            harness.advance(10);
            harness.endLastPick(rpc, Pick.OK);
        }
        double bound = announced == 1 ? 0.2 : phase == Build.WITHDRAWN ? 0 : cap;
        boolean isIdempotentOnly = method != 0 && stage == 0;
        assertTrue(picksAtNew <= (bound == 0 || isIdempotentOnly ? 0 : 1 + bound * 2 * 40), picksAtNew + " picks");
        assertEquals(bound > 0 && !isIdempotentOnly, picksAtNew > 0);
    }

    /** A key answered by the build on trial is sent to no earlier one while that build is on trial or released. */
    @ParameterizedTest
    @CsvSource({"0,0,pick2", "0,2,pick2", "0,1,pick1", "0,3,pick1", "2,2,pick2"})
    void stickyKeys(int firstPhase, int phase, String expected) {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, 0);
        harness.listWarm(2, harness.newBuild);
        harness.engine.rolloutReported(harness.newBuild, firstPhase, 1, 1, false, harness.now, 0);
        Rpc first = harness.receiveRpc(0, "k");
        assertEquals("pick2", harness.pullDecisions());
        harness.advance(100);
        harness.endLastPick(first, Pick.OK);
        harness.listWarm(1, harness.oldBuild);
        harness.engine.rolloutReported(harness.newBuild, phase, 1, phase == 0 ? 1 : 0, false, harness.now, 0);
        for (int i = 0; i < 5; i++) {
            harness.advance(5 * SECOND);
            Rpc rpc = harness.receiveRpc(0, "k");
            assertTrue(harness.pullDecisions().contains(expected));
            harness.endLastPick(rpc, Pick.OK);
        }
    }

    /** An appliance that is draining or removed receives no picks. */
    @ParameterizedTest
    @CsvSource({"0,true", "1,false", "2,false"})
    void drainingApplianceGetsNoPicks(int state, boolean isPicked) {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, 0);
        harness.listWarm(1, harness.oldBuild);
        harness.listAppliance(1, harness.oldBuild, 0, 0, state, Fleet.LONG_AGO);
        harness.receiveRpc(0, null);
        assertEquals(isPicked, harness.pullDecisions().contains("pick1"));
    }

    /** A cold appliance gets a share of a warm one's picks, even if a burst finds no other appliance. */
    @ParameterizedTest
    @CsvSource({"0,true", "1,true", "3,true", "5,false"})
    void coldStart(int age, boolean isBounded) {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, 0);
        harness.listWarm(1, harness.oldBuild);
        harness.serveRpcs(100, 0, 0);
        harness.listAppliance(1, harness.oldBuild, 0, 0, Appliance.UP, harness.now - age * SECOND);
        int picks = 0;
        for (int i = 0; i < 60; i++) {
            harness.advance(100);
            Rpc rpc = harness.receiveRpc(0, null);
            picks += harness.pullDecisions().contains("pick1") ? 1 : 0;
            harness.advance(30);
            if (rpc.inFlight > 0) {
                harness.endLastPick(rpc, Pick.OK);
            }
        }
        assertEquals(isBounded, picks < 30, picks + " picks");
    }

    /** Votes by gate, outcome at the new build and phase: 1 is advance, 2 hold, 3 roll back. */
    @ParameterizedTest
    @CsvSource({"0,0,0,vote1", "1,0,0,vote1", "2,0,0,''", "0,1,0,vote3", "1,1,0,vote3", "2,1,0,vote3",
        "0,1,2,vote3", "0,0,2,''", "0,1,3,''"})
    void votes(int gate, int outcomeOnFresh, int phase, String expected) {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(gate, 0);
        for (int id = 1; id < 6; id++) {
            harness.listWarm(id, harness.oldBuild);
        }
        harness.listWarm(6, harness.newBuild);
        harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 1, 1, false, harness.now, 0);
        harness.serveRpcs(30, 0, outcomeOnFresh);
        harness.engine.rolloutReported(harness.newBuild, phase, 1, 1, true, harness.now, 7);
        harness.engine.rolloutReported(harness.newBuild, phase, 1, 1, false, harness.now, 0);
        harness.advance(20 * SECOND);
        assertEquals(expected, harness.pullDecisions());
    }

    /**
     * A vote to advance waits three seconds after the last listed start, longer if the list lacks appliances of the
     * stage, and longest while few picks have ended at the build since the stage began.
     */
    @ParameterizedTest
    @CsvSource({"2,1,8,''", "3,1,8,vote1", "8,0,8,''", "9,0,8,vote1", "3,1,7,''", "8,1,7,''", "9,1,0,vote1"})
    void advanceVoteWaitsForEvidence(int seconds, int listed, int answers, String expected) {
        DecisionEngineHarness harness = DecisionEngineHarness.oneOfMany(7, 1, DeskSettings.FIRST_VOTE, 0);
        harness.listWarm(1, harness.oldBuild);
        harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 0, 0.2, false, harness.now, 0);
        if (listed == 1) {
            harness.listAppliance(2, harness.newBuild, 0, 0, Appliance.UP, harness.now);
        }
        harness.newBuild.answersInStage = answers;
        harness.advance(seconds * SECOND);
        assertEquals(expected, harness.pullDecisions());
    }

    /** A vote is renewed before it expires and sent again after a failed call, but not while a call is open. */
    @ParameterizedTest
    @CsvSource({"0,1,''", "0,5,vote1", "1,1,vote1", "3,1,vote1", "2,1,vote1", "7,1,''", "-1,0.5,''",
        "-1,2,vote1"})
    void renewsVotes(int answer, double seconds, String expected) {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, 0);
        harness.listWarm(1, harness.oldBuild);
        harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 0, 0.2, false, harness.now, 0);
        harness.listAppliance(2, harness.newBuild, 0, 0, Appliance.UP, harness.now);
        harness.newBuild.answersInStage = 8;
        harness.advance(3 * SECOND);
        assertEquals("vote1", harness.pullDecisions());
        if (answer >= 0) {
            harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 0, 0.2, true,
                    harness.now - 3 * SECOND, answer);
        }
        assertEquals(expected, harness.advance((long) (seconds * SECOND)).pullDecisions());
    }

    /** One unresponsive or cold appliance is avoided and does not count against its build. */
    @ParameterizedTest
    @CsvSource({"0", "2"})
    void unresponsiveApplianceDoesNotConvictItsBuild(int age) {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, 0);
        for (int id = 1; id < 4; id++) {
            harness.listWarm(id, harness.oldBuild);
        }
        harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 1, 1, false, harness.now, 0);
        harness.listAppliance(4, harness.newBuild, 0, 0, Appliance.UP, age == 0 ? Fleet.LONG_AGO : harness.now);
        harness.serveRpcs(20, 0, Pick.TIMEOUT);
        assertFalse(harness.pullDecisions().contains("vote3"));
        harness.advance(SECOND);
        assertFalse(harness.pullDecisions().contains("vote3"));
    }

    /** Errors that begin when no earlier build is in use are compared with the earlier build's past results. */
    @Test
    void lateFailuresRollBack() {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, 0);
        harness.listWarm(1, harness.oldBuild);
        harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 1, 1, false, harness.now, 0);
        harness.serveRpcs(60, 0, Pick.OK);
        harness.listWarm(2, harness.newBuild);
        harness.listAppliance(1, harness.oldBuild, 0, 0, Appliance.REMOVED, Fleet.LONG_AGO);
        harness.engine.rolloutReported(harness.newBuild, Build.RELEASED, 1, 1, false, harness.now, 0);
        harness.serveRpcs(10, 0, Pick.ERROR);
        harness.advance(2 * SECOND).pullDecisions();
        assertEquals("vote3", harness.advance(2 * SECOND).pullDecisions());
    }

    /** Without a list discovery is called at once, and again after a failure or a call interval without a response. */
    @ParameterizedTest
    @CsvSource({"none,9,''", "none,10,watch", "fail,3,watch", "answer,20,''", "taken,20,''", "disk,9,''",
            "disk,10,watch"})
    void callsDiscovery(String event, int seconds, String expected) {
        DecisionEngineHarness harness = new DecisionEngineHarness(7, 2, new RetryLimits(3, false, 0),
                new ListSettings(true, false, 10 * SECOND, 0),
                new DeskSettings(0, SECOND, SECOND, SECOND, 1, 1, 0, 0),
                new ExposureSettings(new double[0], new double[0], SECOND, 0, false, 0, false), 0);
        assertEquals("watch", harness.pullDecisions());
        if (event.equals("fail")) {
            harness.engine.listCallFailed();
        } else if (event.equals("taken")) {
            harness.engine.listCallAccepted();
        } else if (!event.equals("none")) {
            harness.engine.listStarted(true, event.equals("disk"));
            harness.engine.listCompleted();
        }
        assertEquals(expected, harness.advance(seconds * SECOND).pullDecisions());
    }

    /** Agents that learn of a start at the same time do not all send a pick at once. */
    @ParameterizedTest
    @CsvSource({"3", "150"})
    void agentsSpreadPicksAtColdAppliance(int agents) {
        int picks = 0;
        for (int seed = 0; seed < agents; seed++) {
            DecisionEngineHarness harness = DecisionEngineHarness.oneOfMany(seed, agents, DeskSettings.FIRST_VOTE, 0);
            harness.listWarm(1, harness.oldBuild);
            harness.serveRpcs(20, 0, Pick.OK);
            harness.listAppliance(1, harness.oldBuild, 0, 0, Appliance.UP, harness.now);
            harness.advance(50);
            harness.receiveRpc(0, null);
            picks += harness.pullDecisions().contains("pick1") ? 1 : 0;
        }
        assertTrue(picks <= 1 + agents / 10, picks + " picks at once");
    }

    /** Answers later than half of the soft deadline shrink an agent's limit, timely ones do not. */
    @ParameterizedTest
    @CsvSource({"0.1,true", "0.9,false"})
    void lateAnswersShrinkTheLimit(double seconds, boolean isAllSent) {
        DecisionEngineHarness harness = DecisionEngineHarness.oneOfMany(7, 10, DeskSettings.FIRST_VOTE, 0);
        for (int id = 1; id < 9; id++) {
            harness.listWarm(id, harness.oldBuild);
        }
        harness.answerRpcs(40, (long) (seconds * SECOND), 0, (long) (seconds * SECOND));
        harness.advance(20 * SECOND);
        for (int i = 0; i < 5; i++) {
            harness.receiveRpc(0, null);
        }
        assertEquals(isAllSent, harness.pullDecisions().split("pick").length == 6, harness.decisions + "");
    }

    /** Picks long in flight shrink the limit before they end; one is still sent within each soft deadline. */
    @ParameterizedTest
    @CsvSource({"0.3,true", "0.9,false", "1.1,true"})
    void oldPicksInFlightShrinkTheLimit(double seconds, boolean isSent) {
        DecisionEngineHarness harness = DecisionEngineHarness.oneOfMany(7, 10, DeskSettings.FIRST_VOTE, 0);
        for (int id = 1; id < 9; id++) {
            harness.listWarm(id, harness.oldBuild);
        }
        for (int i = 0; i < 8; i++) {
            harness.receiveRpc(0, null);
        }
        assertEquals(8, harness.pullDecisions().split("pick", -1).length - 1, harness.decisions + "");
        harness.advance((long) (seconds * SECOND)).receiveRpc(0, null);
        assertEquals(isSent, harness.pullDecisions().contains("pick"), harness.decisions + "");
    }

    /** One of hundreds of agents must not push back all its RPCs while its only pick hangs. */
    @ParameterizedTest
    @CsvSource({"12", "120", "930"})
    void sendsOccasionalPicksWhileOneHangs(int agents) {
        int appliances = 60;
        DecisionEngineHarness harness = DecisionEngineHarness.oneOfMany(3, agents, DeskSettings.BY_COUNT, 0);
        for (int id = 1; id <= appliances; id++) {
            harness.listWarm(id, harness.oldBuild);
        }
        // All agents together send at most eight picks to an appliance in a soft deadline.
        long bound = SECOND * Math.max(1, agents / (8 * appliances) + 1);
        long lastAt = harness.now;
        long longest = 0;
        for (int i = 0; i < 100; i++) {
            harness.advance(SECOND / 10).receiveRpc(0, null);
            if (harness.pullDecisions().contains("pick")) {
                longest = Math.max(longest, harness.now - lastAt);
                lastAt = harness.now;
            }
        }
        longest = Math.max(longest, harness.now - lastAt);
        assertTrue(longest <= bound + SECOND / 10, "no pick for " + longest);
    }

    /**
     * Failures in the desk's counts of all agents roll a build back, for each method and also if the counts of a period
     * arrive one by one. Failures of an overloaded build, or few of them, do not.
     */
    @ParameterizedTest
    @CsvSource({"20,0.1,0,true", "20,0.1,35,true", "20,9,0,false", "0,0.1,0,false", "1,0.1,35,false"})
    void deskCounts(int failed, double seconds, int delay, boolean isRolledBack) {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.BY_COUNT, 0);
        harness.listWarm(1, harness.oldBuild);
        harness.answerRpcs(10, 1000, 0, 1000);
        harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 1, 1, false, harness.now, 0);
        harness.listWarm(2, harness.newBuild);
        for (int i = 0; i < 3; i++) {
            harness.advance(2 * SECOND);
            harness.engine.countsReceived(harness.oldBuild, harness.methods.get(0), 100, 0, 1000, 0);
            harness.advance(delay);
            harness.engine.countsReceived(harness.newBuild, harness.methods.get(0), 40, failed,
                    (long) (seconds * SECOND), 0);
        }
        assertEquals(isRolledBack, harness.advance(SECOND).pullDecisions().contains("vote3"));
    }

    /** One of many agents with several times the mean traffic soon gets a limit for it while few answers are late. */
    @ParameterizedTest
    @CsvSource({"4000,true", "6000,false"})
    void limitGrowsForABusyAgent(int latency, boolean isAllServed) {
        DecisionEngineHarness harness = DecisionEngineHarness.oneOfMany(3, 93, DeskSettings.BY_COUNT, 0);
        for (int id = 1; id <= 60; id++) {
            harness.listWarm(id, harness.oldBuild);
        }
        ArrayDeque<Rpc> inFlight = new ArrayDeque<>();
        int pushedBack = 0;
        for (int i = 0; i < 200; i++) {
            harness.advance(250);
            inFlight.add(harness.receiveRpc(0, null));
            String decisions = harness.pullDecisions();
            pushedBack += i >= 56 ? decisions.split("pushback", -1).length - 1 : 0;
            while (!inFlight.isEmpty()
                    && (inFlight.peek().inFlight == 0 || harness.now - inFlight.peek().picks.get(0).sentAt >= latency)) {
                Rpc rpc = inFlight.poll();
                if (rpc.inFlight > 0) {
                    harness.endLastPick(rpc, Pick.OK);
                } else if (!rpc.closed) {
                    inFlight.addLast(rpc);
                    break;
                }
            }
        }
        assertEquals(isAllServed, pushedBack == 0, pushedBack + " pushed back");
    }

    /** If the desk sends counts, a vote to advance waits for those of a time with all of the stage's appliances. */
    @ParameterizedTest
    @CsvSource({"-1,-1,true", "0.5,-1,false", "0.5,2.5,true"})
    void advanceVoteWaitsForDeskCounts(double firstCounts, double secondCounts, boolean isAdvanceExpected) {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.BY_COUNT, 0);
        harness.listWarm(1, harness.oldBuild);
        harness.listAppliance(2, harness.newBuild, 0, 0, Appliance.UP, harness.now);
        harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 0, 0.2, false, harness.now, 0);
        long began = harness.now;
        for (int i = 0; i < 35; i++) {
            harness.advance(SECOND / 10);
            for (double at : new double[] {firstCounts, secondCounts}) {
                if (harness.now - began == (long) (at * SECOND)) {
                    harness.engine.countsReceived(harness.newBuild, harness.methods.get(0), 10, 0, 1000, 0);
                }
            }
            if (harness.pullDecisions().contains("vote1")) {
                break;
            }
        }
        assertEquals(isAdvanceExpected, harness.decisions.contains("vote1"));
        assertTrue(isAdvanceExpected || harness.advance(3 * SECOND).pullDecisions().contains("vote1"),
                "it waits for one more advance delay at most");
    }

    /** No vote to advance while ok answers of the new build are far slower than the mean, for eight picks or more. */
    @ParameterizedTest
    @CsvSource({"20,900,true", "20,2500,false", "5,2500,true"})
    void advanceVoteWaitsWhileAnswersAreSlow(int picks, long meanLatency, boolean isAdvanceExpected) {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.BY_COUNT, 0);
        harness.listWarm(1, harness.oldBuild);
        harness.answerRpcs(20, 1000, 0, 1000);
        harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 0, 0.2, false, harness.now, 0);
        harness.listAppliance(2, harness.newBuild, 0, 0, Appliance.UP, harness.now);
        boolean hasVotedToAdvance = false;
        for (int i = 0; i < 60; i++) {
            harness.advance(SECOND / 10);
            if (i % 20 == 10) {
                harness.engine.countsReceived(harness.oldBuild, harness.methods.get(0), 100, 0, 1000, 0);
                harness.engine.countsReceived(harness.newBuild, harness.methods.get(0), picks, 0, meanLatency, 0);
            }
            hasVotedToAdvance |= harness.pullDecisions().contains("vote1");
        }
        assertEquals(isAdvanceExpected, hasVotedToAdvance);
    }

    /** All agents vote on a stage at once: those that the desk pushes back retry spread over a voting round. */
    @Test
    void pushedBackVotesAreSpread() {
        double round = 93.0 / 30;
        TreeSet<Long> retryTimes = new TreeSet<>();
        for (int seed = 1; seed <= 40; seed++) {
            DecisionEngineHarness harness = DecisionEngineHarness.oneOfMany(seed, 93, DeskSettings.BY_COUNT, 0);
            harness.listWarm(1, harness.oldBuild);
            harness.listWarm(2, harness.newBuild);
            harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 0, 0.2, false, harness.now, 0);
            harness.advance(4 * SECOND);
            harness.pullDecisions();
            assertTrue(harness.decisions.contains("vote1"), "seed " + seed);
            harness.engine.rolloutReported(harness.newBuild, 0, 0, 0, true, 0, Pick.PUSHED_BACK);
            long waited = 0;
            while (!harness.pullDecisions().contains("vote1")) {
                harness.advance(100);
                waited += 100;
            }
            retryTimes.add(waited / 1000);
            assertTrue(waited <= round * SECOND + 100, "seed " + seed + ": " + waited);
        }
        assertTrue(retryTimes.size() > round * 10 / 2, "steps of 0.1 s in which votes came again: " + retryTimes);
    }

    /** RPCs of a tenant that fail at earlier builds as well get one pick, others also a retry. */
    @ParameterizedTest
    @CsvSource({"0,2", "10,1"})
    void badRequestsGetOnePick(int earlierFailures, int picks) {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, 0);
        harness.listWarm(1, harness.oldBuild);
        harness.listWarm(2, harness.oldBuild);
        for (int i = 0; i <= earlierFailures; i++) {
            harness.advance(SECOND);
            Rpc rpc = harness.receiveRpc(0, null);
            harness.pullDecisions();
            harness.endLastPick(rpc, Pick.ERROR);
            harness.pullDecisions();
            if (i == earlierFailures) {
                assertEquals(picks, rpc.picks.size());
            } else if (!rpc.closed) {
                harness.endLastPick(rpc, Pick.ERROR);
                harness.pullDecisions();
            }
        }
    }

    /** A zone whose answers take far longer than the other's gets only occasional picks. */
    @ParameterizedTest
    @CsvSource({"500,true", "4000,false"})
    void slowZoneIsAvoided(int latency, boolean isUsed) {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, 0);
        harness.listAppliance(1, harness.oldBuild, 0, 0, Appliance.UP, Fleet.LONG_AGO);
        harness.listAppliance(2, harness.oldBuild, 1, 1, Appliance.UP, Fleet.LONG_AGO);
        harness.answerRpcs(20, 500, 1, 500);
        harness.answerRpcs(20, 500, 1, latency);
        int picksInZone = 0;
        for (int i = 0; i < 20; i++) {
            harness.advance(300);
            Rpc rpc = harness.receiveRpc(0, null);
            picksInZone += harness.pullDecisions().contains("pick2") ? 1 : 0;
            harness.advance(100);
            harness.endLastPick(rpc, Pick.OK);
        }
        assertEquals(isUsed, picksInZone > 2, picksInZone + " picks");
    }

    /**
     * One of three appliances of a build fails fast: it looks lightly loaded but gets few picks, and its build is not
     * rolled back. A build of which all appliances fail is.
     */
    @ParameterizedTest
    @CsvSource({"1,false", "3,true"})
    void failingAppliance(int failingCount, boolean isRolledBack) {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, 0);
        for (int i = 0; i < 3; i++) {
            harness.listWarm(i, harness.oldBuild);
            harness.listWarm(10 + i, harness.newBuild);
        }
        harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 1, 1, false, harness.now, 0);
        int picksAtFailing = 0;
        String decisions = "";
        for (int i = 0; i < 200; i++) {
            harness.advance(200);
            Rpc rpc = harness.receiveRpc(0, null);
            decisions += harness.pullDecisions();
            while (rpc.inFlight > 0) {
                long id = rpc.picks.get(rpc.picks.size() - 1).appliance.id;
                picksAtFailing += id == 10 ? 1 : 0;
                harness.endLastPick(rpc, id >= 10 && id < 10 + failingCount ? Pick.ERROR : Pick.OK);
                decisions += harness.pullDecisions();
            }
        }
        assertEquals(isRolledBack, decisions.contains("vote" + Build.VOTE_ROLLBACK));
        assertTrue(failingCount > 1 || picksAtFailing < 15, "picks at the failing one: " + picksAtFailing);
    }

    /** Failures that affect both builds alike roll none back, even after the earlier one has been removed. */
    @ParameterizedTest
    @CsvSource({"10,10,false", "0,3,true"})
    void failuresOfBothBuilds(int everyOld, int everyNew, boolean isRolledBack) {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, 0);
        for (int i = 0; i < 4; i++) {
            harness.listWarm(i, harness.oldBuild);
        }
        String decisions = "";
        for (int i = 0; i < 600; i++) {
            if (i == 100) {
                harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 1, 1, false, harness.now, 0);
            }
            if (i == 300) {
                for (int j = 0; j < 4; j++) {
                    harness.listAppliance(j, harness.oldBuild, 0, 0, Appliance.REMOVED, Fleet.LONG_AGO);
                    harness.listWarm(10 + j, harness.newBuild);
                }
            }
            harness.advance(200);
            Rpc rpc = harness.receiveRpc(0, null);
            decisions += harness.pullDecisions();
            if (rpc.picks.isEmpty()) {
                continue;
            }
            int every = rpc.picks.get(0).build == harness.newBuild ? everyNew : everyOld;
            harness.endLastPick(rpc, every > 0 && i % every == 0 ? Pick.RESET : Pick.OK);
            decisions += harness.pullDecisions();
            if (rpc.inFlight > 0) {
                harness.endLastPick(rpc, Pick.OK);
            }
        }
        assertEquals(isRolledBack, decisions.contains("vote" + Build.VOTE_ROLLBACK));
    }

    /**
     * Each of 14 agents sends a few picks to the build on trial. If a share of them fails and they take four times as
     * long, three agents vote to roll it back within ten seconds of traffic, also while an old appliance fails, and
     * fewer than half vote to advance before. A good build with one failing appliance advances.
     */
    @ParameterizedTest
    @CsvSource({"3,false,1", "3,true,1", "3,true,2", "0,false,1", "0,true,1"})
    void failingBuildAmongManyAgents(int failsOneIn, boolean hasFailingAppliance, int seed) {
        int rollbacks = 0;
        int advances = 0;
        Random random = new Random(seed);
        for (int i = 0; i < 14; i++) {
            DecisionEngineHarness harness =
                    new DecisionEngineHarness(seed * 100 + i, 14, new RetryLimits(3, true, SECOND / 2),
                    new ListSettings(false, false, 10 * SECOND, 0),
                    new DeskSettings(DeskSettings.BY_COUNT, 6 * SECOND, SECOND, SECOND, 3, 30, 0, 0),
                    new ExposureSettings(new double[] {0.3, 1}, new double[] {0.2, 1}, 2 * SECOND, 1, false, 0,
                            false), 0);
            for (int id = 0; id < 20; id++) {
                harness.listWarm(id, id < 16 ? harness.oldBuild : harness.newBuild);
            }
            harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 0, 0.3, false, harness.now, 0);
            ArrayDeque<Rpc> picksAtNew = new ArrayDeque<>();
            String decisions = "";
            int advanceAt = Integer.MAX_VALUE;
            for (int tick = 0; tick < 400; tick++) {
                harness.advance(250);
                Rpc rpc = harness.receiveRpc(0, null);
                decisions += harness.pullDecisions();
                advanceAt = decisions.contains("vote" + Build.VOTE_ADVANCE) ? Math.min(tick, advanceAt) : advanceAt;
                if (rpc.inFlight > 0 && rpc.picks.get(0).build == harness.newBuild) {
                    picksAtNew.add(rpc);
                } else if (rpc.inFlight > 0) {
                    boolean isFailing = hasFailingAppliance && rpc.picks.get(0).appliance.id == 3;
                    harness.endLastPick(rpc, isFailing ? Pick.ERROR : Pick.OK);
                }
                while (!picksAtNew.isEmpty() && picksAtNew.peek().receivedAt <= harness.now - 1000) {
                    Rpc done = picksAtNew.remove();
                    boolean isFailing = hasFailingAppliance && failsOneIn == 0 && done.picks.get(0).appliance.id == 18;
                    boolean fails = failsOneIn > 0 && random.nextInt(failsOneIn) == 0;
                    if (done.picks.size() == 1 && done.inFlight > 0) {
                        harness.endLastPick(done, fails || isFailing ? Pick.ERROR : Pick.OK);
                    }
                }
            }
            rollbacks += decisions.contains("vote" + Build.VOTE_ROLLBACK) ? 1 : 0;
            advances += advanceAt < 200 ? 1 : 0;
        }
        String summary = rollbacks + " to roll back, " + advances + " to advance, seed " + seed;
        assertEquals(failsOneIn > 0, rollbacks >= 3, summary);
        assertEquals(failsOneIn == 0, advances >= 7, summary);
    }

    /** When a zone is lost, all its picks in flight fail at once: one event, which does not convict its build. */
    @Test
    void lostZone() {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, 0);
        for (int id = 0; id < 12; id++) {
            harness.listAppliance(id, id < 6 ? harness.oldBuild : harness.newBuild, id < 6 ? 0 : 1, 0, Appliance.UP,
                    Fleet.LONG_AGO);
        }
        harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 1, 1, false, harness.now, 0);
        harness.serveRpcs(60, 0, Pick.OK);
        String decisions = "";
        for (int i = 0; i < 40; i++) {
            harness.advance(10);
            harness.receiveRpc(2, null);
            decisions += harness.pullDecisions();
        }
        for (Rpc rpc : harness.sentRpcs) {
            if (rpc.inFlight > 0) {
                boolean isOnNew = rpc.picks.get(0).build == harness.newBuild;
                harness.endLastPick(rpc, isOnNew ? Pick.RESET : Pick.OK);
                decisions += harness.pullDecisions();
            }
        }
        assertFalse((decisions + harness.advance(2 * SECOND).pullDecisions()).contains("vote" + Build.VOTE_ROLLBACK),
                decisions);
    }

    /** A build that takes over the traffic in a second or two is not blamed for the failures that come with it. */
    @ParameterizedTest
    @CsvSource({"1", "2", "3", "4"})
    void buildThatTakesOverTheTraffic(int seed) {
        DecisionEngineHarness harness = new DecisionEngineHarness(seed, 3, new RetryLimits(1, true, SECOND / 2),
                new ListSettings(false, false, 10 * SECOND, 0),
                new DeskSettings(DeskSettings.BY_COUNT, 6 * SECOND, SECOND, SECOND, 3, 30, 0, 0),
                new ExposureSettings(new double[] {0.1, 1}, new double[] {0.1, 1}, 2 * SECOND, 1, false, 0, true), 0);
        harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 0, 0.1, false, harness.now, 0);
        for (int id = 0; id < 24; id++) {
            harness.listWarm(id, id < 20 ? harness.oldBuild : harness.newBuild);
        }
        Random random = new Random(seed);
        String decisions = "";
        for (int i = 0; i < 1500; i++) {
            // From RPC 500 on, every eight RPCs a new appliance replaces an old one, except the last.
            if (i == 500) {
                harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 1, 1, false, harness.now, 0);
            }
            if (i >= 500 && i % 8 == 0 && i < 500 + 8 * 19) {
                harness.listAppliance((i - 500) / 8, harness.oldBuild, 0, 0, Appliance.REMOVED, Fleet.LONG_AGO);
                harness.listWarm(30 + i, harness.newBuild);
            }
            harness.advance(40);
            Rpc rpc = harness.receiveRpc(2, null);
            decisions += harness.pullDecisions();
            harness.endLastPick(rpc, random.nextInt(12) == 0 ? Pick.ERROR : Pick.OK);
            decisions += harness.pullDecisions();
        }
        assertFalse(decisions.contains("vote" + Build.VOTE_ROLLBACK), "rolled back, seed " + seed);
    }

    /** A dozen choices in a row are spread over a few appliances with any seed. */
    @ParameterizedTest
    @CsvSource({"1", "2", "3", "4", "5", "6", "7", "8", "9"})
    void randomChoicesAreSpread(int seed) {
        DecisionEngineHarness harness = DecisionEngineHarness.oneOfMany(seed, 14, DeskSettings.BY_COUNT, 0);
        int[] picks = new int[4];
        for (int id = 0; id < 4; id++) {
            harness.listWarm(id, harness.oldBuild);
        }
        for (int i = 0; i < 12; i++) {
            harness.advance(200);
            Rpc rpc = harness.receiveRpc(2, null);
            harness.pullDecisions();
            picks[(int) rpc.picks.get(0).appliance.id]++;
            harness.endLastPick(rpc, Pick.OK);
        }
        assertTrue(Arrays.stream(picks).filter(many -> many > 1).count() > 2,
                Arrays.toString(picks) + ", seed " + seed);
    }

    /** Doubt delays a vote to advance only while an earlier appliance is up, since only then waiting protects RPCs. */
    @ParameterizedTest
    @CsvSource({"true,5,''", "false,4,vote1"})
    void doubtDelaysOnlyWhileEarlierAppliancesAreUp(boolean isUp, int failures, String expected) {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, 0);
        for (int id = 0; id < 8; id++) {
            harness.listWarm(id, id < 4 ? harness.oldBuild : harness.newBuild);
        }
        harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 1, 1, false, harness.now, 0);
        harness.serveRpcs(60, 2, Pick.OK);
        for (int id = 0; id < 4 && !isUp; id++) {
            harness.listAppliance(id, harness.oldBuild, 0, 0, Appliance.REMOVED, Fleet.LONG_AGO);
        }
        int failed = 0;
        for (int i = 0; i < 12 || failed < failures && i < 400; i++) {
            harness.advance(2 * SECOND / 10);
            Rpc rpc = harness.receiveRpc(2, null);
            harness.pullDecisions();
            boolean fails = failed < failures && rpc.inFlight > 0 && rpc.picks.get(0).appliance.id == 4 + failed % 4;
            failed += fails ? 1 : 0;
            if (rpc.inFlight > 0) {
                harness.endLastPick(rpc, fails ? Pick.ERROR : Pick.OK);
            }
            harness.pullDecisions();
        }
        harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 1, 1, true, harness.now - 9 * SECOND, 7);
        harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 1, 1, false, harness.now - 9 * SECOND, 0);
        assertEquals(expected, harness.advance(8 * SECOND).pullDecisions().replace("vote0", ""));
    }

    /** A failing appliance is avoided even if the others of its build have no capacity, as the other build has. */
    @ParameterizedTest
    @CsvSource({"3", "4"})
    void failingApplianceAmongColdOnes(int seed) {
        DecisionEngineHarness harness = DecisionEngineHarness.oneOfMany(seed, 14, DeskSettings.BY_COUNT, 0);
        for (int id = 0; id < 8; id++) {
            harness.listWarm(id, harness.oldBuild);
        }
        harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 1, 1, false, harness.now, 0);
        harness.listWarm(8, harness.newBuild);
        int picksAtFailing = 0;
        for (int i = 0; i < 200; i++) {
            for (int id = 9; id < 12 && i % 40 == 0; id++) {
                harness.listAppliance(id, harness.newBuild, 0, 0, Appliance.UP, harness.now);
            }
            harness.advance(200);
            Rpc rpc = harness.receiveRpc(2, null);
            harness.pullDecisions();
            if (rpc.inFlight > 0) {
                boolean isFailing = rpc.picks.get(0).appliance.id == 8;
                picksAtFailing += isFailing ? 1 : 0;
                harness.endLastPick(rpc, isFailing ? Pick.ERROR : Pick.OK);
            }
        }
        assertTrue(picksAtFailing <= 12, picksAtFailing + " picks at the failing one, seed " + seed);
    }

    /** A key sent to the new build stays with it, whether or not an answer arrived and was readable. */
    @ParameterizedTest
    @CsvSource({"0", "3", "5", "6", "-1"})
    void sentKeysStayWithTheNewBuild(int outcome) {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, 0);
        harness.listWarm(10, harness.newBuild);
        harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 1, 1, false, harness.now, 0);
        Rpc rpc = harness.receiveRpc(2, "k");
        assertEquals("pick10", harness.pullDecisions());
        harness.advance(100);
        if (outcome >= 0) {
            harness.endLastPick(rpc, outcome);
        }
        harness.pullDecisions();
        harness.listAppliance(10, harness.newBuild, 0, 0, Appliance.REMOVED, Fleet.LONG_AGO);
        harness.listWarm(1, harness.oldBuild);
        harness.advance(100);
        harness.receiveRpc(2, "k");
        assertFalse(harness.pullDecisions().contains("pick1"));
    }

    /** A vote to advance waits for one and a half times the configured minimum duration of a stage, however long that is. */
    @ParameterizedTest
    @CsvSource({"1.2,1.7,false", "1.2,1.9,true", "2,2.9,false", "2,3.1,true"})
    void advanceVoteWaitsForTheSoak(double soak, double seconds, boolean isAdvanceExpected) {
        DecisionEngineHarness harness = new DecisionEngineHarness(7, 2, new RetryLimits(3, true, SECOND / 2),
                new ListSettings(false, false, 10 * SECOND, 0),
                new DeskSettings(DeskSettings.FIRST_VOTE, 6 * SECOND, (long) (soak * SECOND), SECOND, 1, 30, 1,
                        2 * SECOND),
                new ExposureSettings(new double[] {0.2, 1}, new double[] {0.2, 1}, 2 * SECOND, 1, false, 1,
                        true), 0);
        harness.listWarm(1, harness.oldBuild);
        harness.listWarm(2, harness.newBuild);
        harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 0, 1, false, harness.now, 0);
        harness.newBuild.answersInStage = 8;
        harness.advance((long) (seconds * SECOND));
        assertEquals(isAdvanceExpected, harness.pullDecisions().contains("vote" + Build.VOTE_ADVANCE));
    }

    /**
     * If all answers are far too slow while a build is on trial, it is rolled back, except when clients send far more
     * RPCs than before; their retries of RPCs pushed back do not count as such.
     */
    @ParameterizedTest
    @CsvSource({"300,false,true", "75,false,false", "75,true,true"})
    void slownessDuringTheTrial(int interval, boolean retries, boolean isRolledBack) {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, 0);
        for (int i = 0; i < 4; i++) {
            harness.listWarm(i, harness.oldBuild);
        }
        harness.answerRpcs(200, 100, 0, 100);
        harness.listWarm(10, harness.newBuild);
        harness.engine.rolloutReported(harness.newBuild, Build.ON_TRIAL, 1, 0.2, false, harness.now, 0);
        String decisions = "";
        ArrayDeque<Rpc> open = new ArrayDeque<>();
        for (long t = 0; t < 12 * SECOND; t += interval) {
            harness.advance(interval);
            Rpc rpc = new Rpc("rpc" + t, harness.methods.get(0), harness.tenant, null, harness.now,
                    harness.now + 3 * SECOND, 0, retries && t % 300 != 0);
            harness.engine.rpcReceived(rpc);
            open.add(rpc);
            decisions += harness.pullDecisions();
            while (open.peek().receivedAt < harness.now - 3000) {
                Rpc done = open.remove();
                if (done.inFlight > 0) {
                    harness.endLastPick(done, Pick.OK);
                }
            }
        }
        assertEquals(isRolledBack, decisions.contains("vote" + Build.VOTE_ROLLBACK));
    }

    /**
     * Earlier builds are removed with their last appliance and pick, so that records do not accumulate however many
     * builds come and go.
     */
    @ParameterizedTest
    @CsvSource({"false", "true"})
    void unusedBuildsAreRemoved(boolean isInFlight) {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, 0);
        harness.listWarm(1, harness.oldBuild);
        Rpc rpc = isInFlight ? harness.receiveRpc(0, null) : null;
        harness.pullDecisions();
        harness.engine.rolloutReported(harness.newBuild, Build.RELEASED, 0, 1, false, harness.now, 0);
        harness.listWarm(2, harness.newBuild);
        assertFalse(harness.oldBuild.isRemoved);
        harness.listAppliance(1, harness.oldBuild, 0, 0, Appliance.REMOVED, Fleet.LONG_AGO);
        assertEquals(!isInFlight, harness.oldBuild.isRemoved);
        if (isInFlight) {
            harness.advance(100);
            harness.endLastPick(rpc, Pick.OK);
            harness.listWarm(2, harness.newBuild);
            assertTrue(harness.oldBuild.isRemoved);
        }
        assertFalse(harness.newBuild.isRemoved);
        // A build that returns is a new record.
        Build returned = new Build(1, 3);
        harness.listWarm(3, returned);
        assertFalse(returned.isRemoved);
        assertEquals("pick2", harness.advance(100).receiveRpc(0, null) == null ? "" : harness.pullDecisions());
    }

    /** A server gets no picks during its retry-after, and its zone no more in flight than its limit. */
    @ParameterizedTest
    @CsvSource({"0,0,pick1", "500,0,pick2", "500,1,pushback", "500,3,pick2"})
    void retryAfterIsHonored(long retryAfter, int limit, String expected) {
        DecisionEngineHarness harness = DecisionEngineHarness.withDefaults(DeskSettings.FIRST_VOTE, 0);
        harness.listWarm(1, harness.oldBuild);
        Appliance other = harness.listAppliance(2, harness.oldBuild, 0, 0, Appliance.UP, Fleet.LONG_AGO);
        harness.receiveRpc(0, null);
        harness.pullDecisions();
        Appliance first = harness.appliances.get(0);
        Appliance limited = other.limit.inFlight > 0 ? other : first;
        if (retryAfter > 0) {
            limited.retryAfterUntil = harness.now + retryAfter * 100;
            limited.zone.maxInFlight = limit;
            limited.zone.limitedUntil = limit > 0 ? limited.retryAfterUntil : 0;
        }
        harness.advance(100);
        harness.receiveRpc(0, null);
        String decisions = harness.pullDecisions();
        harness.advance(1000);
        decisions += harness.pullDecisions();
        String wanted = expected.equals("pushback") ? expected
                : "pick" + (retryAfter > 0 ? limited == first ? 2 : 1 : 0);
        assertTrue(decisions.startsWith(retryAfter > 0 ? wanted : "pick"), decisions);
    }
}
