package honeygap;

import honeygap.fleet.*;
import honeygap.rules.exposure.ExposureLimit;
import honeygap.rules.coldstart.ColdStartLimit;
import honeygap.rules.discovery.ListCallSchedule;
import honeygap.rules.discovery.ListLease;
import honeygap.rules.evidence.*;
import honeygap.rules.health.ApplianceHealth;
import honeygap.rules.concurrency.ConcurrencyLimits;
import honeygap.rules.routing.*;
import honeygap.rules.shutdown.Shutdown;
import honeygap.rules.shutdown.ShutdownPhase;
import honeygap.rules.shutdown.ShutdownSchedule;
import honeygap.rules.votes.Voting;
import honeygap.rules.work.WorkEstimate;
import honeygap.settings.*;
import java.util.ArrayDeque;
import java.util.List;

/**
 * Entry point of the decision module. Every decision of an agent is made here and in the classes below
 * {@code honeygap.rules}, one class for each kind of decision. The host reports the time ({@link #advanceClock}) and
 * events ({@link #rpcReceived}, {@link #pickEnded}, {@link #applianceListed}, {@link #rolloutReported} and so on),
 * which only update state. It then calls {@link #nextDecision} until that returns false; each call passes at most one
 * decision to the {@link DecisionHandler}. Times are whole tenths of a millisecond.
 *
 * <p>docs/design.md maps the rules to the sections of the paper.
 */
public final class DecisionEngine {

    /** A vote to advance waits for this multiple of the minimum stage duration. */
    private static final double ADVANCE_DELAY_SOAKS = 1.5;
    /** Share of the soft deadline for which an RPC waits for an appliance before it is pushed back. */
    private static final double MAX_WAIT_SHARE = 0.05;

    private final Fleet fleet;
    private final RetryLimits retryLimits;
    private final ListCallSchedule listCallSchedule;
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
    private final AbandonedRpcs abandonedRpcs = new AbandonedRpcs();
    private final ApplianceSelector selector;
    private final DelayedPickCheck delayedPickCheck;
    /** The pick that is being passed to the handler: nothing has changed since it was decided. */
    private Pick pickBeingPassed;
    private final ArrayDeque<Rpc> undecided = new ArrayDeque<>(), waiting = new ArrayDeque<>();
    private long nextWakeAt = Long.MAX_VALUE, secondStartedAt = Fleet.LONG_AGO;

    public DecisionEngine(long now, long seed, int agentCount, long tick, List<Method> methods,
                          RetryLimits retryLimits, ListSettings listSettings, ColdStartSettings coldStartSettings,
                          DeskSettings deskSettings, ExposureSettings exposureSettings) {
        this.retryLimits = retryLimits;
        long advanceDelay = (long) (ADVANCE_DELAY_SOAKS * deskSettings.soak());
        RandomSource random = new RandomSource(seed);
        fleet = new Fleet(now, tick, agentCount, methods);
        listCallSchedule = new ListCallSchedule(now, random, listSettings);
        lease = new ListLease(fleet, listSettings);
        exposureLimit = new ExposureLimit(fleet, exposureSettings);
        health = new ApplianceHealth(fleet);
        concurrencyLimits = new ConcurrencyLimits(fleet, health, coldStartSettings);
        coldStartLimit = new ColdStartLimit(fleet, random, coldStartSettings);
        failureEvidence = new FailureEvidence(fleet, health);
        slownessEvidence = new SlownessEvidence(fleet, advanceDelay);
        deskCounts = new DeskCounts(fleet, deskSettings);
        voting = new Voting(fleet, random, failureEvidence, slownessEvidence, deskCounts, deskSettings,
                exposureSettings.stageShares(), advanceDelay, new VoteRecord());
        shutdown = new Shutdown(fleet);
        retryPolicy = new RetryPolicy(fleet, shutdown, retryLimits.maxPicks());
        selector = new ApplianceSelector(fleet, random, exposureLimit, failureEvidence, health, concurrencyLimits,
                coldStartLimit, retryPolicy, lease);
        delayedPickCheck = new DelayedPickCheck(fleet, exposureLimit, retryPolicy, lease, shutdown);
    }

