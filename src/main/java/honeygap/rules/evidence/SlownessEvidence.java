package honeygap.rules.evidence;

import honeygap.fleet.*;
import honeygap.rules.fit.Fit;
import honeygap.rules.work.WorkEstimate;

/** Evidence that the build on trial slows down all appliances in proportion to its traffic. */
public final class SlownessEvidence {

    /** Factor by which the new arm fades each second. */
    private static final double FADE_PER_SECOND = 0.5;
    /** Slowness must last for this multiple of the advance delay to roll a build back. */
    private static final int MIN_DELAYS = 2;
    /** Ratio to the traffic before the trial above which slowness is attributed to the traffic. */
    private static final double BURST_RATIO = 1.5;

    private final Fleet fleet;
    private final long advanceDelay;
    public final Fit fit;
    private long slowSince;
    /** RPCs per second other than client retries: recently, and when the trial began. */
    private double firstTryRate, firstTryRateBeforeTrial;
    private long firstTries;

    public SlownessEvidence(Fleet fleet, long advanceDelay) {
        this.fleet = fleet;
        this.advanceDelay = advanceDelay;
        fit = new Fit(fleet.methods.size());
    }

    /** Keeps the latencies and the traffic from before the trial as the baseline. */
    public void trialStarted() {
        fleet.methods.forEach(method -> method.meanLatencyBeforeTrial = method.meanLatency);
        firstTryRateBeforeTrial = firstTryRate;
    }

    public void rpcReceived(Rpc rpc) {
        firstTries += rpc.retry ? 0 : 1;
    }

    /** A second that began at {@code since} has ended. */
    public void secondEnded(long since) {
        fit.fade(FADE_PER_SECOND);
        firstTryRate += WorkEstimate.RATE_SMOOTHING
                * (firstTries * (double) Fleet.SECOND / (fleet.now - since) - firstTryRate);
        firstTries = 0;
    }

    /**
     * Adds a pick to the second effect: the share of answers of any build that are far slower than expected, in the
     * last seconds against before the trial. Detects a build that slows down all appliances in proportion to
     * its traffic. Drawback: another lasting slowdown that begins during the trial counts against the build; a
     * passing one, or a burst of RPCs other than client retries, only delays the vote to advance.
     */
    public void pickEnded(Pick pick, int outcome, long latency) {
        Method method = pick.rpc.method;
        // While earlier appliances are up, only they count: those of a new build are slow because they are few.
        boolean isEvidence = outcome == Pick.OK || outcome == Pick.TIMEOUT && pick.appliance.consecutiveUnanswered == 0;
        if (pick.cold || method.meanLatency == 0 || !isEvidence
                || pick.build == fleet.evaluatedBuild && fleet.earlierAppliances() > 0) {
            return;
        }
        double baseline = isTrialInEffect() && method.meanLatencyBeforeTrial > 0
                ? method.meanLatencyBeforeTrial : method.meanLatency;
        fit.add(method.index, isTrialInEffect(), 1,
                latency > WorkEstimate.SLOW_RATIO * baseline * WorkEstimate.relativeWork(pick.rpc) ? 1 : 0);
        if (fit.worseProbability() <= Fit.HOLD_PROBABILITY || firstTryRate > BURST_RATIO * firstTryRateBeforeTrial) {
            slowSince = fleet.now;
        }
    }

    /** Whether the slowness has lasted too long to be a passing fault of something else. */
    public boolean isLasting() {
        return fleet.now >= slowSince + MIN_DELAYS * advanceDelay;
    }

    /** Whether the evaluated build is on trial or was released recently. */
    private boolean isTrialInEffect() {
        Build evaluated = fleet.evaluatedBuild;
        boolean isNewest = evaluated == fleet.newestBuild && fleet.phase == Build.RELEASED;
        boolean justReleased = isNewest && fleet.now < fleet.stageSince + MIN_DELAYS * advanceDelay;
        return evaluated != null && (evaluated == fleet.trialBuild() || justReleased);
    }
}
