package honeygap.flags;

import honeygap.fleet.Build;
import java.util.HashSet;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Keeps the stages of a release where no desk does: this agent's vote is the only one and counts at once. Each
 * 'on' is a stage further, the last one releases the build, 'back' withdraws it. What to vote is not decided
 * here but by {@code Rules}. The lowest build of the first list counts as released; one build is on trial at a
 * time, and those above it wait their turn.
 */
public final class House {

    /** The way decisions go out; each call of {@link #next} makes at most one. */
    public interface Out {

        /** How a build stands: a phase of {@code Build}, its stage, its cap, since when; or a vote's answer. */
        void told(int build, int phase, int stage, double cap, boolean isVoteResponse, long since);

        /** Servers of other builds than before may be listed. */
        void list();
    }

    private final double[] capsByStage;
    private final long longAgo;
    private final SortedSet<Integer> builds = new TreeSet<>();
    private final Set<Integer> withdrawn = new HashSet<>();
    private int newestBuild = -1;
    private int phase = Build.RELEASED;
    private int stage;
    private long phaseSince;
    private long now;
    private boolean isStatusReported = true;
    private boolean areServersReported = true;
    private boolean isVoteResponse;

    /** Caps by stage, at least one; the time that stands for long ago. */
    public House(double[] capsByStage, long longAgo) {
        this.capsByStage = capsByStage;
        this.longAgo = longAgo;
    }

    public void now(long now) {
        this.now = now;
    }

    /** Builds of all servers that there are. */
    public void listed(Set<Integer> available) {
        builds.clear();
        builds.addAll(available);
        withdrawn.retainAll(available);
        if (newestBuild < 0 && !builds.isEmpty()) {
            newestBuild = builds.first();
            phaseSince = longAgo;
            isStatusReported = false;
        }
        areServersReported = false;
    }

    /** Whether servers of a build may be listed: not of one that waits its turn or was withdrawn. */
    public boolean admits(int build) {
        return build <= newestBuild && !withdrawn.contains(build);
    }

    public void voted(int build, int stage, int verdict) {
        isStatusReported = false;
        isVoteResponse = true;
        if (build != newestBuild || stage != this.stage || phase == Build.WITHDRAWN) {
            return;
        }
        // With nothing to go back to, going back would leave nobody to answer.
        boolean hasEarlier = builds.headSet(build).stream().anyMatch(this::admits);
        if (verdict == Build.VOTE_BACK && hasEarlier) {
            phase = Build.WITHDRAWN;
            withdrawn.add(build);
            phaseSince = now;
            areServersReported = false;
        } else if (verdict == Build.VOTE_ON && phase == Build.ON_TRIAL) {
            phaseSince = now;
            if (this.stage + 1 < capsByStage.length) {
                this.stage++;
            } else {
                phase = Build.RELEASED;
            }
        }
    }

    /** Makes at most one call; false when there is nothing to say now. */
    public boolean next(Out listener) {
        if (!isStatusReported) {
            boolean respondsToVote = isVoteResponse;
            isStatusReported = true;
            isVoteResponse = false;
            double cap = phase == Build.ON_TRIAL ? capsByStage[stage] : phase == Build.RELEASED ? 1 : 0;
            listener.told(newestBuild, phase, stage, cap, respondsToVote, phaseSince);
            return true;
        }
        // The next build is announced once the one before it stands, and before its servers are listed.
        SortedSet<Integer> above = builds.tailSet(newestBuild + 1);
        if (phase != Build.ON_TRIAL && !above.isEmpty() && newestBuild >= 0) {
            newestBuild = above.first();
            phase = Build.ON_TRIAL;
            stage = 0;
            phaseSince = now;
            isStatusReported = areServersReported = false;
            return next(listener);
        }
        if (!areServersReported) {
            areServersReported = true;
            listener.list();
            return true;
        }
        return false;
    }

    public int build() {
        return newestBuild;
    }

    public int phase() {
        return phase;
    }

    public int stage() {
        return stage;
    }
}
