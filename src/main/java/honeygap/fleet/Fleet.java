package honeygap.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * State reported to this agent: the time, the list of appliances and the rollout, with values derived from it.
 * Makes no decisions. Times are tenths of a millisecond.
 */
public final class Fleet {

    public static final long LONG_AGO = Long.MIN_VALUE / 4;
    public static final long SECOND = 10_000;

    /** Time of this loop iteration, and the minimum time between two. */
    public long now;
    public final long tick;
    /** Number of agents. */
    public final int agentCount;
    public final List<Method> methods;

    /** The listed appliances, their zones, and their builds in order of number. */
    public final List<Appliance> appliances = new ArrayList<>();
    public final List<Zone> zones = new ArrayList<>();
    public final List<Build> builds = new ArrayList<>();
    /** Entries received so far of the list in progress, and its kind. */
    public final List<Appliance> currentList = new ArrayList<>();
    private boolean isFullList;
    private boolean isDiskList;

    /** State of the rollout in the last report of the desk. */
    public Build newestBuild;
    public int phase = Build.RELEASED;
    public int stage;
    public double cap;
    public long stageSince;
    /** The build that is evaluated; all other builds together are its baseline. */
    public Build evaluatedBuild;
    /** Appliances of earlier builds that were up when its evaluation began. */
    public int earlierAtTrialStart;
    /** First picks sent to the earlier builds and to the evaluated one; older ones fade. */
    public double firstPicksOld;
    public double firstPicksNew;
    /** Work received, and answered by warm appliances, in this second; work per time unit of a warm one. */
    public double receivedWork;
    public double warmAnsweredWork;
    public double warmWorkRate;
    /** Retry budget: earned by RPCs received, spent by retries; at most 0. */
    public double retryBalance;

    public Fleet(long now, long tick, int agentCount, List<Method> methods) {
        this.now = now;
        this.tick = Math.max(1, tick);
        this.agentCount = Math.max(1, agentCount);
        this.methods = methods;
    }

    public void listStarted(boolean isFull, boolean isFromDisk) {
        isFullList = isFull;
        isDiskList = isFromDisk;
        currentList.clear();
    }

    /** Records an entry; true if its start time or build changed: a new process, perhaps on a new machine. */
    public boolean applianceListed(Appliance appliance, Build build, Zone zone, int cell, int state,
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
     * Removes appliances that a full list lacks, and builds without appliances or picks in flight. True if the
     * list was stored by an earlier process.
     */
    public boolean listCompleted() {
        if (isFullList) {
            appliances.stream().filter(a -> !currentList.contains(a)).forEach(a -> a.state = Appliance.REMOVED);
        }
        appliances.removeIf(appliance -> appliance.state == Appliance.REMOVED);
        builds.forEach(build -> build.isRemoved = build != evaluatedBuild && newestBuild != null
                && !isNewestOrLater(build) && build.limit.inFlight == 0
                && appliances.stream().noneMatch(appliance -> appliance.build == build));
        builds.removeIf(build -> build.isRemoved);
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
    }

    /** Adds the build to the known ones; true if it was unknown. */
    public boolean registerBuild(Build build) {
        boolean isNew = !builds.contains(build);
        if (isNew) {
            builds.add(build);
            builds.sort((a, b) -> Integer.compare(a.number, b.number));
        }
        return isNew;
    }

    /** Makes the newest build on trial the evaluated one; true if that changed. */
    public boolean beginEvaluation() {
        Build trialBuild = trialBuild();
        boolean hasChanged = trialBuild != null && trialBuild != evaluatedBuild;
        if (hasChanged) {
            evaluatedBuild = trialBuild;
            earlierAtTrialStart = earlierAppliances();
        }
        return hasChanged;
    }

    /** Number of appliances up that run another build than the evaluated one. */
    public int earlierAppliances() {
        return builds.stream().mapToInt(build -> build == evaluatedBuild ? 0 : build.limit.appliances).sum();
    }

    /**
     * Whether the build is the newest one that the desk has reported, or newer. Before the desk's first report the
     * earliest known build counts as the one before.
     */
    public boolean isNewestOrLater(Build build) {
        if (newestBuild == null) {
            return !builds.isEmpty() && build.number > builds.get(0).number;
        }
        return build.number >= newestBuild.number;
    }

    /** Whether the build is known from the list or the desk's counts alone: it is not reported by the desk yet. */
    public boolean isUnannounced(Build build) {
        return build != newestBuild && isNewestOrLater(build);
    }

    /** Whether the build is not announced yet, or announced and not released: the exposure limit applies. */
    public boolean isOnTrial(Build build) {
        return isNewestOrLater(build) && (build != newestBuild || phase != Build.RELEASED);
    }

    /** The newest listed build if it is on trial, otherwise null; none is before the desk's first report. */
    public Build trialBuild() {
        Build last = builds.isEmpty() || newestBuild == null ? null : builds.get(builds.size() - 1);
        return last != null && isOnTrial(last) ? last : null;
    }

    /**
     * The build that RPCs with this key stay with, or go to a later one: the latest that one was sent to, of the newest
     * build, while it is active, and the unannounced ones, which count as on trial. A released build whose keys are too
     * many to remember keeps all. Null if there is none.
     */
    public Build buildKeeping(String key) {
        for (int i = builds.size() - 1; i >= 0; i--) {
            Build build = builds.get(i);
            boolean keepsKeys = isUnannounced(build) || build == newestBuild && isNewestActive();
            boolean isReleased = build == newestBuild && phase == Build.RELEASED;
            if (keepsKeys && (build.routedKeys.contains(key) || isReleased && build.routedKeys.isFull())) {
                return build;
            }
        }
        return null;
    }

    /** Whether the newest build is on trial or released: votes count and keys stay with the build. */
    public boolean isNewestActive() {
        return newestBuild != null && (phase == Build.ON_TRIAL || phase == Build.RELEASED);
    }
}
