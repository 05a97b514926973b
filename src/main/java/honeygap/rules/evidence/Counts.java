package honeygap.rules.evidence;

import honeygap.fleet.*;
import honeygap.rules.fit.Fit;
import honeygap.rules.work.Work;
import honeygap.terms.Desk;
import java.util.List;

/** What do the desk's counts of all agents' picks say of the build on trial? */
public final class Counts {

    /** Times its own picks that the desk must sample for its counts to join, and failures beneath notice. */
    private static final double SAMPLED_TO_JOIN = 2;
    private static final double BENEATH_NOTICE = 0.02;
    /** Picks that must have ended for a word on a build. */
    public static final int ENOUGH = 8;

    private final Fleet fleet;
    /** Do the counts join the agent's own picks? */
    public final boolean join;
    /** The first effect once more for each method, and when its last counts came. */
    public List<Fit> fits = List.of();
    private long countedAt;
    /** When a count last said that good answers of the build on trial take far more than is usual. */
    public long slowAt = Fleet.LONG_AGO;
    private final long every;
    private int last;

    public Counts(Fleet fleet, Desk desk) {
        this.fleet = fleet;
        every = desk.countsEvery();
        join = fleet.agents * desk.sampledShare() >= SAMPLED_TO_JOIN;
    }

    public void begins() {
        fits = fleet.methods.stream().map(method -> new Fit(1)).toList();
        countedAt = Fleet.LONG_AGO;
        slowAt = Fleet.LONG_AGO;
    }

    /**
     * What the desk counted of all agents in a period: a group of tied events a method, where it samples more
     * than this agent sees, so that hundreds of agents with few RPCs need not wait for failures of their own.
     * Failures beneath notice are added to both arms: a cold start must not convict. Harm: late.
     */
    public void counted(Build build, Method method, long many, long bad, long mean) {
        if (fleet.fitted == null || !join) {
            return;
        }
        // A period's counts come one after another: apart, no group would hold both builds, and say nothing.
        if (fleet.now > countedAt + every / 2) {
            countedAt = fleet.now;
            fits.forEach(counts -> last = counts.open(1));
        }
        // One method that fails barely moves an effect of all. The first group remembers the earlier build.
        Fit counts = fits.get(method.index);
        boolean isNew = build == fleet.fitted;
        boolean isSlow = isNew && method.usual > 0 && many >= ENOUGH && mean > Fit.TOLERATED * method.usual;
        slowAt = isSlow ? fleet.now : slowAt;
        // Where even its good answers are far past the usual its few appliances are jammed: no evidence.
        if (isNew && method.usual > 0 && mean > Work.FAR_PAST * method.usual) {
            return;
        }
        boolean alone = isNew && fleet.earlier() == 0;
        counts.add(alone ? 0 : last, isNew, many, bad + BENEATH_NOTICE * many);
        counts.add(0, false, isNew ? 0 : many, isNew ? 0 : bad + BENEATH_NOTICE * many);
    }
}
