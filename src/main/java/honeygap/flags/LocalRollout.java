package honeygap.flags;

import honeygap.fleet.Build;
import java.util.HashSet;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Tracks the stages of a rollout when no release desk is configured: the vote of this agent is the only one and takes
 * effect at once. Each vote to advance starts the next stage, the one at the last stage releases the build, and a vote
 * to roll back withdraws it. Votes are decided by {@code DecisionEngine}, not here. The lowest build of the first list
 * counts as released. One build is on trial at a time; higher builds wait until its trial has ended.
 */
public final class LocalRollout {

    /** Receives the decisions; each call of {@link #next} makes at most one call. */
    public interface Listener {

        /** The status of a build: its phase (a constant of {@code Build}), stage, cap and time of the last change. */
        void statusChanged(int build, int phase, int stage, double cap, boolean isVoteResponse, long since);

        /** The set of servers, or of builds whose servers may be listed, has changed. */
        void serversChanged();
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

    /** At least one stage is required; {@code longAgo} is the time used for a build released before the start. */
    public LocalRollout(double[] capsByStage, long longAgo) {
        this.capsByStage = capsByStage;
        this.longAgo = longAgo;
    }

    public void setNow(long now) {
        this.now = now;
    }

    /** Sets the builds of all configured servers. */
    public void setAvailableBuilds(Set<Integer> available) {
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

    /** Whether the servers of a build may be listed: not while it waits for its trial, nor after it was withdrawn. */
    public boolean admits(int build) {
        return build <= newestBuild && !withdrawn.contains(build);
    }

    /** Applies a vote of this agent; a vote on any other build or stage than the current one changes nothing. */
    public void recordVote(int build, int stage, int verdict) {
        isStatusReported = false;
        isVoteResponse = true;
        if (build != newestBuild || stage != this.stage || phase == Build.WITHDRAWN) {
            return;
        }
        // Without an earlier build to roll back to, a rollback would leave no server to answer.
        boolean hasEarlier = builds.headSet(build).stream().anyMatch(this::admits);
        if (verdict == Build.VOTE_ROLLBACK && hasEarlier) {
            phase = Build.WITHDRAWN;
            withdrawn.add(build);
            phaseSince = now;
            areServersReported = false;
        } else if (verdict == Build.VOTE_ADVANCE && phase == Build.ON_TRIAL) {
            phaseSince = now;
            if (this.stage + 1 < capsByStage.length) {
                this.stage++;
            } else {
                phase = Build.RELEASED;
            }
        }
    }

    /** Makes at most one call; returns false when there is nothing to report. */
    public boolean next(Listener listener) {
        if (!isStatusReported) {
            boolean respondsToVote = isVoteResponse;
            isStatusReported = true;
            isVoteResponse = false;
            double cap = phase == Build.ON_TRIAL ? capsByStage[stage] : phase == Build.RELEASED ? 1 : 0;
            listener.statusChanged(newestBuild, phase, stage, cap, respondsToVote, phaseSince);
            return true;
        }
        // The next build is reported after the trial of the previous one has ended, and before its servers are listed.
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
            listener.serversChanged();
            return true;
        }
        return false;
    }

    /** The newest build whose rollout has begun, or -1 if there is none. */
    public int newestBuild() {
        return newestBuild;
    }

    /** The phase of that build, a constant of {@code Build}. */
    public int phase() {
        return phase;
    }

    public int stage() {
        return stage;
    }
}
