package honeygap.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * What this agent has been told: the time, the list, and the rollout. Plain state and what follows from it by
 * definition; nothing is decided here. Times are tenths of a millisecond.
 */
public final class Fleet {

    public static final long LONG_AGO = Long.MIN_VALUE / 4;
    public static final long SECOND = 10_000;

    /** The time of this turn and of the one before, and the least time between two turns. */
    public long now;
    public long previousNow;
    public final long tick;
    /** How many agents there are. */
    public final int agentCount;
    public final List<Method> methods;

    /** What the list has named: appliances, where they stand, and their builds in order of number. */
    public final List<Appliance> appliances = new ArrayList<>();
    public final List<Location> zones = new ArrayList<>();
    public final List<Build> builds = new ArrayList<>();
    /** What the list at hand has named so far, and of which kind it is. */
    public final List<Appliance> currentList = new ArrayList<>();
    private boolean isFullList;
    private boolean isDiskList;

    /** The rollout as the desk told it last. */
    public Build newestBuild;
    public int phase = Build.RELEASED;
    public int stage;
    public double cap;
    public long stageSince;
    /** When the desk told it, at the latest: what is told in a turn may have come at any time since the one before. */
    public long rolloutReportedAt = LONG_AGO;
    /** The build that the fits are of, all others being the earlier one. */
    public Build evaluatedBuild;
    /** Earlier appliances that were up when it came. */
    public int earlierAtTrialStart;
    /** First picks at the earlier builds and at the fitted one, old ones fading. */
    public double firstPicksOld;
    public double firstPicksNew;
    /** Work taken, and answered by warm appliances, in this second; what a warm one gets a time unit. */
    public double receivedWork;
    public double warmAnsweredWork;
    public double warmWorkRate;
    /** Further picks against those allowed: at most 0. */
    public double retryBalance;

    public Fleet(long now, long tick, int agentCount, List<Method> methods) {
        this.now = now;
        this.previousNow = now;
        this.tick = Math.max(1, tick);
        this.agentCount = Math.max(1, agentCount);
        this.methods = methods;
    }

    public void listStarted(boolean isFull, boolean isFromDisk) {
        isFullList = isFull;
        isDiskList = isFromDisk;
        currentList.clear();
    }

    /** True for a fresh start, or another build, under its id: a new process, perhaps a new machine. */
    public boolean applianceListed(Appliance appliance, Build build, Location zone, int cell, int state,
                          long startedAt) {
        currentList.add(appliance);
        if (!appliances.contains(appliance)) {
            appliances.add(appliance);
        }
        if (!zones.contains(zone)) {
            zones.add(zone);
        }
        boolean isNewProcess = appliance.startedAt != startedAt || appliance.build != build;
        appliance.build = build;
        appliance.zone = zone;
        appliance.cell = cell;
        appliance.state = state;
        appliance.startedAt = startedAt;
        return isNewProcess;
    }

    /**
     * What the whole list has not named is gone; builds leave with their last appliance and pick. True where it
     * is a list of an earlier process.
     */
    public boolean listCompleted() {
        if (isFullList) {
            appliances.stream().filter(a -> !currentList.contains(a)).forEach(a -> a.state = Appliance.GONE);
        }
        appliances.removeIf(appliance -> appliance.state == Appliance.GONE);
        builds.forEach(build -> build.left = build != evaluatedBuild && newestBuild != null && !isNewestOrLater(build)
                && build.limit.out == 0 && appliances.stream().noneMatch(appliance -> appliance.build == build));
        builds.removeIf(build -> build.left);
        builds.forEach(build -> build.limit.appliances = 0);
        appliances.forEach(appliance -> appliance.build.limit.appliances += appliance.state == Appliance.UP ? 1 : 0);
        return isDiskList;
    }

    public void rolloutReported(Build build, int phase, int stage, double cap, long stageSince) {
        if (build != newestBuild) {
            builds.stream().filter(b -> b.number < build.number).forEach(b -> b.routedKeys.clear());
        }
        build.answersInStage = build == newestBuild && stage == this.stage ? build.answersInStage : 0;
        newestBuild = build;
        this.phase = phase;
        this.stage = stage;
        this.cap = cap;
        this.stageSince = stageSince;
        rolloutReportedAt = previousNow;
    }

    /** True where this build is new here. */
    public boolean registerBuild(Build build) {
        boolean isNew = !builds.contains(build);
        if (isNew) {
            builds.add(build);
            builds.sort((a, b) -> Integer.compare(a.number, b.number));
        }
        return isNew;
    }

    /** The newest build on trial is the one to fit; true where that has changed. */
    public boolean beginEvaluation() {
        Build trialBuild = trialBuild();
        boolean hasChanged = trialBuild != null && trialBuild != evaluatedBuild;
        if (hasChanged) {
            evaluatedBuild = trialBuild;
            earlierAtTrialStart = earlierAppliances();
        }
        return hasChanged;
    }

    /** Appliances up of other builds than the one that the fit is of. */
    public int earlierAppliances() {
        return builds.stream().mapToInt(build -> build == evaluatedBuild ? 0 : build.limit.appliances).sum();
    }

    public boolean isNewestOrLater(Build build) {
        return newestBuild != null && build.number >= newestBuild.number;
    }

    /** Not yet announced, or announced and not released: what the exposure rule calls on trial. */
    public boolean isOnTrial(Build build) {
        return isNewestOrLater(build) && (build != newestBuild || phase != Build.RELEASED);
    }

    public Build trialBuild() {
        Build last = builds.isEmpty() ? null : builds.get(builds.size() - 1);
        return last != null && isOnTrial(last) ? last : null;
    }

    /** The newest build has met this key; null is none. */
    public boolean isRoutedToNewest(String key) {
        return newestBuild != null && newestBuild.routedKeys.contains(key);
    }

    /** The phases in which votes count, and in which keys stay with the build. */
    public boolean isRolloutCurrent() {
        return newestBuild != null && (phase == Build.ON_TRIAL || phase == Build.RELEASED);
    }
}