    /** Starts an iteration at this time; waiting RPCs are decided again. */
    public void advanceClock(long now) {
        if (now != fleet.now) {
            fleet.now = now;
            undecided.addAll(waiting);
            waiting.clear();
        }
    }

    /** The wake-up requested last has fired. */
    public void wakeUpReceived() {
        nextWakeAt = Long.MAX_VALUE;
    }

    /** A client has sent an RPC. */
    public void rpcReceived(Rpc rpc) {
        retryPolicy.rpcReceived();
        exposureLimit.rpcReceived(rpc.method);
        WorkEstimate.rpcReceived(rpc);
        coldStartLimit.rpcReceived(rpc);
        slownessEvidence.rpcReceived(rpc);
        rpc.earlierPick = abandonedRpcs.earlierPick(rpc, fleet.now);
        undecided.addLast(rpc);
    }

    /** The client of the RPC has disconnected or cancelled it, maybe without reading the answer. */
    public void clientDisconnected(Rpc rpc) {
        rpc.closed = true;
        abandonedRpcs.add(rpc, fleet.now);
    }

    /** Limits the memory for RPCs that are remembered after their clients have gone, in bytes. */
    public void limitAbandonedRpcs(long bytes) {
        abandonedRpcs.limitMemory(bytes);
    }

    /** The number of RPCs that are remembered after their clients have gone. */
    public int abandonedRpcCount() {
        return abandonedRpcs.size();
    }

    /**
     * The request of a pick is about to be written. Returns whether it may be: what has happened since the pick was
     * decided may forbid it. The host then reports {@link Pick#NOT_EXECUTED}, and the RPC is decided again.
     */
    public boolean beginSending(Rpc rpc, int index) {
        Pick pick = rpc.picks.get(index);
        if (pick != pickBeingPassed && !delayedPickCheck.maySend(pick)) {
            pickWithdrawn(rpc, index);
            return false;
        }
        pick.state = PickState.SENT;
        exposureLimit.pickSent(pick);
        coldStartLimit.pickSent(pick);
        return true;
    }

    /** The whole request of a pick was written at this time. */
    public void pickWritten(Rpc rpc, int index, long writtenAt) {
        Pick pick = rpc.picks.get(index);
        if (pick.state == PickState.SENT) {
            exposureLimit.pickWritten(pick, writtenAt);
            pick.state = PickState.WRITTEN;
        }
    }

    /** The host will not send a pick that was decided; it then reports {@link Pick#NOT_EXECUTED}. */
    public void pickWithdrawn(Rpc rpc, int index) {
        rpc.picks.get(index).isWithdrawn = true;
    }

    /**
     * A pick has ended.
     *
     * @param closed whether the RPC has its final answer
     * @param latency time as measured on the connection; an agent that stalled processes the end later
     */
    public void pickEnded(Rpc rpc, int index, int outcome, boolean closed, long latency) {
        Pick pick = rpc.picks.get(index);
        if (pick.outcome != Pick.IN_FLIGHT) {
            return;
        }
        if (pick.state == PickState.DECIDED) {
            retryPolicy.pickEndedUnsent(pick);
            coldStartLimit.pickEndedUnsent(pick);
        }
        exposureLimit.pickEnded(pick);
        failureEvidence.pickEnded(pick, outcome);
        slownessEvidence.pickEnded(pick, outcome, latency);
        pick.end(outcome);
        shutdown.pickEnded(pick);
        health.recordZoneLatency(pick.appliance.zone, rpc, outcome, latency);
        concurrencyLimits.pickEnded(pick, outcome, latency);
        health.pickEnded(pick, outcome, latency);
        lease.pickEnded(pick, outcome);
        if (outcome == Pick.OK) {
            WorkEstimate.pickAnswered(pick, isOnTrial(pick.build), latency);
            coldStartLimit.pickAnswered(pick);
        }
        rpc.closed |= closed;
        if (!rpc.closed && rpc.inFlight == 0) {
            undecided.addLast(rpc);
        }
    }

