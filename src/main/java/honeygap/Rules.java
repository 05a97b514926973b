package honeygap;

import honeygap.fleet.*;
import honeygap.rules.builds.Exposing;
import honeygap.rules.cold.ColdStarts;
import honeygap.rules.discovery.ListCalls;
import honeygap.rules.discovery.ListLease;
import honeygap.rules.evidence.*;
import honeygap.rules.health.Health;
import honeygap.rules.room.Rooms;
import honeygap.rules.routing.*;
import honeygap.rules.shutdown.Shutdown;
import honeygap.rules.shutdown.ShutdownPhase;
import honeygap.rules.shutdown.ShutdownSchedule;
import honeygap.rules.votes.Votes;
import honeygap.rules.work.Work;
import honeygap.terms.*;
import java.util.ArrayDeque;
import java.util.List;

/**
 * The door of the decision module: all that one agent decides is here and below {@code rules}, a module a
 * question. The host tells what happened ({@link #now}, then {@link #taken}, {@link #ended}, {@link #listed},
 * {@link #told} and the like), which only updates what is known, and then pulls decisions with {@link #next}
 * until there is none; they go out by {@link Ctl}. Times are whole tenths of a millisecond.
 * docs/design.md says what comes from which part of the paper.
 */
public final class Rules {

    /** Times the least duration of a stage that a vote for it waits. */
    private static final double ON_SOAKS = 1.5;
    /** Part of the soft deadline for which an RPC waits for a place before it is pushed back. */
    private static final double HELD = 0.05;

    private final Fleet fleet;
    private final Tries tries;
    private final ListCalls listCalls;
    private final ListLease lease;
    private final Exposing exposing;
    private final Health health;
    private final Rooms rooms;
    private final ColdStarts coldStarts;
    private final Failures failures;
    private final Slowness slowness;
    private final Counts counts;
    private final Votes votes;
    private final Shutdown shutdown;
    private final Repeats repeats;
    private final Choice choice;
    private final ArrayDeque<Rpc> todo = new ArrayDeque<>(), held = new ArrayDeque<>();
    private long wokenFor = Long.MAX_VALUE, secondSince = Fleet.LONG_AGO;

    public Rules(long now, long seed, int agents, long tick, List<Method> methods, Tries tries,
                 Listing listing, Cold cold, Desk desk, Exposure exposure) {
        this.tries = tries;
        long onWait = (long) (ON_SOAKS * desk.soak());
        Chance chance = new Chance(seed);
        fleet = new Fleet(now, tick, agents, methods);
        listCalls = new ListCalls(now, chance, listing);
        lease = new ListLease(fleet, listing);
        exposing = new Exposing(fleet, exposure);
        health = new Health(fleet);
        rooms = new Rooms(fleet, health, cold);
        coldStarts = new ColdStarts(fleet, chance, cold);
        failures = new Failures(fleet, health);
        slowness = new Slowness(fleet, onWait);
        counts = new Counts(fleet, desk);
        votes = new Votes(fleet, chance, failures, slowness, counts, desk, exposure.waves(), onWait,
                new Ballot());
        shutdown = new Shutdown(fleet);
        repeats = new Repeats(fleet, shutdown, tries.most());
        choice = new Choice(fleet, chance, exposing, failures, health, rooms, coldStarts, repeats, lease);
    }

    public void now(long now) {
        if (now != fleet.now) {
            fleet.before = fleet.now;
            fleet.now = now;
            todo.addAll(held);
            held.clear();
        }
    }

    public void woken() {
        wokenFor = Long.MAX_VALUE;
    }

    public void taken(Rpc rpc) {
        repeats.taken();
        exposing.taken(rpc.method);
        Work.taken(rpc);
        coldStarts.taken(rpc);
        slowness.taken(rpc);
        todo.addLast(rpc);
    }

    public void left(Rpc rpc) {
        rpc.closed = true;
    }

    /** A pick ended; the time that it took is the wire's, since an agent that stalled reads it late. */
    public void ended(Rpc rpc, int index, int outcome, boolean closed, long lag) {
        Pick pick = rpc.picks.get(index);
        if (pick.outcome != Pick.OUT) {
            return;
        }
        failures.judge(pick, outcome);
        slowness.ended(pick, outcome, lag);
        pick.end(outcome);
        shutdown.ended(pick);
        health.way(pick.appliance.zone, rpc, outcome, lag);
        rooms.ended(pick, outcome, lag);
        health.ended(pick, outcome, lag);
        lease.ended(pick, outcome);
        if (outcome == Pick.OK) {
            Work.answered(pick, onTrial(pick.build), lag);
            coldStarts.answered(pick);
        }
        rpc.closed |= closed;
        if (!rpc.closed && rpc.out == 0) {
            todo.addLast(rpc);
        }
    }

    public void told(Build build, int phase, int stage, double cap, boolean answer, long since, int outcome) {
        if (answer) {
            votes.answered(outcome);
        }
        if (outcome == Pick.OK) {
            if (build != fleet.newest) {
                slowness.slowed.fade(0);
            }
            fleet.told(build, phase, stage, cap, since);
            note(build);
        }
    }

    /** Of a period that ended so long ago. */
    public void counted(Build build, Method method, long many, long bad, long mean, long age) {
        note(build);
        build.countedTo = Math.max(build.countedTo, fleet.now - age);
        counts.counted(build, method, many, bad, mean);
    }

    public void contested(Appliance appliance, Method method, long age) {
        failures.contested(appliance.build, method);
    }

    private void note(Build build) {
        if (fleet.add(build)) {
            rooms.opened(build, fleet.warmRate);
        }
        if (fleet.begins()) {
            failures.begins();
            counts.begins();
            slowness.begins();
        }
    }

