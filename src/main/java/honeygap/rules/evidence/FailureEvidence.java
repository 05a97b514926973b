package honeygap.rules.evidence;

import honeygap.fleet.*;
import honeygap.rules.fit.Fit;
import honeygap.rules.health.ApplianceHealth;
import honeygap.rules.work.WorkEstimate;

/** Evidence on the build on trial from this agent's own failed picks and from wrong answers. */
public final class FailureEvidence {

    private final Fleet fleet;
    private final ApplianceHealth health;
    /** First effect: failures against the picks in flight; also used for routing. */
    public Fit inFlightFit;
    /** Third effect: answers reported as wrong, and failures against the picks that have ended. */
    public Fit answerFit;

    public FailureEvidence(Fleet fleet, ApplianceHealth health) {
        this.fleet = fleet;
        this.health = health;
        reset();
    }

    /** Starts new fits for a new build. */
    public void reset() {
        inFlightFit = new Fit(0);
        answerFit = new Fit(2 * fleet.methods.size());
    }

    /** Errors, timeouts, resets and failed connections are events; the failing pick is still in the risk set. */
    public void pickEnded(Pick pick, int outcome) {
        boolean failed = outcome == Pick.ERROR || outcome == Pick.RESET;
        boolean isUnanswered = outcome == Pick.TIMEOUT || outcome == Pick.CONNECT_FAILED;
        boolean isAnswered = failed || outcome == Pick.OK;
        boolean isFairEvidence = !isAnswered || health.recordAnswer(pick, failed);
        pick.build.answersInStage += isAnswered ? 1 : 0;
        // Connections to a zone that break at the same time are one event: the zone is lost, the build is not to blame.
        boolean isRepeatedReset = outcome == Pick.RESET
                && fleet.now < pick.zone.lastResetAt + pick.rpc.method.meanLatency;
        pick.zone.lastResetAt = outcome == Pick.RESET ? fleet.now : pick.zone.lastResetAt;
        boolean isEvidence = outcome == Pick.OK || isUnanswered
                || failed && !isRepeatedReset && isFairEvidence && !health.isOutlier(pick.appliance);
        Build evaluated = fleet.evaluatedBuild;
        if (evaluated == null || !isEvidence) {
            return;
        }
        // Stratified by method: methods that do not reach the trial build, or that always fail often, must not
        // bias the comparison.
        int method = pick.rpc.method.index;
        boolean isNew = pick.build == evaluated;
        int oldInFlight = fleet.builds.stream()
                .mapToInt(b -> b == evaluated ? 0 : b.inFlightPicks(isUnanswered)[method]).sum();
        // An unresponsive appliance is one event however many picks it had, and a cold one may time out because
        // it is cold: neither must count against its build. Drawback: a build whose picks only ever time out is
        // detected later.
        if (failed && (oldInFlight > 0 || !isNew)
                || isUnanswered && pick.appliance.consecutiveUnanswered == 0 && !pick.cold) {
            inFlightFit.addEvent(oldInFlight, evaluated.inFlightPicks(isUnanswered)[method], isNew);
        }
        if (isUnanswered) {
            return;
        }
        // Slow picks inflate the risk set in flight, and each of many agents has few picks in flight. Compared
        // with the picks that ended recently, a failing build is detected sooner. If no earlier build is up, the
        // baseline is its results since the trial began. Drawback: errors that begin elsewhere at that moment
        // count against the build.
        int failureCount = failed ? 1 : 0;
        // A memory of about 64 picks. With a longer one, a build that takes over the traffic would be charged
        // for its growing share of the picks.
        fleet.builds.forEach(build -> build.recentAnswers[method] *= 1 - WorkEstimate.SMOOTHING / 2);
        pick.build.recentAnswers[method]++;
        double oldAnswers = fleet.builds.stream().mapToDouble(b -> b == evaluated ? 0 : b.recentAnswers[method]).sum();
        boolean isOnlyBuild = fleet.earlierAppliances() == 0;
        answerFit.add(method, isNew, 1 - failureCount, 0);
        answerFit.add(fleet.methods.size() + method, isNew, isNew && !isOnlyBuild ? 0 : 1,
                isNew && !isOnlyBuild ? 0 : failureCount);
        if (failed && !isOnlyBuild) {
            answerFit.addEvent(oldAnswers, evaluated.recentAnswers[method], isNew);
        }
    }

    /** A wrong answer was reported, which counts for the third effect; reports are late and sometimes mistaken. */
    public void wrongAnswerReported(Build build, Method method) {
        if (fleet.evaluatedBuild != null) {
            answerFit.add(method.index, build == fleet.evaluatedBuild, 0, 1);
        }
    }
}
