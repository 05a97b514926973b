package honeygap;

import honeygap.fleet.*;
import honeygap.rules.builds.ExposureLimit;
import honeygap.rules.cold.ColdStartLimit;
import honeygap.rules.discovery.ListCalls;
import honeygap.rules.discovery.ListLease;
import honeygap.rules.evidence.*;
import honeygap.rules.health.ApplianceHealth;
import honeygap.rules.room.ConcurrencyLimits;
import honeygap.rules.routing.*;
import honeygap.rules.shutdown.Shutdown;
import honeygap.rules.shutdown.ShutdownPhase;
import honeygap.rules.shutdown.ShutdownSchedule;
import honeygap.rules.votes.Voting;
import honeygap.rules.work.WorkEstimate;
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
    private static final double ADVANCE_DELAY_SOAKS = 1.5;
    /** Part of the soft deadline for which an RPC waits for a place before it is pushed back. */
    private static final double MAX_WAIT_SHARE = 0.05;

    private final Fleet fleet;
    private final Tries retryLimits;
    private final ListCalls listCallSchedule;
    private final ListLease lease;
    private final ExposureLimit exposureLimit;
    private final ApplianceHealth health;
    private final ConcurrencyLimits concurrencyLimits;
    private final ColdStartLimit coldStartLimit;
    private final FailureEvidence failureEvidence;
    private final SlownessEvidence slownessEvidence;
    private final DeskCounts deskCounts;
    private final Voting voting;
    private final Shutdown shutdown;
    private final RetryPolicy retryPolicy;
    private final ApplianceSelector selector;
    private final ArrayDeque<Rpc> undecided = new ArrayDeque<>(), waiting = new ArrayDeque<>();
    private long nextWakeAt = Long.MAX_VALUE, secondStartedAt = Fleet.LONG_AGO;

    public Rules(long now, long seed, int agentCount, long tick, List<Method> methods, Tries retryLimits,
                 Listing listSettings, Cold coldStartSettings, Desk deskSettings, Exposure exposureSettings) {
        this.retryLimits = retryLimits;
        long advanceDelay = (long) (ADVANCE_DELAY_SOAKS * deskSettings.soak());
        Chance random = new Chance(seed);
        fleet = new Fleet(now, tick, agentCount, methods);
        listCallSchedule = new ListCalls(now, random, listSettings);
        lease = new ListLease(fleet, listSettings);
        exposureLimit = new ExposureLimit(fleet, exposureSettings);
        health = new ApplianceHealth(fleet);
        concurrencyLimits = new ConcurrencyLimits(fleet, health, coldStartSettings);
        coldStartLimit = new ColdStartLimit(fleet, random, coldStartSettings);
        failureEvidence = new FailureEvidence(fleet, health);
        slownessEvidence = new SlownessEvidence(fleet, advanceDelay);
        deskCounts = new DeskCounts(fleet, deskSettings);
        voting = new Voting(fleet, random, failureEvidence, slownessEvidence, deskCounts, deskSettings, exposureSettings.waves(), advanceDelay,
                new VoteRecord());
        shutdown = new Shutdown(fleet);
        retryPolicy = new RetryPolicy(fleet, shutdown, retryLimits.maxPicks());
        selector = new ApplianceSelector(fleet, random, exposureLimit, failureEvidence, health, concurrencyLimits, coldStartLimit, retryPolicy, lease);
    }

    public void now(long now) {
        if (now != fleet.now) {
            fleet.previousNow = fleet.now;
            fleet.now = now;
            undecided.addAll(waiting);
            waiting.clear();
        }
    }

    public void woken() {
        nextWakeAt = Long.MAX_VALUE;
    }

    public void taken(Rpc rpc) {
        retryPolicy.rpcReceived();
        exposureLimit.rpcReceived(rpc.method);
        WorkEstimate.rpcReceived(rpc);
        coldStartLimit.rpcReceived(rpc);
        slownessEvidence.rpcReceived(rpc);
        undecided.addLast(rpc);
    }

    public void left(Rpc rpc) {
        rpc.closed = true;
    }

    /** A pick ended; the time that it took is the wire's, since an agent that stalled reads it late. */
    public void ended(Rpc rpc, int index, int outcome, boolean closed, long latency) {
        Pick pick = rpc.picks.get(index);
        if (pick.outcome != Pick.IN_FLIGHT) {
            return;
        }
        failureEvidence.pickEnded(pick, outcome);
        slownessEvidence.pickEnded(pick, outcome, latency);
        pick.end(outcome);
        shutdown.pickEnded(pick);
        health.recordZoneLatency(pick.appliance.zone, rpc, outcome, latency);
        concurrencyLimits.pickEnded(pick, outcome, latency);
        health.pickEnded(pick, outcome, latency);
        lease.pickEnded(pick, outcome);
        if (outcome == Pick.OK) {
            WorkEstimate.pickAnswered(pick, onTrial(pick.build), latency);
            coldStartLimit.pickAnswered(pick);
        }
        rpc.closed |= closed;
        if (!rpc.closed && rpc.out == 0) {
            undecided.addLast(rpc);
        }
    }

    public void told(Build build, int phase, int stage, double cap, boolean isVoteAnswer, long stageSince, int outcome) {
        if (isVoteAnswer) {
            voting.voteAnswered(outcome);
        }
        if (outcome == Pick.OK) {
            if (build != fleet.newestBuild) {
                slownessEvidence.fit.fade(0);
            }
            fleet.rolloutReported(build, phase, stage, cap, stageSince);
            registerBuild(build);
        }
    }

    /** Of a period that ended so long ago. */
    public void counted(Build build, Method method, long picks, long failed, long meanLatency, long age) {
        registerBuild(build);
        build.countedUntil = Math.max(build.countedUntil, fleet.now - age);
        deskCounts.countsReceived(build, method, picks, failed, meanLatency);
    }

    public void contested(Appliance appliance, Method method, long age) {
        failureEvidence.wrongAnswerReported(appliance.build, method);
    }

    private void registerBuild(Build build) {
        if (fleet.registerBuild(build)) {
            concurrencyLimits.buildAdded(build, fleet.warmWorkRate);
        }
        if (fleet.beginEvaluation()) {
            failureEvidence.reset();
            deskCounts.reset();
            slownessEvidence.trialStarted();
        }
    }

    public boolean onTrial(Build build) {
        return fleet.isOnTrial(build);
    }

    public void listBegins(boolean isFull, boolean isFromDisk) {
        fleet.listStarted(isFull, isFromDisk);
    }

    public void listed(Appliance appliance, Build build, Location zone, int cell, int state, long startedAt) {
        if (fleet.applianceListed(appliance, build, zone, cell, state, startedAt)) {
            appliance.resetObservations();
            concurrencyLimits.applianceRestarted(appliance);
        }
    }

    public void listEnds() {
        fleet.currentList.forEach(appliance -> registerBuild(appliance.build));
        if (!fleet.listCompleted()) {
            listCallSchedule.answered();
        } else if (!fleet.appliances.isEmpty()) {
            listCallSchedule.known(fleet.now);
        }
        concurrencyLimits.listUpdated();
    }

    /** Discovery has told all that had changed up to then; before the entries that it told. */
    public void listConfirmed(long asOf) {
        lease.confirm(asOf);
    }

    /** Discovery said then that nothing had changed. */
    public void listUnchanged(long asOf) {
        lease.heartbeat(asOf);
    }

    public void listTaken() {
        listCallSchedule.callAccepted();
    }

    public void listFailed() {
        listCallSchedule.failed(fleet.now);
        lease.watchLost();
    }

    /** Discovery is called at another address from now on. */
    public void listMoved() {
        lease.discoveryMoved();
    }

    /** The process has been told to end. */
    public void ending(ShutdownSchedule schedule) {
        shutdown.begin(schedule);
    }

    /** Whether clients may come yet: an agent that has just started waits for its list, for a while. */
    public boolean mayOpen() {
        return lease.mayAcceptClients();
    }

    /** How many appliances are known to serve, by the list or by their own answers. */
    public long covered() {
        return lease.coveredCount();
    }

    /** Tenths of a millisecond since discovery last confirmed the list; negative where it never has. */
    public long listAge() {
        return lease.age();
    }

    /** Makes at most one call on {@code ctl}; false when there is nothing to decide now. */
    public boolean next(Ctl handler) {
        if (fleet.now >= secondStartedAt + Fleet.SECOND) {
            coldStartLimit.updateWorkRate(secondStartedAt);
            slownessEvidence.secondEnded(secondStartedAt);
            secondStartedAt = fleet.now;
        }
        if (listCallSchedule.calls(fleet.now)) {
            handler.watch();
            return true;
        }
        if (shutdown.phase() != ShutdownPhase.ENDED && voting.castNext(handler)) {
            return true;
        }
        Pick overdue = shutdown.takeOverdue();
        if (overdue != null) {
            handler.cancel(overdue.rpc, overdue.rpc.picks.indexOf(overdue));
            return true;
        }
        while (!undecided.isEmpty()) {
            Rpc rpc = undecided.removeFirst();
            if (!rpc.closed && rpc.out == 0 && decideRpc(rpc, handler)) {
                return true;
            }
        }
        long wakeAt = Math.min(listCallSchedule.callAt(), fleet.isRolloutCurrent() ? fleet.now + Fleet.SECOND / 10 : Long.MAX_VALUE);
        wakeAt = Math.min(wakeAt, shutdown.nextWakeAt());
        wakeAt = waiting.isEmpty() ? wakeAt : Math.min(wakeAt, fleet.now + 2 * fleet.tick);
        if (wakeAt < nextWakeAt) {
            nextWakeAt = wakeAt;
            handler.wake(Math.max(fleet.tick, wakeAt - fleet.now));
            return true;
        }
        return false;
    }

    /** Decides about an RPC that has no pick out; false when it is held. */
    private boolean decideRpc(Rpc rpc, Ctl handler) {
        Pick mayHaveRun = RetryPolicy.firstThatMayHaveRun(rpc);
        if (shutdown.refuses(rpc)) {
            return giveFinalAnswer(rpc, mayHaveRun, GivenUp.SHUTTING_DOWN, handler);
        }
        GivenUp reason = retryPolicy.reasonNotToPick(rpc, mayHaveRun);
        if (reason != null) {
            return giveFinalAnswer(rpc, mayHaveRun, reason, handler);
        }
        // Where one without ties found no place in this turn, nor will the next: many may be held, and often.
        boolean isFree = rpc.picks.isEmpty() && !fleet.isRoutedToNewest(rpc.key);
        Appliance appliance = isFree && rpc.method.noCapacityAt == fleet.now ? null : selector.select(rpc, mayHaveRun);
        rpc.method.noCapacityAt = isFree && appliance == null ? fleet.now : rpc.method.noCapacityAt;
        if (appliance != null) {
            sendPick(rpc, appliance, mayHaveRun, handler);
            return true;
        }
        if (mayHaveRun != null || fleet.now >= rpc.receivedAt + MAX_WAIT_SHARE * rpc.method.softDeadline) {
            return giveFinalAnswer(rpc, mayHaveRun, lease.coveredCount() == 0 ? GivenUp.NONE_KNOWN : GivenUp.NO_ROOM, handler);
        }
        waiting.addLast(rpc);
        return false;
    }

    /** The final answer for an RPC that is given up: pushed back where the rules allow, or else aborted. */
    private boolean giveFinalAnswer(Rpc rpc, Pick mayHaveRun, GivenUp reason, Ctl handler) {
        rpc.closed = true;
        rpc.givenUp = reason;
        if (RetryPolicy.isSafeToRetry(rpc.method, mayHaveRun) && fleet.now < rpc.deadline) {
            long maxRetryAfter = retryLimits.retryAfterHonored() ? retryLimits.maxRetryAfter() : 0;
            handler.pushBack(rpc, Math.min(maxRetryAfter, rpc.method.softDeadline));
        } else {
            handler.abort(rpc);
        }
        return true;
    }

    private void sendPick(Rpc rpc, Appliance appliance, Pick mayHaveRun, Ctl handler) {
        retryPolicy.pickSent(mayHaveRun);
        Pick pick = new Pick(rpc, appliance, fleet.now, coldStartLimit.warmth(appliance) < 1);
        appliance.coldCredit -= pick.cold ? WorkEstimate.expectedWork(rpc) : 0;
        exposureLimit.pickSent(pick);
        selector.pickSent(pick);
        shutdown.pickSent(pick);
        handler.pick(rpc, appliance, retryPolicy.pickTimeout(rpc, pick.cold || onTrial(pick.build)));
    }
}