    public boolean onTrial(Build build) {
        return fleet.onTrial(build);
    }

    public void listBegins(boolean full, boolean disk) {
        fleet.listBegins(full, disk);
    }

    public void listed(Appliance appliance, Build build, Location zone, int cell, int state, long startedAt) {
        if (fleet.listed(appliance, build, zone, cell, state, startedAt)) {
            appliance.renew();
            rooms.renewed(appliance);
        }
    }

    public void listEnds() {
        fleet.named.forEach(appliance -> note(appliance.build));
        if (!fleet.listEnds()) {
            listCalls.answered();
        } else if (!fleet.appliances.isEmpty()) {
            listCalls.known(fleet.now);
        }
        rooms.listed();
    }

    /** Discovery has told all that had changed up to then; before the entries that it told. */
    public void listConfirmed(long asOf) {
        lease.confirmed(asOf);
    }

    /** Discovery said then that nothing had changed. */
    public void listUnchanged(long asOf) {
        lease.signOfLife(asOf);
    }

    public void listTaken() {
        listCalls.taken();
    }

    public void listFailed() {
        listCalls.failed(fleet.now);
        lease.watchLost();
    }

    /** Discovery is called at another address from now on. */
    public void listMoved() {
        lease.moved();
    }

    /** The process has been told to end. */
    public void ending(ShutdownSchedule schedule) {
        shutdown.begins(schedule);
    }

    /** Whether clients may come yet: an agent that has just started waits for its list, for a while. */
    public boolean mayOpen() {
        return lease.mayOpen();
    }

    /** How many appliances are known to serve, by the list or by their own answers. */
    public long covered() {
        return lease.covered();
    }

    /** Tenths of a millisecond since discovery last confirmed the list; negative where it never has. */
    public long listAge() {
        return lease.age();
    }

    /** Makes at most one call on {@code ctl}; false when there is nothing to decide now. */
    public boolean next(Ctl ctl) {
        if (fleet.now >= secondSince + Fleet.SECOND) {
            coldStarts.second(secondSince);
            slowness.second(secondSince);
            secondSince = fleet.now;
        }
        if (listCalls.calls(fleet.now)) {
            ctl.watch();
            return true;
        }
        if (shutdown.phase() != ShutdownPhase.ENDED && votes.next(ctl)) {
            return true;
        }
        Pick overdue = shutdown.overdue();
        if (overdue != null) {
            ctl.cancel(overdue.rpc, overdue.rpc.picks.indexOf(overdue));
            return true;
        }
        while (!todo.isEmpty()) {
            Rpc rpc = todo.removeFirst();
            if (!rpc.closed && rpc.out == 0 && decide(rpc, ctl)) {
                return true;
            }
        }
        long wake = Math.min(listCalls.callAt(), fleet.isOpen() ? fleet.now + Fleet.SECOND / 10 : Long.MAX_VALUE);
        wake = Math.min(wake, shutdown.wakeAt());
        wake = held.isEmpty() ? wake : Math.min(wake, fleet.now + 2 * fleet.tick);
        if (wake < wokenFor) {
            wokenFor = wake;
            ctl.wake(Math.max(fleet.tick, wake - fleet.now));
            return true;
        }
        return false;
    }

    /** Decides about an RPC that has no pick out; false when it is held. */
    private boolean decide(Rpc rpc, Ctl ctl) {
        Pick mayRun = Repeats.firstThatMayRun(rpc);
        if (shutdown.refuses(rpc)) {
            return finish(rpc, mayRun, GivenUp.SHUTTING_DOWN, ctl);
        }
        GivenUp why = repeats.mayNotTry(rpc, mayRun);
        if (why != null) {
            return finish(rpc, mayRun, why, ctl);
        }
        // Where one without ties found no place in this turn, nor will the next: many may be held, and often.
        boolean isFree = rpc.picks.isEmpty() && !fleet.isMet(rpc.key);
        Appliance appliance = isFree && rpc.method.fullAt == fleet.now ? null : choice.choose(rpc, mayRun);
        rpc.method.fullAt = isFree && appliance == null ? fleet.now : rpc.method.fullAt;
        if (appliance != null) {
            send(rpc, appliance, mayRun, ctl);
            return true;
        }
        if (mayRun != null || fleet.now >= rpc.takenAt + HELD * rpc.method.softDeadline) {
            return finish(rpc, mayRun, lease.covered() == 0 ? GivenUp.NONE_KNOWN : GivenUp.NO_ROOM, ctl);
        }
        held.addLast(rpc);
        return false;
    }

    /** The final answer for an RPC that is given up: pushed back where the rules allow, or else aborted. */
    private boolean finish(Rpc rpc, Pick mayRun, GivenUp why, Ctl ctl) {
        rpc.closed = true;
        rpc.givenUp = why;
        if (Repeats.isHarmless(rpc.method, mayRun) && fleet.now < rpc.deadline) {
            long most = tries.stayAwayHeard() ? tries.stayAwayMost() : 0;
            ctl.pushBack(rpc, Math.min(most, rpc.method.softDeadline));
        } else {
            ctl.abort(rpc);
        }
        return true;
    }

    private void send(Rpc rpc, Appliance appliance, Pick mayRun, Ctl ctl) {
        repeats.sent(mayRun);
        Pick pick = new Pick(rpc, appliance, fleet.now, coldStarts.warmth(appliance) < 1);
        appliance.credit -= pick.cold ? Work.cost(rpc) : 0;
        exposing.sent(pick);
        choice.sent(pick);
        shutdown.sent(pick);
        ctl.pick(rpc, appliance, repeats.within(rpc, pick.cold || onTrial(pick.build)));
    }
}
