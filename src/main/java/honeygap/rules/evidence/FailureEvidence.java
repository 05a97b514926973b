package honeygap.rules.evidence;

import honeygap.fleet.*;
import honeygap.rules.fit.Fit;
import honeygap.rules.health.ApplianceHealth;
import honeygap.rules.work.WorkEstimate;

/** What do this agent's own failures, and wrong answers, say of the build on trial? */
public final class FailureEvidence {

    private final Fleet fleet;
    private final ApplianceHealth health;
    /** The first effect, by risk sets in flight, which also routes. */
    public Fit inFlightFit;
    /** The third one: answers reported wrong, and failures by picks that ended. */
    public Fit answerFit;

    public FailureEvidence(Fleet fleet, ApplianceHealth health) {
        this.fleet = fleet;
        this.health = health;
        reset();
    }

    /** A new build starts new fits. */
    public void reset() {
        inFlightFit = new Fit(0);
        answerFit = new Fit(2 * fleet.methods.size());
    }

    /** Errors, time-outs, resets and failed connections are events, the failing pick still at risk. */
    public void pickEnded(Pick pick, int outcome) {
        boolean failed = outcome == Pick.ERROR || outcome == Pick.RESET;
        boolean isUnanswered = outcome == Pick.TIMEOUT || outcome == Pick.CONNECT_FAILED;
        boolean isAnswered = failed || outcome == Pick.OK;
        boolean isFairEvidence = !isAnswered || health.recordAnswer(pick, failed);
        pick.build.answersInStage += isAnswered ? 1 : 0;
        // Connections to a location that break at once are one event: it is lost, not the build there.
        boolean isRepeatedReset = outcome == Pick.RESET && fleet.now < pick.zone.lastResetAt + pick.rpc.method.meanLatency;
        pick.zone.lastResetAt = outcome == Pick.RESET ? fleet.now : pick.zone.lastResetAt;
        boolean isEvidence = outcome == Pick.OK || isUnanswered || failed && !isRepeatedReset && isFairEvidence && !health.isOutlier(pick.appliance);
        Build evaluated = fleet.evaluatedBuild;
        if (evaluated == null || !isEvidence) {
            return;
        }
        // Strata by method: methods kept from the trial build, or failing by nature, say nothing of it.
        int method = pick.rpc.method.index;
        boolean isNew = pick.build == evaluated;
        int oldInFlight = fleet.builds.stream().mapToInt(b -> b == evaluated ? 0 : b.inFlightPicks(isUnanswered)[method]).sum();
        // A silent appliance is one event however many picks it held, and a cold one may time out by being
        // cold: neither must convict its build. Harm: a build that only ever times out is judged later.
        if (failed && (oldInFlight > 0 || !isNew) || isUnanswered && pick.appliance.consecutiveUnanswered == 0 && !pick.cold) {
            inFlightFit.addEvent(oldInFlight, evaluated.inFlightPicks(isUnanswered)[method], isNew);
        }
        if (isUnanswered) {
            return;
        }
        // Slow picks swell the risk set in flight, and of many agents each has few out: set against the
        // picks that ended lately a build that fails shows sooner. With no earlier build up, all that these
        // did since the trial began stands in. Harm: errors that begin elsewhere just then.
        int failureCount = failed ? 1 : 0;
        // The last 64 or so: longer, and a build that takes over the traffic would be charged for its share.
        fleet.builds.forEach(build -> build.recentAnswers[method] *= 1 - WorkEstimate.SMOOTHING / 2);
        pick.build.recentAnswers[method]++;
        double oldAnswers = fleet.builds.stream().mapToDouble(b -> b == evaluated ? 0 : b.recentAnswers[method]).sum();
        boolean isOnlyBuild = fleet.earlierAppliances() == 0;
        answerFit.add(method, isNew, 1 - failureCount, 0);
        answerFit.add(fleet.methods.size() + method, isNew, isNew && !isOnlyBuild ? 0 : 1, isNew && !isOnlyBuild ? 0 : failureCount);
        if (failed && !isOnlyBuild) {
            answerFit.addEvent(oldAnswers, evaluated.recentAnswers[method], isNew);
        }
    }

    /** A wrong answer, reported late and now and then by mistake: an event of the third effect. */
    public void wrongAnswerReported(Build build, Method method) {
        if (fleet.evaluatedBuild != null) {
            answerFit.add(method.index, build == fleet.evaluatedBuild, 0, 1);
        }
    }
}
