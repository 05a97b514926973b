package honeygap.rules.votes;

import honeygap.DecisionHandler;
import honeygap.fleet.*;
import honeygap.rules.evidence.*;
import honeygap.rules.fit.Fit;
import honeygap.settings.DeskSettings;

/** Decides how this agent votes on the build on trial, and when it sends its vote to the desk. */
public record Voting(Fleet fleet, RandomSource random, FailureEvidence failureEvidence,
                     SlownessEvidence slownessEvidence, DeskCounts deskCounts, DeskSettings settings,
                     double[] stageShares, long advanceDelay, VoteRecord lastVote) {

    private static final String[] VERDICTS =
            {"takes its vote away", "votes on", "votes hold", "votes back"};
    /** Probability of being worse above which the vote is to roll back. */
    private static final double ROLLBACK_PROBABILITY = 0.95;
    /** Probability of being worse by wrong answers and ended picks above which the vote to advance is delayed. */
    private static final double DOUBT_PROBABILITY = 0.65;
    /** Higher for the desk's counts: picks delayed by the same overload are no independent events. */
    private static final double DESK_COUNTS_PROBABILITY = 0.98;
    /** Multiple of the advance delay after which the vote to advance needs no ended picks of the stage. */
    private static final int UNSEEN_DELAYS = 2;

    /** The desk has answered the last vote. */
    public void voteAnswered(int outcome) {
        lastVote.isUnanswered = false;
        // Not executed: the stage has changed, as the next report will show; a retry would only load the desk.
        lastVote.isAccepted = outcome == Pick.OK || outcome == Pick.NOT_EXECUTED;
        // All agents vote when a stage is due; those that the desk pushed back retry spread over a voting round.
        lastVote.nextAllowedAt = outcome == Pick.PUSHED_BACK
                ? fleet.now + (long) (random.nextUniform() * votingRound()) : lastVote.nextAllowedAt;
    }

    /** Writes the pending log line or casts a vote if one is due; false if there is nothing to do. */
    public boolean castNext(DecisionHandler handler) {
        int verdict = verdict();
        if (lastVote.pendingNote != null) {
            handler.logNote(lastVote.pendingNote);
            lastVote.pendingNote = null;
            return true;
        }
        if (!isVoteDue(verdict)) {
            return false;
        }
        if (verdict != lastVote.verdict) {
            lastVote.pendingNote = String.format(
                    "%s: build %d, stage %d; failures %s; all %s; slowed %s; wrong %s",
                    VERDICTS[verdict], fleet.newestBuild.number, fleet.stage, failureEvidence.inFlightFit,
                    deskCounts.fits, slownessEvidence.fit, failureEvidence.answerFit);
        }
        lastVote.recordCast(fleet.newestBuild, fleet.stage, verdict, fleet.now);
        lastVote.nextAllowedAt = fleet.now + votingRound();
        handler.castVote(fleet.newestBuild, fleet.stage, verdict);
        return true;
    }

    private int verdict() {
        if (!fleet.isNewestActive() || fleet.newestBuild != fleet.evaluatedBuild) {
            return Build.VOTE_NONE;
        }
        double slowProbability = slownessEvidence.fit.worseProbability();
        double deskProbability = deskCounts.fits.stream().mapToDouble(Fit::worseProbability).max().orElse(0);
        double ownProbability = Math.max(failureEvidence.inFlightFit.worseProbability(),
                        failureEvidence.answerFit.worseProbability()),
                worseProbability = Math.max(deskProbability, ownProbability);
        // If few votes are enough to roll back, each agent gets only its share of the accepted error probability.
        double errorShare = Math.min(1,
                (double) settings.rollbackVotes() * settings.rollbackVotes() / fleet.agentCount);
        boolean isConvicted = ownProbability > 1 - (1 - ROLLBACK_PROBABILITY) * errorShare
                || deskProbability > DESK_COUNTS_PROBABILITY;
        if (isConvicted || slownessEvidence.isLasting() && slowProbability > ROLLBACK_PROBABILITY) {
            return Build.VOTE_ROLLBACK;
        }
        if (fleet.phase == Build.RELEASED) {
            return Build.VOTE_NONE;
        }
        if (settings.gate() == DeskSettings.AUTOMATIC) {
            return worseProbability > Fit.HOLD_PROBABILITY ? Build.VOTE_HOLD : Build.VOTE_NONE;
        }
        // If no earlier appliance is up, waiting protects no RPC, and the build can still be rolled back after the
        // release. A slow build produces no evidence against itself, but what it does to a part of the fleet it would
        // do to the whole fleet.
        boolean isDoubtful = slowProbability > Fit.HOLD_PROBABILITY
                || failureEvidence.answerFit.worseProbability(Fit.TOLERATED_RATIO) > DOUBT_PROBABILITY
                || fleet.now < deskCounts.lastSlowAt + 2 * settings.countsInterval();
        boolean isGood = worseProbability <= Fit.HOLD_PROBABILITY && (!isDoubtful || fleet.earlierAppliances() == 0);
        return isGood && fleet.now >= advanceAllowedAt() ? Build.VOTE_ADVANCE : Build.VOTE_NONE;
    }

    /** When a vote to advance is allowed: the advance delay after the last listed start of the stage's appliances. */
    private long advanceAllowedAt() {
        Build newest = fleet.newestBuild;
        long evidenceSince = fleet.appliances.stream().filter(a -> a.state == Appliance.UP && a.build == newest)
                .mapToLong(a -> a.startedAt).reduce(fleet.stageSince, Math::max);
        int wantedAppliances = fleet.stage < stageShares.length
                ? Math.max(1, (int) (stageShares[fleet.stage] * fleet.earlierAtTrialStart)) : 1;
        // A late list must not delay a good build for ever. Drawback: a vote with fewer of the stage's appliances seen.
        // One of many agents is informed late and sends little, so the absence of failures is no evidence without
        // enough picks. Drawback: a later vote. If the desk's counts are received, they must cover time with all of
        // the stage's appliances up.
        long countedUntil = newest.countedUntil;
        boolean isCounted = countedUntil == Fleet.LONG_AGO
                || countedUntil >= evidenceSince + settings.countsInterval() / 2;
        evidenceSince += deskCounts.isUsed ? isCounted ? 0 : advanceDelay
                : newest.answersInStage >= DeskCounts.MIN_PICKS ? 0 : UNSEEN_DELAYS * advanceDelay;
        return advanceDelay + (newest.limit.appliances >= wantedAppliances ? evidenceSince
                : Math.max(evidenceSince, fleet.stageSince + 2 * advanceDelay));
    }

    /** Time in which the desk can accept one vote of each agent. */
    private long votingRound() {
        return (long) (Fleet.SECOND * fleet.agentCount / settings.votesPerSecond());
    }

    private boolean isVoteDue(int verdict) {
        if (fleet.now < lastVote.nextAllowedAt
                || lastVote.isUnanswered && fleet.now < lastVote.castAt + settings.callTimeout() + 2 * fleet.tick) {
            return false;
        }
        boolean isUnchanged = lastVote.build == fleet.newestBuild && lastVote.verdict == verdict
                && (lastVote.stage == fleet.stage || verdict != Build.VOTE_ADVANCE && verdict != Build.VOTE_HOLD);
        if (verdict == Build.VOTE_NONE) {
            // Withdraws a vote that no longer matches the evidence on its build while it could still count.
            return fleet.newestBuild != null && lastVote.build == fleet.newestBuild
                    && lastVote.verdict != Build.VOTE_NONE
                    && fleet.now < lastVote.castAt + settings.voteLifetime() && fleet.phase == Build.ON_TRIAL
                    && lastVote.stage == fleet.stage;
        }
        return !isUnchanged || !lastVote.isAccepted || fleet.now >= lastVote.castAt + settings.voteLifetime() * 3 / 4;
    }
}
