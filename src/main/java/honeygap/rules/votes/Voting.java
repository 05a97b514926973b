package honeygap.rules.votes;

import honeygap.Ctl;
import honeygap.fleet.*;
import honeygap.rules.evidence.*;
import honeygap.rules.fit.Fit;
import honeygap.terms.Desk;

/** What does this agent stand for, and when does it tell the desk? */
public record Voting(Fleet fleet, Chance random, FailureEvidence failureEvidence, SlownessEvidence slownessEvidence, DeskCounts deskCounts,
                    Desk settings, double[] stageShares, long advanceDelay, VoteRecord lastVote) {

    private static final String[] VERDICTS = {"takes its vote away", "votes on", "votes hold", "votes back"};
    private static final double ROLLBACK_PROBABILITY = 0.95;
    private static final double DOUBT_PROBABILITY = 0.65;
    /** The desk's counts must be surer: picks that jam together are no independent events. */
    private static final double DESK_COUNTS_PROBABILITY = 0.98;
    /** Waits after which no pick of the stage need have ended at the build. */
    private static final int UNSEEN_DELAYS = 2;

    public void voteAnswered(int outcome) {
        lastVote.isUnanswered = false;
        // Moot: the stage has moved on, as news will tell; the same call again would only fill the desk.
        lastVote.isAccepted = outcome == Pick.OK || outcome == Pick.MOOT;
        // All agents speak when a stage is due; those that found no room come again spread over a round.
        lastVote.nextAllowedAt = outcome == Pick.FULL ? fleet.now + (long) (random.nextUniform() * votingRound()) : lastVote.nextAllowedAt;
    }

    public boolean castNext(Ctl handler) {
        int verdict = verdict();
        if (lastVote.pendingNote != null) {
            handler.note(lastVote.pendingNote);
            lastVote.pendingNote = null;
            return true;
        }
        if (!isVoteDue(verdict)) {
            return false;
        }
        if (verdict != lastVote.verdict) {
            lastVote.pendingNote = String.format("%s: build %d, stage %d; failures %s; all %s; slowed %s; wrong %s",
                    VERDICTS[verdict], fleet.newestBuild.number, fleet.stage, failureEvidence.inFlightFit, deskCounts.fits,
                    slownessEvidence.fit, failureEvidence.answerFit);
        }
        lastVote.recordCast(fleet.newestBuild, fleet.stage, verdict, fleet.now);
        lastVote.nextAllowedAt = fleet.now + votingRound();
        handler.vote(fleet.newestBuild, fleet.stage, verdict);
        return true;
    }

    private int verdict() {
        if (!fleet.isRolloutCurrent() || fleet.newestBuild != fleet.evaluatedBuild) {
            return Build.VOTE_NONE;
        }
        double slowProbability = slownessEvidence.fit.worseProbability();
        double deskProbability = deskCounts.fits.stream().mapToDouble(Fit::worseProbability).max().orElse(0);
        double ownProbability = Math.max(failureEvidence.inFlightFit.worseProbability(), failureEvidence.answerFit.worseProbability()), worseProbability = Math.max(deskProbability, ownProbability);
        // Where few voices are enough, all agents share the chance that one of them is wrong.
        double errorShare = Math.min(1, (double) settings.rollbackVotes() * settings.rollbackVotes() / fleet.agentCount);
        boolean isConvicted = ownProbability > 1 - (1 - ROLLBACK_PROBABILITY) * errorShare || deskProbability > DESK_COUNTS_PROBABILITY;
        if (isConvicted || slownessEvidence.isLasting() && slowProbability > ROLLBACK_PROBABILITY) {
            return Build.VOTE_BACK;
        }
        if (fleet.phase == Build.RELEASED) {
            return Build.VOTE_NONE;
        }
        if (settings.gate() == Desk.AUTOMATIC) {
            return worseProbability > Fit.HOLD_PROBABILITY ? Build.VOTE_HOLD : Build.VOTE_NONE;
        }
        // With no earlier appliance up a wait spares no RPC, and it can go back after the release, too.
        // A slow build convicts itself nowhere; what it does to a part of the fleet it would do to all.
        boolean isDoubtful = slowProbability > Fit.HOLD_PROBABILITY || failureEvidence.answerFit.worseProbability(Fit.TOLERATED_RATIO) > DOUBT_PROBABILITY
                || fleet.now < deskCounts.lastSlowAt + 2 * settings.countsInterval();
        boolean isGood = worseProbability <= Fit.HOLD_PROBABILITY && (!isDoubtful || fleet.earlierAppliances() == 0);
        return isGood && fleet.now >= advanceAllowedAt() ? Build.VOTE_ON : Build.VOTE_NONE;
    }

    /** When 'on' may be said: a wait after the last listed start of the stage's appliances. */
    private long advanceAllowedAt() {
        Build newest = fleet.newestBuild;
        long evidenceSince = fleet.appliances.stream().filter(a -> a.state == Appliance.UP && a.build == newest)
                .mapToLong(a -> a.startedAt).reduce(fleet.stageSince, Math::max);
        int wantedAppliances = fleet.stage < stageShares.length ? Math.max(1, (int) (stageShares[fleet.stage] * fleet.earlierAtTrialStart)) : 1;
        // A list that lags must not hold a good build up for ever. Harm: 'on' with less of the stage seen.
        // One of many agents hears late and sends little: nothing seen is no good word. Harm: 'on' is later.
        // Where the desk's counts come they must reach into the time with all of the stage's appliances.
        long countedUntil = newest.countedUntil;
        boolean isCounted = countedUntil == Fleet.LONG_AGO || countedUntil >= evidenceSince + settings.countsInterval() / 2;
        evidenceSince += deskCounts.isUsed ? isCounted ? 0 : advanceDelay : newest.answersInStage >= DeskCounts.MIN_PICKS ? 0 : UNSEEN_DELAYS * advanceDelay;
        return advanceDelay + (newest.limit.appliances >= wantedAppliances ? evidenceSince : Math.max(evidenceSince, fleet.stageSince + 2 * advanceDelay));
    }

    /** The time in which the desk takes a vote of each agent. */
    private long votingRound() {
        return (long) (Fleet.SECOND * fleet.agentCount / settings.votesPerSecond());
    }

    private boolean isVoteDue(int verdict) {
        if (fleet.now < lastVote.nextAllowedAt
                || lastVote.isUnanswered && fleet.now < lastVote.castAt + settings.callTimeout() + 2 * fleet.tick) {
            return false;
        }
        boolean isUnchanged = lastVote.build == fleet.newestBuild && lastVote.verdict == verdict
                && (lastVote.stage == fleet.stage || verdict != Build.VOTE_ON && verdict != Build.VOTE_HOLD);
        if (verdict == Build.VOTE_NONE) {
            // A vote that no longer matches its build's standing is taken away while it could still count.
            return fleet.newestBuild != null && lastVote.build == fleet.newestBuild && lastVote.verdict != Build.VOTE_NONE
                    && fleet.now < lastVote.castAt + settings.voteLifetime() && fleet.phase == Build.ON_TRIAL
                    && lastVote.stage == fleet.stage;
        }
        return !isUnchanged || !lastVote.isAccepted || fleet.now >= lastVote.castAt + settings.voteLifetime() * 3 / 4;
    }
}
