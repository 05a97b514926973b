package honeygap.rules.evidence;

import honeygap.fleet.*;
import honeygap.rules.fit.Fit;
import honeygap.rules.work.WorkEstimate;
import honeygap.terms.Desk;
import java.util.List;

/** What do the desk's counts of all agents' picks say of the build on trial? */
public final class DeskCounts {

    /** Times its own picks that the desk must sample for its counts to join, and failures beneath notice. */
    private static final double MIN_SAMPLE_RATIO = 2;
    private static final double BASELINE_FAILURE_SHARE = 0.02;
    /** Picks that must have ended for a word on a build. */
    public static final int MIN_PICKS = 8;

    private final Fleet fleet;
    /** Do the counts join the agent's own picks? */
    public final boolean isUsed;
    /** The first effect once more for each method, and when its last counts came. */
    public List<Fit> fits = List.of();
    private long countedAt;
    /** When a count last said that good answers of the build on trial take far more than is usual. */
    public long lastSlowAt = Fleet.LONG_AGO;
    private final long interval;
    private int currentGroup;

    public DeskCounts(Fleet fleet, Desk desk) {
        this.fleet = fleet;
        interval = desk.countsInterval();
        isUsed = fleet.agentCount * desk.sampledShare() >= MIN_SAMPLE_RATIO;
    }

    public void reset() {
        fits = fleet.methods.stream().map(ignored -> new Fit(1)).toList();
        countedAt = Fleet.LONG_AGO;
        lastSlowAt = Fleet.LONG_AGO;
    }

    /**
     * What the desk counted of all agents in a period: a group of tied events a method, where it samples more
     * than this agent sees, so that hundreds of agents with few RPCs need not wait for failures of their own.
     * Failures beneath notice are added to both arms: a cold start must not convict. Harm: late.
     */
    public void countsReceived(Build build, Method method, long picks, long failed, long meanLatency) {
        if (fleet.evaluatedBuild == null || !isUsed) {
            return;
        }
        // A period's counts come one after another: apart, no group would hold both builds, and say nothing.
        if (fleet.now > countedAt + interval / 2) {
            countedAt = fleet.now;
            fits.forEach(fit -> currentGroup = fit.openGroups(1));
        }
        // One method that fails barely moves an effect of all. The first group remembers the earlier build.
        Fit fit = fits.get(method.index);
        boolean isNew = build == fleet.evaluatedBuild;
        boolean isSlow = isNew && method.meanLatency > 0 && picks >= MIN_PICKS && meanLatency > Fit.TOLERATED_RATIO * method.meanLatency;
        lastSlowAt = isSlow ? fleet.now : lastSlowAt;
        // Where even its good answers are far past the usual its few appliances are jammed: no evidence.
        if (isNew && method.meanLatency > 0 && meanLatency > WorkEstimate.SLOW_RATIO * method.meanLatency) {
            return;
        }
        boolean isOnlyBuild = isNew && fleet.earlierAppliances() == 0;
        fit.add(isOnlyBuild ? 0 : currentGroup, isNew, picks, failed + BASELINE_FAILURE_SHARE * picks);
        fit.add(0, false, isNew ? 0 : picks, isNew ? 0 : failed + BASELINE_FAILURE_SHARE * picks);
    }
}
