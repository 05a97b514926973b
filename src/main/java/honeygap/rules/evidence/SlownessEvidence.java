package honeygap.rules.evidence;

import honeygap.fleet.*;
import honeygap.rules.fit.Fit;
import honeygap.rules.work.WorkEstimate;

/** Does the build on trial slow down every appliance, in step with its traffic? */
public final class SlownessEvidence {

    /** What is kept of the new arm each second, and how many waits it must last to send a build back. */
    private static final double FADE_PER_SECOND = 0.5;
    private static final int MIN_DELAYS = 2;
    /** Times the RPCs taken when the build came, beyond which slowness is the traffic's, not the build's. */
    private static final double BURST_RATIO = 1.5;

    private final Fleet fleet;
    private final long advanceDelay;
    public final Fit fit;
    private long slowSince;
    /** RPCs a second that are no further try, lately and when the build on trial came. */
    private double firstTryRate, firstTryRateBeforeTrial;
    private long firstTries;

    public SlownessEvidence(Fleet fleet, long advanceDelay) {
        this.fleet = fleet;
        this.advanceDelay = advanceDelay;
        fit = new Fit(fleet.methods.size());
    }

    public void trialStarted() {
        fleet.methods.forEach(method -> method.meanLatencyBeforeTrial = method.meanLatency);
        firstTryRateBeforeTrial = firstTryRate;
    }

    public void rpcReceived(Rpc rpc) {
        firstTries += rpc.retry ? 0 : 1;
    }

    public void secondEnded(long since) {
        fit.fade(FADE_PER_SECOND);
        firstTryRate += WorkEstimate.RATE_SMOOTHING * (firstTries * (double) Fleet.SECOND / (fleet.now - since) - firstTryRate);
        firstTries = 0;
    }

    /**
     * Answers far past the usual, of all builds alike: the second effect sets those of the last seconds
     * against those before the build came. Guards against a build that slows every appliance in step with its
     * traffic. Harm: another slowdown that begins then and lasts; a passing one, or a burst of RPCs that are
     * no client's further try, only delays 'on'.
     */
    public void pickEnded(Pick pick, int outcome, long latency) {
        Method method = pick.rpc.method;
        // While earlier appliances are there, they alone tell: those of a new build are slow by being few.
        boolean isEvidence = outcome == Pick.OK || outcome == Pick.TIMEOUT && pick.appliance.consecutiveUnanswered == 0;
        if (pick.cold || method.meanLatency == 0 || !isEvidence || pick.build == fleet.evaluatedBuild && fleet.earlierAppliances() > 0) {
            return;
        }
        double baseline = isTrialInEffect() && method.meanLatencyBeforeTrial > 0 ? method.meanLatencyBeforeTrial : method.meanLatency;
        fit.add(method.index, isTrialInEffect(), 1, latency > WorkEstimate.SLOW_RATIO * baseline * WorkEstimate.relativeWork(pick.rpc) ? 1 : 0);
        if (fit.worseProbability() <= Fit.HOLD_PROBABILITY || firstTryRate > BURST_RATIO * firstTryRateBeforeTrial) {
            slowSince = fleet.now;
        }
    }

    /** The slowness has lasted for so long that it is not another trouble that passes. */
    public boolean isLasting() {
        return fleet.now >= slowSince + MIN_DELAYS * advanceDelay;
    }

    private boolean isTrialInEffect() {
        Build evaluated = fleet.evaluatedBuild;
        boolean isNewest = evaluated == fleet.newestBuild && fleet.phase == Build.RELEASED;
        boolean justReleased = isNewest && fleet.now < fleet.stageSince + MIN_DELAYS * advanceDelay;
        return evaluated != null && (evaluated == fleet.trialBuild() || justReleased);
    }
}