    /**
     * The desk has reported the state of the rollout.
     *
     * @param isVoteAnswer whether the report answers this agent's vote
     * @param outcome how the call to the desk ended; the state is valid only where it is {@link Pick#OK}
     */
    public void rolloutReported(Build build, int phase, int stage, double cap, boolean isVoteAnswer, long stageSince,
                     int outcome) {
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

    /**
     * The desk has sent its counts of all agents' picks for one build and method in one period.
     *
     * @param age time since the period ended
     */
    public void countsReceived(Build build, Method method, long picks, long failed, long meanLatency, long age) {
        registerBuild(build);
        build.countedUntil = Math.max(build.countedUntil, fleet.now - age);
        deskCounts.countsReceived(build, method, picks, failed, meanLatency);
    }

    /** A client has reported a wrong answer of this appliance. */
    public void wrongAnswerReported(Appliance appliance, Method method, long age) {
        failureEvidence.wrongAnswerReported(appliance.build, method);
    }

    /** Records a build that may be new, and starts an evaluation if it is the newest on trial. */
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

    public boolean isOnTrial(Build build) {
        return fleet.isOnTrial(build);
    }

    /** The entries of a list, or of a change to it, follow. */
    public void listStarted(boolean isFull, boolean isFromDisk) {
        fleet.listStarted(isFull, isFromDisk);
    }

    /** One entry of the list. */
    public void applianceListed(Appliance appliance, Build build, Zone zone, int cell, int state, long startedAt) {
        if (fleet.applianceListed(appliance, build, zone, cell, state, startedAt)) {
            appliance.resetObservations();
            concurrencyLimits.applianceRestarted(appliance);
        }
    }

    /** The list, or the change to it, is complete. */
    public void listCompleted() {
        fleet.currentList.forEach(appliance -> registerBuild(appliance.build));
        if (!fleet.listCompleted()) {
            listCallSchedule.listReceived();
        } else if (!fleet.appliances.isEmpty()) {
            listCallSchedule.storedListLoaded(fleet.now);
        }
        concurrencyLimits.listUpdated();
    }

    /** Discovery has reported all changes up to this time; called before the entries that it reported. */
    public void listConfirmed(long asOf) {
        lease.confirm(asOf);
    }

    /** Discovery has reported that nothing had changed by this time. */
    public void listUnchanged(long asOf) {
        lease.heartbeat(asOf);
    }

    /** Discovery has accepted the watch call. */
    public void listCallAccepted() {
        listCallSchedule.callAccepted();
    }

    /** The watch call has failed or ended. */
    public void listCallFailed() {
        listCallSchedule.callFailed(fleet.now);
        lease.watchLost();
    }

    /** The address of discovery has changed. */
    public void discoveryMoved() {
        lease.discoveryMoved();
    }

    /** A reload of the configuration was requested at this time. */
    public void reloadRequested(long at) {
        lease.reloadRequested(at);
    }

    /** The process has received the signal to shut down. */
    public void shutdownStarted(ShutdownSchedule schedule) {
        shutdown.begin(schedule);
    }

    /** Whether clients may connect: an agent that has just started waits a limited time for its list. */
    public boolean mayAcceptClients() {
        return lease.mayAcceptClients();
    }

    /** Number of appliances known to serve, from the list or from their own answers. */
    public long coveredAppliances() {
        return lease.coveredCount();
    }

    /** Tenths of a millisecond since discovery last confirmed the list; negative if it never has. */
    public long listAge() {
        return lease.age();
    }

    /** Makes at most one call on the handler; false when nothing is left to decide now. */
    public boolean nextDecision(DecisionHandler handler) {
        if (fleet.now >= secondStartedAt + Fleet.SECOND) {
            coldStartLimit.updateWorkRate(secondStartedAt);
            slownessEvidence.secondEnded(secondStartedAt);
            secondStartedAt = fleet.now;
        }
        if (listCallSchedule.startCallIfDue(fleet.now)) {
            handler.watchList();
            return true;
        }
        if (shutdown.phase() != ShutdownPhase.ENDED && voting.castNext(handler)) {
            return true;
        }
        Pick overdue = shutdown.takeOverdue();
        if (overdue != null) {
            handler.cancelPick(overdue.rpc, overdue.rpc.picks.indexOf(overdue));
            return true;
        }
        while (!undecided.isEmpty()) {
            Rpc rpc = undecided.removeFirst();
            if (!rpc.closed && rpc.inFlight == 0 && decideRpc(rpc, handler)) {
                return true;
            }
        }
        long wakeAt = Math.min(listCallSchedule.nextCallAt(),
                fleet.isNewestActive() ? fleet.now + Fleet.SECOND / 10 : Long.MAX_VALUE);
        wakeAt = Math.min(wakeAt, shutdown.nextWakeAt());
        wakeAt = waiting.isEmpty() ? wakeAt : Math.min(wakeAt, fleet.now + 2 * fleet.tick);
        if (wakeAt < nextWakeAt) {
            nextWakeAt = wakeAt;
            handler.wakeAfter(Math.max(fleet.tick, wakeAt - fleet.now));
            return true;
        }
        return false;
    }

    /** Decides an RPC that has no pick in flight; false when it has to wait. */
    private boolean decideRpc(Rpc rpc, DecisionHandler handler) {
        Pick mayHaveRun = RetryPolicy.firstThatMayHaveRun(rpc);
        if (shutdown.refuses(rpc)) {
            return giveFinalAnswer(rpc, mayHaveRun, AbandonReason.SHUTTING_DOWN, handler);
        }
        AbandonReason reason = retryPolicy.reasonNotToPick(rpc, mayHaveRun);
        if (reason != null) {
            return giveFinalAnswer(rpc, mayHaveRun, reason, handler);
        }
        // If one RPC that may go to any appliance found no capacity in this iteration, the next one of its
        // method will not either. This saves repeated searches while many RPCs wait.
        boolean isUnrestricted = rpc.attemptCount() == 0 && exposureLimit.earliestBuildFor(rpc) == null;
        Appliance appliance = isUnrestricted && rpc.method.noCapacityAt == fleet.now
                ? null : selector.select(rpc, mayHaveRun);
        rpc.method.noCapacityAt = isUnrestricted && appliance == null ? fleet.now : rpc.method.noCapacityAt;
        if (appliance != null) {
            sendPick(rpc, appliance, mayHaveRun, handler);
            return true;
        }
        if (mayHaveRun != null || fleet.now >= rpc.receivedAt + MAX_WAIT_SHARE * rpc.method.softDeadline) {
            return giveFinalAnswer(rpc, mayHaveRun,
                    lease.coveredCount() == 0 ? AbandonReason.NONE_KNOWN : AbandonReason.NO_ROOM, handler);
        }
        waiting.addLast(rpc);
        return false;
    }

    /** Gives an abandoned RPC its final answer: pushed back where a retry is safe, otherwise aborted. */
    private boolean giveFinalAnswer(Rpc rpc, Pick mayHaveRun, AbandonReason reason, DecisionHandler handler) {
        rpc.closed = true;
        rpc.abandonReason = reason;
        if (RetryPolicy.isSafeToRetry(rpc.method, mayHaveRun) && fleet.now < rpc.deadline) {
            long maxRetryAfter = retryLimits.retryAfterHonored() ? retryLimits.maxRetryAfter() : 0;
            handler.pushBack(rpc, Math.min(maxRetryAfter, rpc.method.softDeadline));
        } else {
            handler.abort(rpc);
        }
        return true;
    }

    private void sendPick(Rpc rpc, Appliance appliance, Pick mayHaveRun, DecisionHandler handler) {
        retryPolicy.pickDecided(mayHaveRun);
        Pick pick = new Pick(rpc, appliance, fleet.now, coldStartLimit.warmth(appliance) < 1);
        coldStartLimit.pickDecided(pick);
        exposureLimit.pickDecided(pick);
        selector.pickDecided(pick);
        shutdown.pickDecided(pick);
        pickBeingPassed = pick;
        try {
            handler.sendPick(rpc, appliance, retryPolicy.pickTimeout(rpc, pick.cold || isOnTrial(pick.build)));
        } finally {
            pickBeingPassed = null;
        }
    }
}
