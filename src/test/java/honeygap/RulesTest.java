package honeygap;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import honeygap.fleet.Appliance;
import honeygap.fleet.Build;
import honeygap.fleet.Fleet;
import honeygap.fleet.Pick;
import honeygap.fleet.Rpc;
import honeygap.terms.Desk;
import honeygap.terms.Exposure;
import honeygap.terms.Listing;
import honeygap.terms.Tries;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RulesTest {

    private static final long SECOND = Agency.SECOND;

    /** No effect happens twice: what follows a first pick, by effect, scope, outcome and place. */
    @ParameterizedTest
    @CsvSource({
        "0,0,1,0,0,pick", "0,0,3,1,1,pick", "0,0,2,0,0,pick",
        "1,0,1,1,1,pick", "1,1,1,0,9,pick", "1,1,1,1,9,abort", "1,2,3,0,0,pick", "1,2,3,0,1,abort",
        "1,1,2,1,9,pick",
        "2,0,1,0,0,abort", "2,0,3,0,0,abort", "2,0,5,0,0,abort", "2,0,6,0,0,abort",
        "2,0,2,0,0,pick", "2,0,4,0,0,pick", "2,0,7,0,0,pick"})
    void furtherPicks(int effect, int scope, int outcome, int zone, int cell, String then) {
        Agency agency = Agency.plain(Desk.FIRST_VOICE, scope);
        agency.warm(1, agency.old);
        Rpc rpc = agency.take(effect, null);
        assertEquals("pick1", agency.pull());
        agency.list(1, agency.old, 0, 0, Appliance.DRAINING, Fleet.LONG_AGO);
        agency.list(2, agency.old, zone, cell, Appliance.UP, Fleet.LONG_AGO);
        agency.after(100);
        agency.end(rpc, outcome);
        assertEquals(then.equals("pick") ? "pick2" : then, agency.pull());
    }

    /** After the time for which repeats are dropped an RPC gets its one final answer. */
    @ParameterizedTest
    @CsvSource({"0,2.5,pick", "1,1.5,pick", "1,2.5,pushback", "2,2.5,abort"})
    void tokenWindow(int effect, double seconds, String then) {
        Agency agency = Agency.plain(Desk.FIRST_VOICE, 0);
        agency.warm(1, agency.old);
        Rpc rpc = agency.take(effect, null);
        agency.pull();
        agency.after((long) (seconds * SECOND));
        agency.end(rpc, Pick.ERROR);
        assertTrue(agency.pull().startsWith(then));
        assertEquals(then.equals("pick") ? 0 : 1, rpc.closed ? 1 : 0);
    }

    /** Without a place an RPC is held for a part of its soft deadline, then pushed back; never lost. */
    @ParameterizedTest
    @CsvSource({"0.04,''", "0.1,pushback", "2.999,pushback", "3.5,abort"})
    void heldWithoutPlace(double seconds, String then) {
        Agency agency = Agency.plain(Desk.FIRST_VOICE, 0);
        agency.take(0, null);
        assertEquals("", agency.pull());
        agency.after((long) (seconds * SECOND));
        assertEquals(then, agency.pull());
        assertEquals("", agency.after(SECOND).pull().replace("pushback", then.isEmpty() ? "" : "again"));
    }

    /** Picks on trial stay under free plus cap times taken; none at cap 0 or for effects when shielded. */
    @ParameterizedTest
    @CsvSource({"0,2,0,0.2,0", "0,2,0,0.2,1", "0,2,0,0.2,2", "0,2,0,0,0", "0,2,1,1,1", "1,2,0,0.5,0",
        "3,2,0,0.2,0",        "0,1,0,1,0"})
    void exposure(int phase, int announced, int stage, double cap, int method) {
        Agency agency = Agency.plain(Desk.FIRST_VOICE, 0);
        agency.rules.told(announced == 2 ? agency.fresh : agency.old,
                announced == 2 ? phase : Build.RELEASED, stage, cap, false, agency.now, 0);
        agency.warm(1, agency.old);
        agency.warm(2, agency.fresh);
        int fresh = 0;
        for (int i = 0; i < 40; i++) {
            agency.after(100);
            Rpc rpc = agency.take(method, null);
            fresh += agency.pull().contains("pick2") ? 1 : 0;
            agency.after(10);
            agency.end(rpc, Pick.OK);
        }
        double bound = announced == 1 ? 0.2 : phase == Build.WITHDRAWN ? 0 : cap;
        boolean shielded = method != 0 && stage == 0;
        assertTrue(fresh <= (bound == 0 || shielded ? 0 : 1 + bound * 2 * 40), fresh + " picks");
        assertEquals(bound > 0 && !shielded, fresh > 0);
    }

    /** A key that the build on trial has answered goes to no earlier one while it is on trial or released. */
    @ParameterizedTest
    @CsvSource({"0,0,pick2", "0,2,pick2", "0,1,pick1", "0,3,pick1", "2,2,pick2"})
    void oneWayKeys(int before, int phase, String then) {
        Agency agency = Agency.plain(Desk.FIRST_VOICE, 0);
        agency.warm(2, agency.fresh);
        agency.rules.told(agency.fresh, before, 1, 1, false, agency.now, 0);
        Rpc first = agency.take(0, "k");
        assertEquals("pick2", agency.pull());
        agency.after(100);
        agency.end(first, Pick.OK);
        agency.warm(1, agency.old);
        agency.rules.told(agency.fresh, phase, 1, phase == 0 ? 1 : 0, false, agency.now, 0);
        for (int i = 0; i < 5; i++) {
            agency.after(5 * SECOND);
            Rpc rpc = agency.take(0, "k");
            assertTrue(agency.pull().contains(then));
            agency.end(rpc, Pick.OK);
        }
    }

    /** Nothing new to an appliance that drains or is gone; a fresh start under its id counts as cold. */
    @ParameterizedTest
    @CsvSource({"0,true", "1,false", "2,false"})
    void drains(int state, boolean picked) {
        Agency agency = Agency.plain(Desk.FIRST_VOICE, 0);
        agency.warm(1, agency.old);
        agency.list(1, agency.old, 0, 0, state, Fleet.LONG_AGO);
        agency.take(0, null);
        assertEquals(picked, agency.pull().contains("pick1"));
    }

    /** A cold appliance gets a part of what a warm one takes, though a burst finds no other place. */
    @ParameterizedTest
    @CsvSource({"0,true", "1,true", "3,true", "5,false"})
    void coldStart(int age, boolean bounded) {
        Agency agency = Agency.plain(Desk.FIRST_VOICE, 0);
        agency.warm(1, agency.old);
        agency.serve(100, 0, 0);
        agency.list(1, agency.old, 0, 0, Appliance.UP, agency.now - age * SECOND);
        int picks = 0;
        for (int i = 0; i < 60; i++) {
            agency.after(100);
            Rpc rpc = agency.take(0, null);
            picks += agency.pull().contains("pick1") ? 1 : 0;
            agency.after(30);
            if (rpc.out > 0) {
                agency.end(rpc, Pick.OK);
            }
        }
        assertEquals(bounded, picks < 30, picks + " picks");
    }

    /** Votes by gate, stage of the evidence and phase: 1 on, 2 hold, 3 back. */
    @ParameterizedTest
    @CsvSource({"0,0,0,vote1", "1,0,0,vote1", "2,0,0,''", "0,1,0,vote3", "1,1,0,vote3", "2,1,0,vote3",
        "0,1,2,vote3", "0,0,2,''", "0,1,3,''"})
    void votes(int gate, int outcomeOnFresh, int phase, String then) {
        Agency agency = Agency.plain(gate, 0);
        for (int id = 1; id < 6; id++) {
            agency.warm(id, agency.old);
        }
        agency.warm(6, agency.fresh);
        agency.rules.told(agency.fresh, Build.ON_TRIAL, 1, 1, false, agency.now, 0);
        agency.serve(30, 0, outcomeOnFresh);
        agency.rules.told(agency.fresh, phase, 1, 1, true, agency.now, 7);
        agency.rules.told(agency.fresh, phase, 1, 1, false, agency.now, 0);
        agency.after(20 * SECOND);
        assertEquals(then, agency.pull());
    }

    /**
     * 'On' waits three seconds from the last listed start, longer for appliances that the list lacks, and longest
     * while few picks have ended at the build since the stage began.
     */
    @ParameterizedTest
    @CsvSource({"2,1,8,''", "3,1,8,vote1", "8,0,8,''", "9,0,8,vote1", "3,1,7,''", "8,1,7,''", "9,1,0,vote1"})
    void onIsPatient(int seconds, int listed, int seen, String then) {
        Agency agency = Agency.one(7, 1, Desk.FIRST_VOICE, 0);
        agency.warm(1, agency.old);
        agency.rules.told(agency.fresh, Build.ON_TRIAL, 0, 0.2, false, agency.now, 0);
        if (listed == 1) {
            agency.list(2, agency.fresh, 0, 0, Appliance.UP, agency.now);
        }
        agency.fresh.answersInStage = seen;
        agency.after(seconds * SECOND);
        assertEquals(then, agency.pull());
    }

    /** A vote is renewed before it lapses, sent again when its call failed, and not while the call is out. */
    @ParameterizedTest
    @CsvSource({"0,1,''", "0,5,vote1", "1,1,vote1", "3,1,vote1", "2,1,vote1", "7,1,''", "-1,0.5,''",
        "-1,2,vote1"})
    void renewsVotes(int answer, double seconds, String then) {
        Agency agency = Agency.plain(Desk.FIRST_VOICE, 0);
        agency.warm(1, agency.old);
        agency.rules.told(agency.fresh, Build.ON_TRIAL, 0, 0.2, false, agency.now, 0);
        agency.list(2, agency.fresh, 0, 0, Appliance.UP, agency.now);
        agency.fresh.answersInStage = 8;
        agency.after(3 * SECOND);
        assertEquals("vote1", agency.pull());
        if (answer >= 0) {
            agency.rules.told(agency.fresh, Build.ON_TRIAL, 0, 0.2, true, agency.now - 3 * SECOND, answer);
        }
        assertEquals(then, agency.after((long) (seconds * SECOND)).pull());
    }

    /** One silent appliance, or one that is cold, is left out and does not convict its build. */
    @ParameterizedTest
    @CsvSource({"0", "2"})
    void silentApplianceIsNoVerdict(int age) {
        Agency agency = Agency.plain(Desk.FIRST_VOICE, 0);
        for (int id = 1; id < 4; id++) {
            agency.warm(id, agency.old);
        }
        agency.rules.told(agency.fresh, Build.ON_TRIAL, 1, 1, false, agency.now, 0);
        agency.list(4, agency.fresh, 0, 0, Appliance.UP, age == 0 ? Fleet.LONG_AGO : agency.now);
        agency.serve(20, 0, Pick.TIMEOUT);
        assertFalse(agency.pull().contains("vote3"));
        agency.after(SECOND);
        assertFalse(agency.pull().contains("vote3"));
    }

    /** Errors that begin when no earlier build is at risk are set against what the earlier one did. */
    @Test
    void lateBadBuildIsSentBack() {
        Agency agency = Agency.plain(Desk.FIRST_VOICE, 0);
        agency.warm(1, agency.old);
        agency.rules.told(agency.fresh, Build.ON_TRIAL, 1, 1, false, agency.now, 0);
        agency.serve(60, 0, Pick.OK);
        agency.warm(2, agency.fresh);
        agency.list(1, agency.old, 0, 0, Appliance.GONE, Fleet.LONG_AGO);
        agency.rules.told(agency.fresh, Build.RELEASED, 1, 1, false, agency.now, 0);
        agency.serve(10, 0, Pick.ERROR);
        agency.after(2 * SECOND).pull();
        assertEquals("vote3", agency.after(2 * SECOND).pull());
    }

    /** Without a list discovery is called at once, and again after a failure, or no word for the time for asking. */
    @ParameterizedTest
    @CsvSource({"none,9,''", "none,10,watch", "fail,3,watch", "answer,20,''", "taken,20,''", "disk,9,''", "disk,10,watch"})
    void asksTheList(String what, int seconds, String then) {
        Agency agency = new Agency(7, 2, new Tries(3, false, 0), new Listing(true, false, 10 * SECOND, 0),
                new Desk(0, SECOND, SECOND, SECOND, 1, 1, 0, 0),
                new Exposure(new double[0], new double[0], SECOND, 0, false, 0, false), 0);
        assertEquals("watch", agency.pull());
        if (what.equals("fail")) {
            agency.rules.listFailed();
        } else if (what.equals("taken")) {
            agency.rules.listTaken();
        } else if (!what.equals("none")) {
            agency.rules.listBegins(true, what.equals("disk"));
            agency.rules.listEnds();
        }
        assertEquals(then, agency.after(seconds * SECOND).pull());
    }

    /** All agents that hear of a start at the same moment do not each send a pick at once. */
    @ParameterizedTest
    @CsvSource({"3", "150"})
    void agentsSpreadOverColdAppliance(int agents) {
        int picks = 0;
        for (int seed = 0; seed < agents; seed++) {
            Agency agency = Agency.one(seed, agents, Desk.FIRST_VOICE, 0);
            agency.warm(1, agency.old);
            agency.serve(20, 0, Pick.OK);
            agency.list(1, agency.old, 0, 0, Appliance.UP, agency.now);
            agency.after(50);
            agency.take(0, null);
            picks += agency.pull().contains("pick1") ? 1 : 0;
        }
        assertTrue(picks <= 1 + agents / 10, picks + " picks at once");
    }

    /** Answers later than half of the soft deadline shrink the room of an agent, timely ones do not. */
    @ParameterizedTest
    @CsvSource({"0.1,true", "0.9,false"})
    void lateAnswersShrinkRoom(double seconds, boolean wide) {
        Agency agency = Agency.one(7, 10, Desk.FIRST_VOICE, 0);
        for (int id = 1; id < 9; id++) {
            agency.warm(id, agency.old);
        }
        agency.answer(40, (long) (seconds * SECOND), 0, (long) (seconds * SECOND));
        agency.after(20 * SECOND);
        for (int i = 0; i < 5; i++) {
            agency.take(0, null);
        }
        assertEquals(wide, agency.pull().split("pick").length == 6, agency.said + "");
    }

    /** Picks that are long out shrink the room before they end; one goes out within the soft deadline all the same. */
    @ParameterizedTest
    @CsvSource({"0.3,true", "0.9,false", "1.1,true"})
    void picksLongOutShrinkRoom(double seconds, boolean isSent) {
        Agency agency = Agency.one(7, 10, Desk.FIRST_VOICE, 0);
        for (int id = 1; id < 9; id++) {
            agency.warm(id, agency.old);
        }
        for (int i = 0; i < 8; i++) {
            agency.take(0, null);
        }
        assertEquals(8, agency.pull().split("pick", -1).length - 1, agency.said + "");
        agency.after((long) (seconds * SECOND)).take(0, null);
        assertEquals(isSent, agency.pull().contains("pick"), agency.said + "");
    }

    /** Guards against an agent of hundreds whose one pick hangs, and which turns away all that it gets meanwhile. */
    @ParameterizedTest
    @CsvSource({"12", "120", "930"})
    void sendsAPickNowAndThenWhateverHangs(int agents) {
        int appliances = 60;
        Agency agency = Agency.one(3, agents, Desk.BY_COUNT, 0);
        for (int id = 1; id <= appliances; id++) {
            agency.warm(id, agency.old);
        }
        // All agents together send eight picks an appliance in a soft deadline at most.
        long bound = SECOND * Math.max(1, agents / (8 * appliances) + 1);
        long lastAt = agency.now;
        long longest = 0;
        for (int i = 0; i < 100; i++) {
            agency.after(SECOND / 10).take(0, null);
            if (agency.pull().contains("pick")) {
                longest = Math.max(longest, agency.now - lastAt);
                lastAt = agency.now;
            }
        }
        longest = Math.max(longest, agency.now - lastAt);
        assertTrue(longest <= bound + SECOND / 10, "no pick for " + longest);
    }

    /**
     * The desk's counts of all agents convict by method, also where those of one period come one after another; a
     * jammed build's, and few failures, do not.
     */
    @ParameterizedTest
    @CsvSource({"20,0.1,0,true", "20,0.1,35,true", "20,9,0,false", "0,0.1,0,false", "1,0.1,35,false"})
    void deskCounts(int bad, double seconds, int apart, boolean back) {
        Agency agency = Agency.plain(Desk.BY_COUNT, 0);
        agency.warm(1, agency.old);
        agency.answer(10, 1000, 0, 1000);
        agency.rules.told(agency.fresh, Build.ON_TRIAL, 1, 1, false, agency.now, 0);
        agency.warm(2, agency.fresh);
        for (int i = 0; i < 3; i++) {
            agency.after(2 * SECOND);
            agency.rules.counted(agency.old, agency.methods.get(0), 100, 0, 1000, 0);
            agency.after(apart);
            agency.rules.counted(agency.fresh, agency.methods.get(0), 40, bad, (long) (seconds * SECOND), 0);
        }
        assertEquals(back, agency.after(SECOND).pull().contains("vote3"));
    }

    /** One of many agents that takes several times the mean has room for it soon, as long as few answers are late. */
    @ParameterizedTest
    @CsvSource({"4000,true", "6000,false"})
    void roomOfAHeavyAgent(int lag, boolean all) {
        Agency agency = Agency.one(3, 93, Desk.BY_COUNT, 0);
        for (int id = 1; id <= 60; id++) {
            agency.warm(id, agency.old);
        }
        ArrayDeque<Rpc> out = new ArrayDeque<>();
        int turnedDown = 0;
        for (int i = 0; i < 200; i++) {
            agency.after(250);
            out.add(agency.take(0, null));
            String said = agency.pull();
            turnedDown += i >= 56 ? said.split("pushback", -1).length - 1 : 0;
            while (!out.isEmpty() && (out.peek().out == 0 || agency.now - out.peek().picks.get(0).sentAt >= lag)) {
                Rpc rpc = out.poll();
                if (rpc.out > 0) {
                    agency.end(rpc, Pick.OK);
                } else if (!rpc.closed) {
                    out.addLast(rpc);
                    break;
                }
            }
        }
        assertEquals(all, turnedDown == 0, turnedDown + " pushed back");
    }

    /** 'On' waits for counts of the time with all of the stage's appliances, where the desk's counts come at all. */
    @ParameterizedTest
    @CsvSource({"-1,-1,true", "0.5,-1,false", "0.5,2.5,true"})
    void onWaitsForCounts(double early, double late, boolean on) {
        Agency agency = Agency.plain(Desk.BY_COUNT, 0);
        agency.warm(1, agency.old);
        agency.list(2, agency.fresh, 0, 0, Appliance.UP, agency.now);
        agency.rules.told(agency.fresh, Build.ON_TRIAL, 0, 0.2, false, agency.now, 0);
        long began = agency.now;
        for (int i = 0; i < 35; i++) {
            agency.after(SECOND / 10);
            for (double at : new double[] {early, late}) {
                if (agency.now - began == (long) (at * SECOND)) {
                    agency.rules.counted(agency.fresh, agency.methods.get(0), 10, 0, 1000, 0);
                }
            }
            if (agency.pull().contains("vote1")) {
                break;
            }
        }
        assertEquals(on, agency.said.contains("vote1"));
        assertTrue(on || agency.after(3 * SECOND).pull().contains("vote1"), "it waits no longer than one wait more");
    }

    /** While good answers of the new build take far more than is usual for eight picks or more, 'on' is not said. */
    @ParameterizedTest
    @CsvSource({"20,900,true", "20,2500,false", "5,2500,true"})
    void onWaitsWhileSlow(int many, long mean, boolean on) {
        Agency agency = Agency.plain(Desk.BY_COUNT, 0);
        agency.warm(1, agency.old);
        agency.answer(20, 1000, 0, 1000);
        agency.rules.told(agency.fresh, Build.ON_TRIAL, 0, 0.2, false, agency.now, 0);
        agency.list(2, agency.fresh, 0, 0, Appliance.UP, agency.now);
        boolean said = false;
        for (int i = 0; i < 60; i++) {
            agency.after(SECOND / 10);
            if (i % 20 == 10) {
                agency.rules.counted(agency.old, agency.methods.get(0), 100, 0, 1000, 0);
                agency.rules.counted(agency.fresh, agency.methods.get(0), many, 0, mean, 0);
            }
            said |= agency.pull().contains("vote1");
        }
        assertEquals(on, said);
    }

    /** All agents stand for a stage at once: those that the desk has no room for come again spread over a round. */
    @Test
    void votesTurnedAway() {
        double round = 93.0 / 30;
        TreeSet<Long> again = new TreeSet<>();
        for (int seed = 1; seed <= 40; seed++) {
            Agency agency = Agency.one(seed, 93, Desk.BY_COUNT, 0);
            agency.warm(1, agency.old);
            agency.warm(2, agency.fresh);
            agency.rules.told(agency.fresh, Build.ON_TRIAL, 0, 0.2, false, agency.now, 0);
            agency.after(4 * SECOND);
            agency.pull();
            assertTrue(agency.said.contains("vote1"), "seed " + seed);
            agency.rules.told(agency.fresh, 0, 0, 0, true, 0, Pick.FULL);
            long waited = 0;
            while (!agency.pull().contains("vote1")) {
                agency.after(100);
                waited += 100;
            }
            again.add(waited / 1000);
            assertTrue(waited <= round * SECOND + 100, "seed " + seed + ": " + waited);
        }
        assertTrue(again.size() > round * 10 / 2, "steps of 0.1 s in which votes came again: " + again);
    }

    /** RPCs of a customer that fail at earlier builds as well get one pick, others a further one. */
    @ParameterizedTest
    @CsvSource({"0,2", "10,1"})
    void badRequestsGetOnePick(int before, int picks) {
        Agency agency = Agency.plain(Desk.FIRST_VOICE, 0);
        agency.warm(1, agency.old);
        agency.warm(2, agency.old);
        for (int i = 0; i <= before; i++) {
            agency.after(SECOND);
            Rpc rpc = agency.take(0, null);
            agency.pull();
            agency.end(rpc, Pick.ERROR);
            agency.pull();
            if (i == before) {
                assertEquals(picks, rpc.picks.size());
            } else if (!rpc.closed) {
                agency.end(rpc, Pick.ERROR);
                agency.pull();
            }
        }
    }

    /** A location whose answers take far longer than the other's gets single picks only. */
    @ParameterizedTest
    @CsvSource({"500,true", "4000,false"})
    void slowLocationIsLeftOut(int lag, boolean used) {
        Agency agency = Agency.plain(Desk.FIRST_VOICE, 0);
        agency.list(1, agency.old, 0, 0, Appliance.UP, Fleet.LONG_AGO);
        agency.list(2, agency.old, 1, 1, Appliance.UP, Fleet.LONG_AGO);
        agency.answer(20, 500, 1, 500);
        agency.answer(20, 500, 1, lag);
        int there = 0;
        for (int i = 0; i < 20; i++) {
            agency.after(300);
            Rpc rpc = agency.take(0, null);
            there += agency.pull().contains("pick2") ? 1 : 0;
            agency.after(100);
            agency.end(rpc, Pick.OK);
        }
        assertEquals(used, there > 2, there + " picks");
    }

    /**
     * An appliance that fails at once, among three of its build: it looks light but gets few picks, its build is
     * not sent back, and one where all fail is.
     */
    @ParameterizedTest
    @CsvSource({"1,false", "3,true"})
    void sickAppliance(int sick, boolean back) {
        Agency agency = Agency.plain(Desk.FIRST_VOICE, 0);
        for (int i = 0; i < 3; i++) {
            agency.warm(i, agency.old);
            agency.warm(10 + i, agency.fresh);
        }
        agency.rules.told(agency.fresh, Build.ON_TRIAL, 1, 1, false, agency.now, 0);
        int atSick = 0;
        String said = "";
        for (int i = 0; i < 200; i++) {
            agency.after(200);
            Rpc rpc = agency.take(0, null);
            said += agency.pull();
            while (rpc.out > 0) {
                long id = rpc.picks.get(rpc.picks.size() - 1).appliance.id;
                atSick += id == 10 ? 1 : 0;
                agency.end(rpc, id >= 10 && id < 10 + sick ? Pick.ERROR : Pick.OK);
                said += agency.pull();
            }
        }
        assertEquals(back, said.contains("vote" + Build.VOTE_BACK));
        assertTrue(sick > 1 || atSick < 15, "picks at the sick one: " + atSick);
    }

    /** Failures that come at every build alike convict none, also where the earlier one has left. */
    @ParameterizedTest
    @CsvSource({"10,10,false", "0,3,true"})
    void failuresOfBoth(int everyOld, int everyNew, boolean back) {
        Agency agency = Agency.plain(Desk.FIRST_VOICE, 0);
        for (int i = 0; i < 4; i++) {
            agency.warm(i, agency.old);
        }
        String said = "";
        for (int i = 0; i < 600; i++) {
            if (i == 100) {
                agency.rules.told(agency.fresh, Build.ON_TRIAL, 1, 1, false, agency.now, 0);
            }
            if (i == 300) {
                for (int j = 0; j < 4; j++) {
                    agency.list(j, agency.old, 0, 0, Appliance.GONE, Fleet.LONG_AGO);
                    agency.warm(10 + j, agency.fresh);
                }
            }
            agency.after(200);
            Rpc rpc = agency.take(0, null);
            said += agency.pull();
            if (rpc.picks.isEmpty()) {
                continue;
            }
            int every = rpc.picks.get(0).build == agency.fresh ? everyNew : everyOld;
            agency.end(rpc, every > 0 && i % every == 0 ? Pick.RESET : Pick.OK);
            said += agency.pull();
            if (rpc.out > 0) {
                agency.end(rpc, Pick.OK);
            }
        }
        assertEquals(back, said.contains("vote" + Build.VOTE_BACK));
    }

    /**
     * Of 14 agents each sends the build on trial a few picks: where it fails a part of them and its picks take
     * four times as long, three send it back within ten seconds of traffic, also while one of the old appliances
     * is sick; no half of them is for it before. A good build with a sick appliance of its own goes on.
     */
    @ParameterizedTest
    @CsvSource({"3,false,1", "3,true,1", "3,true,2", "0,false,1", "0,true,1"})
    void manyAgents(int failsOneIn, boolean sick, int seed) {
        int backs = 0;
        int ons = 0;
        Random random = new Random(seed);
        for (int i = 0; i < 14; i++) {
            Agency agency = new Agency(seed * 100 + i, 14, new Tries(3, true, SECOND / 2),
                    new Listing(false, false, 10 * SECOND, 0),
                    new Desk(Desk.BY_COUNT, 6 * SECOND, SECOND, SECOND, 3, 30, 0, 0),
                    new Exposure(new double[] {0.3, 1}, new double[] {0.2, 1}, 2 * SECOND, 1, false, 0,
                            false), 0);
            for (int id = 0; id < 20; id++) {
                agency.warm(id, id < 16 ? agency.old : agency.fresh);
            }
            agency.rules.told(agency.fresh, Build.ON_TRIAL, 0, 0.3, false, agency.now, 0);
            ArrayDeque<Rpc> slow = new ArrayDeque<>();
            String said = "";
            int onAt = Integer.MAX_VALUE;
            for (int tick = 0; tick < 400; tick++) {
                agency.after(250);
                Rpc rpc = agency.take(0, null);
                said += agency.pull();
                onAt = said.contains("vote" + Build.VOTE_ON) ? Math.min(tick, onAt) : onAt;
                if (rpc.out > 0 && rpc.picks.get(0).build == agency.fresh) {
                    slow.add(rpc);
                } else if (rpc.out > 0) {
                    boolean isSick = sick && rpc.picks.get(0).appliance.id == 3;
                    agency.end(rpc, isSick ? Pick.ERROR : Pick.OK);
                }
                while (!slow.isEmpty() && slow.peek().receivedAt <= agency.now - 1000) {
                    Rpc done = slow.remove();
                    boolean isSick = sick && failsOneIn == 0 && done.picks.get(0).appliance.id == 18;
                    boolean fails = failsOneIn > 0 && random.nextInt(failsOneIn) == 0;
                    if (done.picks.size() == 1 && done.out > 0) {
                        agency.end(done, fails || isSick ? Pick.ERROR : Pick.OK);
                    }
                }
            }
            backs += said.contains("vote" + Build.VOTE_BACK) ? 1 : 0;
            ons += onAt < 200 ? 1 : 0;
        }
        String seen = backs + " for back, " + ons + " for on, seed " + seed;
        assertEquals(failsOneIn > 0, backs >= 3, seen);
        assertEquals(failsOneIn == 0, ons >= 7, seen);
    }

    /** A location that is lost breaks all that was out there at once: one event, not a verdict on its build. */
    @Test
    void lostLocation() {
        Agency agency = Agency.plain(Desk.FIRST_VOICE, 0);
        for (int id = 0; id < 12; id++) {
            agency.list(id, id < 6 ? agency.old : agency.fresh, id < 6 ? 0 : 1, 0, Appliance.UP, Fleet.LONG_AGO);
        }
        agency.rules.told(agency.fresh, Build.ON_TRIAL, 1, 1, false, agency.now, 0);
        agency.serve(60, 0, Pick.OK);
        String said = "";
        for (int i = 0; i < 40; i++) {
            agency.after(10);
            agency.take(2, null);
            said += agency.pull();
        }
        for (Rpc rpc : agency.sent) {
            if (rpc.out > 0) {
                boolean isFresh = rpc.picks.get(0).build == agency.fresh;
                agency.end(rpc, isFresh ? Pick.RESET : Pick.OK);
                said += agency.pull();
            }
        }
        assertFalse((said + agency.after(2 * SECOND).pull()).contains("vote" + Build.VOTE_BACK), said);
    }

    /** A build that takes over the traffic within a second or two is not charged for the failures that come with it. */
    @ParameterizedTest
    @CsvSource({"1", "2", "3", "4"})
    void takingOver(int seed) {
        Agency agency = new Agency(seed, 3, new Tries(1, true, SECOND / 2),
                new Listing(false, false, 10 * SECOND, 0),
                new Desk(Desk.BY_COUNT, 6 * SECOND, SECOND, SECOND, 3, 30, 0, 0),
                new Exposure(new double[] {0.1, 1}, new double[] {0.1, 1}, 2 * SECOND, 1, false, 0, true), 0);
        agency.rules.told(agency.fresh, Build.ON_TRIAL, 0, 0.1, false, agency.now, 0);
        for (int id = 0; id < 24; id++) {
            agency.warm(id, id < 20 ? agency.old : agency.fresh);
        }
        Random random = new Random(seed);
        String said = "";
        for (int i = 0; i < 1500; i++) {
            // From the 500th on one of the old goes every eight RPCs, but the last, for which a new one comes.
            if (i == 500) {
                agency.rules.told(agency.fresh, Build.ON_TRIAL, 1, 1, false, agency.now, 0);
            }
            if (i >= 500 && i % 8 == 0 && i < 500 + 8 * 19) {
                agency.list((i - 500) / 8, agency.old, 0, 0, Appliance.GONE, Fleet.LONG_AGO);
                agency.warm(30 + i, agency.fresh);
            }
            agency.after(40);
            Rpc rpc = agency.take(2, null);
            said += agency.pull();
            agency.end(rpc, random.nextInt(12) == 0 ? Pick.ERROR : Pick.OK);
            said += agency.pull();
        }
        assertFalse(said.contains("vote" + Build.VOTE_BACK), "sent back, seed " + seed);
    }

    /** A dozen choices in a row go round among a few appliances, whatever the seed. */
    @ParameterizedTest
    @CsvSource({"1", "2", "3", "4", "5", "6", "7", "8", "9"})
    void chanceIsSpread(int seed) {
        Agency agency = Agency.one(seed, 14, Desk.BY_COUNT, 0);
        int[] picks = new int[4];
        for (int id = 0; id < 4; id++) {
            agency.warm(id, agency.old);
        }
        for (int i = 0; i < 12; i++) {
            agency.after(200);
            Rpc rpc = agency.take(2, null);
            agency.pull();
            picks[(int) rpc.picks.get(0).appliance.id]++;
            agency.end(rpc, Pick.OK);
        }
        assertTrue(Arrays.stream(picks).filter(many -> many > 1).count() > 2, Arrays.toString(picks) + ", seed " + seed);
    }

    /** Doubt keeps a build from going on only while an earlier appliance is up, for which a wait spares RPCs. */
    @ParameterizedTest
    @CsvSource({"true,5,''", "false,4,vote1"})
    void doubtWhileEarlierIsUp(boolean isUp, int failures, String then) {
        Agency agency = Agency.plain(Desk.FIRST_VOICE, 0);
        for (int id = 0; id < 8; id++) {
            agency.warm(id, id < 4 ? agency.old : agency.fresh);
        }
        agency.rules.told(agency.fresh, Build.ON_TRIAL, 1, 1, false, agency.now, 0);
        agency.serve(60, 2, Pick.OK);
        for (int id = 0; id < 4 && !isUp; id++) {
            agency.list(id, agency.old, 0, 0, Appliance.GONE, Fleet.LONG_AGO);
        }
        int failed = 0;
        for (int i = 0; i < 12 || failed < failures && i < 400; i++) {
            agency.after(2 * SECOND / 10);
            Rpc rpc = agency.take(2, null);
            agency.pull();
            boolean fails = failed < failures && rpc.out > 0 && rpc.picks.get(0).appliance.id == 4 + failed % 4;
            failed += fails ? 1 : 0;
            if (rpc.out > 0) {
                agency.end(rpc, fails ? Pick.ERROR : Pick.OK);
            }
            agency.pull();
        }
        agency.rules.told(agency.fresh, Build.ON_TRIAL, 1, 1, true, agency.now - 9 * SECOND, 7);
        agency.rules.told(agency.fresh, Build.ON_TRIAL, 1, 1, false, agency.now - 9 * SECOND, 0);
        assertEquals(then, agency.after(8 * SECOND).pull().replace("vote0", ""));
    }

    /** A sick appliance is left out also while the others of its build have no place: the other build has. */
    @ParameterizedTest
    @CsvSource({"3", "4"})
    void sickAmongCold(int seed) {
        Agency agency = Agency.one(seed, 14, Desk.BY_COUNT, 0);
        for (int id = 0; id < 8; id++) {
            agency.warm(id, agency.old);
        }
        agency.rules.told(agency.fresh, Build.ON_TRIAL, 1, 1, false, agency.now, 0);
        agency.warm(8, agency.fresh);
        int atSick = 0;
        for (int i = 0; i < 200; i++) {
            for (int id = 9; id < 12 && i % 40 == 0; id++) {
                agency.list(id, agency.fresh, 0, 0, Appliance.UP, agency.now);
            }
            agency.after(200);
            Rpc rpc = agency.take(2, null);
            agency.pull();
            if (rpc.out > 0) {
                boolean isSick = rpc.picks.get(0).appliance.id == 8;
                atSick += isSick ? 1 : 0;
                agency.end(rpc, isSick ? Pick.ERROR : Pick.OK);
            }
        }
        assertTrue(atSick <= 12, atSick + " picks at the sick one, seed " + seed);
    }

    /** A key that was sent to the new build stays with it, whether the answer has come, could be read, or not. */
    @ParameterizedTest
    @CsvSource({"0", "3", "5", "6", "-1"})
    void keysMet(int outcome) {
        Agency agency = Agency.plain(Desk.FIRST_VOICE, 0);
        agency.warm(10, agency.fresh);
        agency.rules.told(agency.fresh, Build.ON_TRIAL, 1, 1, false, agency.now, 0);
        Rpc rpc = agency.take(2, "k");
        assertEquals("pick10", agency.pull());
        agency.after(100);
        if (outcome >= 0) {
            agency.end(rpc, outcome);
        }
        agency.pull();
        agency.list(10, agency.fresh, 0, 0, Appliance.GONE, Fleet.LONG_AGO);
        agency.warm(1, agency.old);
        agency.after(100);
        agency.take(2, "k");
        assertFalse(agency.pull().contains("pick1"));
    }

    /** 'On' waits for one and a half of the platform's own least durations of a stage, however long these are. */
    @ParameterizedTest
    @CsvSource({"1.2,1.7,false", "1.2,1.9,true", "2,2.9,false", "2,3.1,true"})
    void onWaits(double soak, double seconds, boolean on) {
        Agency agency = new Agency(7, 2, new Tries(3, true, SECOND / 2),
                new Listing(false, false, 10 * SECOND, 0),
                new Desk(Desk.FIRST_VOICE, 6 * SECOND, (long) (soak * SECOND), SECOND, 1, 30, 1, 2 * SECOND),
                new Exposure(new double[] {0.2, 1}, new double[] {0.2, 1}, 2 * SECOND, 1, false, 1,
                        true), 0);
        agency.warm(1, agency.old);
        agency.warm(2, agency.fresh);
        agency.rules.told(agency.fresh, Build.ON_TRIAL, 0, 1, false, agency.now, 0);
        agency.fresh.answersInStage = 8;
        agency.after((long) (seconds * SECOND));
        assertEquals(on, agency.pull().contains("vote" + Build.VOTE_ON));
    }

    /**
     * All answers far past the usual while a build is on trial: it goes back, but not where clients ask far more
     * than before, unless what they ask are further tries of what was turned away.
     */
    @ParameterizedTest
    @CsvSource({"300,false,true", "75,false,false", "75,true,true"})
    void slowedByTraffic(int every, boolean retries, boolean back) {
        Agency agency = Agency.plain(Desk.FIRST_VOICE, 0);
        for (int i = 0; i < 4; i++) {
            agency.warm(i, agency.old);
        }
        agency.answer(200, 100, 0, 100);
        agency.warm(10, agency.fresh);
        agency.rules.told(agency.fresh, Build.ON_TRIAL, 1, 0.2, false, agency.now, 0);
        String said = "";
        ArrayDeque<Rpc> open = new ArrayDeque<>();
        for (long t = 0; t < 12 * SECOND; t += every) {
            agency.after(every);
            Rpc rpc = new Rpc("rpc" + t, agency.methods.get(0), agency.tenant, null, agency.now,
                    agency.now + 3 * SECOND, 0, retries && t % 300 != 0);
            agency.rules.taken(rpc);
            open.add(rpc);
            said += agency.pull();
            while (open.peek().receivedAt < agency.now - 3000) {
                Rpc done = open.remove();
                if (done.out > 0) {
                    agency.end(done, Pick.OK);
                }
            }
        }
        assertEquals(back, said.contains("vote" + Build.VOTE_BACK));
    }

    /** Records of earlier builds leave with their last appliance and pick, however many builds come and go. */
    @ParameterizedTest
    @CsvSource({"false", "true"})
    void buildsLeave(boolean isOut) {
        Agency agency = Agency.plain(Desk.FIRST_VOICE, 0);
        agency.warm(1, agency.old);
        Rpc rpc = isOut ? agency.take(0, null) : null;
        agency.pull();
        agency.rules.told(agency.fresh, Build.RELEASED, 0, 1, false, agency.now, 0);
        agency.warm(2, agency.fresh);
        assertFalse(agency.old.left);
        agency.list(1, agency.old, 0, 0, Appliance.GONE, Fleet.LONG_AGO);
        assertEquals(!isOut, agency.old.left);
        if (isOut) {
            agency.after(100);
            agency.end(rpc, Pick.OK);
            agency.warm(2, agency.fresh);
            assertTrue(agency.old.left);
        }
        assertFalse(agency.fresh.left);
        // One that comes back is known anew.
        Build again = new Build(1, 3);
        agency.warm(3, again);
        assertFalse(again.left);
        assertEquals("pick2", agency.after(100).take(0, null) == null ? "" : agency.pull());
    }

    /** A server that wants nothing gets nothing until then, and its location no more at once than it had. */
    @ParameterizedTest
    @CsvSource({"0,0,pick1", "500,0,pick2", "500,1,pushback", "500,3,pick2"})
    void barred(long barredFor, int limit, String then) {
        Agency agency = Agency.plain(Desk.FIRST_VOICE, 0);
        agency.warm(1, agency.old);
        Appliance other = agency.list(2, agency.old, 0, 0, Appliance.UP, Fleet.LONG_AGO);
        agency.take(0, null);
        agency.pull();
        Appliance first = agency.fleet.get(0);
        Appliance tired = other.room.out > 0 ? other : first;
        if (barredFor > 0) {
            tired.barredUntil = agency.now + barredFor * 100;
            tired.zone.most = limit;
            tired.zone.limitedUntil = limit > 0 ? tired.barredUntil : 0;
        }
        agency.after(100);
        agency.take(0, null);
        String said = agency.pull();
        agency.after(1000);
        said += agency.pull();
        String wanted = then.equals("pushback") ? then : "pick" + (barredFor > 0 ? tired == first ? 2 : 1 : 0);
        assertTrue(said.startsWith(barredFor > 0 ? wanted : "pick"), said);
    }
}
