package honeygap.rules.evidence;

import honeygap.fleet.*;
import honeygap.rules.fit.Fit;
import honeygap.rules.work.WorkEstimate;
import honeygap.settings.DeskSettings;
import java.util.List;

/** Evidence on the build on trial from the desk's counts of all agents' picks. */
public final class DeskCounts {

    /** The desk's counts are used if it samples at least this multiple of an agent's own picks. */
    private static final double MIN_SAMPLE_RATIO = 2;
    /** Failure share added to both arms, so that a few failures do not count against the build on trial. */
    private static final double BASELINE_FAILURE_SHARE = 0.02;
    /** Minimum number of ended picks for a statement on a build. */
    public static final int MIN_PICKS = 8;

    private final Fleet fleet;
    /** Whether the counts are used in addition to the agent's own picks. */
    public final boolean isUsed;
    /** Fits of the failure effect, one for each method, and when the last period's counts began to arrive. */
    public List<Fit> fits = List.of();
    private long countedAt;
    /** When a count last showed ok answers of the build on trial far slower than the method's mean. */
    public long lastSlowAt = Fleet.LONG_AGO;
    private final long interval;
    private int currentGroup;

    public DeskCounts(Fleet fleet, DeskSettings desk) {
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
     * Adds the desk's counts of all agents in a period, as one group of tied events for each method. Used if the desk
     * samples more picks than this agent sends, so that hundreds of agents with few RPCs each need not wait for
     * failures of their own. A baseline of failures is added to both arms: failures of a cold start must not count
     * against the build. Drawback: a bad build is detected later.
     */
    public void countsReceived(Build build, Method method, long picks, long failed, long meanLatency) {
        if (fleet.evaluatedBuild == null || !isUsed) {
            return;
        }
        // The counts of a period arrive one by one. Each in its own group would be no evidence, since a group
        // must hold both builds.
        if (fleet.now > countedAt + interval / 2) {
            countedAt = fleet.now;
            fits.forEach(fit -> currentGroup = fit.openGroups(1));
        }
        // One fit for each method: a single failing method hardly changes a fit over all methods. Group 0
        // accumulates all counts of the earlier builds.
        Fit fit = fits.get(method.index);
        boolean isNew = build == fleet.evaluatedBuild;
        boolean isSlow = isNew && method.meanLatency > 0 && picks >= MIN_PICKS
                && meanLatency > Fit.TOLERATED_RATIO * method.meanLatency;
        lastSlowAt = isSlow ? fleet.now : lastSlowAt;
        // If even its ok answers are far too slow, its few appliances are overloaded: failures are no evidence.
        if (isNew && method.meanLatency > 0 && meanLatency > WorkEstimate.SLOW_RATIO * method.meanLatency) {
            return;
        }
        boolean isOnlyBuild = isNew && fleet.earlierAppliances() == 0;
        fit.add(isOnlyBuild ? 0 : currentGroup, isNew, picks, failed + BASELINE_FAILURE_SHARE * picks);
        fit.add(0, false, isNew ? 0 : picks, isNew ? 0 : failed + BASELINE_FAILURE_SHARE * picks);
    }
}
