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
    public long before;
    public final long tick;
    /** How many agents there are. */
    public final int agents;
    public final List<Method> methods;

    /** What the list has named: appliances, where they stand, and their builds in order of number. */
    public final List<Appliance> appliances = new ArrayList<>();
    public final List<Location> locations = new ArrayList<>();
    public final List<Build> builds = new ArrayList<>();
    /** What the list at hand has named so far, and of which kind it is. */
    public final List<Appliance> named = new ArrayList<>();
    private boolean fullList;
    private boolean diskList;

    /** The rollout as the desk told it last. */
    public Build newest;
    public int phase = Build.RELEASED;
    public int stage;
    public double cap;
    public long since;
    /** When the desk told it, at the latest: what is told in a turn may have come at any time since the one before. */
    public long toldAt = LONG_AGO;
    /** The build that the fits are of, all others being the earlier one. */
    public Build fitted;
    /** Earlier appliances that were up when it came. */
    public int places;
    /** First picks at the earlier builds and at the fitted one, old ones fading. */
    public double sentOld;
    public double sentNew;
    /** Work taken, and answered by warm appliances, in this second; what a warm one gets a time unit. */
    public double takenWork;
    public double warmWork;
    public double warmRate;
    /** Further picks against those allowed: at most 0. */
    public double further;

    public Fleet(long now, long tick, int agents, List<Method> methods) {
        this.now = now;
        this.before = now;
        this.tick = Math.max(1, tick);
        this.agents = Math.max(1, agents);
        this.methods = methods;
    }

    public void listBegins(boolean full, boolean disk) {
        fullList = full;
        diskList = disk;
        named.clear();
    }

    /** True for a fresh start, or another build, under its id: a new process, perhaps a new machine. */
    public boolean listed(Appliance appliance, Build build, Location zone, int cell, int state,
                          long startedAt) {
        named.add(appliance);
        if (!appliances.contains(appliance)) {
            appliances.add(appliance);
        }
        if (!locations.contains(zone)) {
            locations.add(zone);
        }
        boolean isFresh = appliance.startedAt != startedAt || appliance.build != build;
        appliance.build = build;
        appliance.zone = zone;
        appliance.cell = cell;
        appliance.state = state;
        appliance.startedAt = startedAt;
        return isFresh;
    }

    /**
     * What the whole list has not named is gone; builds leave with their last appliance and pick. True where it
     * is a list of an earlier process.
     */
    public boolean listEnds() {
        if (fullList) {
            appliances.stream().filter(a -> !named.contains(a)).forEach(a -> a.state = Appliance.GONE);
        }
        appliances.removeIf(appliance -> appliance.state == Appliance.GONE);
        builds.forEach(build -> build.left = build != fitted && newest != null && !isNew(build)
                && build.room.out == 0 && appliances.stream().noneMatch(one -> one.build == build));
        builds.removeIf(build -> build.left);
        builds.forEach(build -> build.room.appliances = 0);
        appliances.forEach(one -> one.build.room.appliances += one.state == Appliance.UP ? 1 : 0);
        return diskList;
    }

    public void told(Build build, int phase, int stage, double cap, long since) {
        if (build != newest) {
            builds.stream().filter(b -> b.number < build.number).forEach(b -> b.keys.clear());
        }
        build.seen = build == newest && stage == this.stage ? build.seen : 0;
        newest = build;
        this.phase = phase;
        this.stage = stage;
        this.cap = cap;
        this.since = since;
        toldAt = before;
    }

    /** True where this build is new here. */
    public boolean add(Build build) {
        boolean isNew = !builds.contains(build);
        if (isNew) {
            builds.add(build);
            builds.sort((a, b) -> Integer.compare(a.number, b.number));
        }
        return isNew;
    }

    /** The newest build on trial is the one to fit; true where that has changed. */
    public boolean begins() {
        Build trial = trial();
        boolean begins = trial != null && trial != fitted;
        if (begins) {
            fitted = trial;
            places = earlier();
        }
        return begins;
    }

    /** Appliances up of other builds than the one that the fit is of. */
    public int earlier() {
        return builds.stream().mapToInt(build -> build == fitted ? 0 : build.room.appliances).sum();
    }

    public boolean isNew(Build build) {
        return newest != null && build.number >= newest.number;
    }

    /** Not yet announced, or announced and not released: what the exposure rule calls on trial. */
    public boolean onTrial(Build build) {
        return isNew(build) && (build != newest || phase != Build.RELEASED);
    }

    public Build trial() {
        Build last = builds.isEmpty() ? null : builds.get(builds.size() - 1);
        return last != null && onTrial(last) ? last : null;
    }

    /** The newest build has met this key; null is none. */
    public boolean isMet(String key) {
        return newest != null && newest.keys.contains(key);
    }

    /** The phases in which votes count, and in which keys stay with the build. */
    public boolean isOpen() {
        return newest != null && (phase == Build.ON_TRIAL || phase == Build.RELEASED);
    }
}
