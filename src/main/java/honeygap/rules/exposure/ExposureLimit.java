package honeygap.rules.exposure;

import honeygap.fleet.*;
import honeygap.settings.ExposureSettings;
import java.util.ArrayDeque;

/**
 * Limits which RPCs may be sent to a build on trial: by stage, cap, rolling counts and routing keys. The window of the
 * cap is about what appliances receive: a pick counts in it from the time at which its request was written. Until then
 * it holds a place, which does not age.
 */
public record ExposureLimit(Fleet fleet, ExposureSettings exposure) {

    public void rpcReceived(Method method) {
        ArrayDeque<Long> times = fleet.methods.get(countingGroup(method)).receivedTimes;
        times.addLast(fleet.now);
        while (times.peekFirst() < fleet.now - exposure.window()) {
            times.removeFirst();    // Also while no build is on trial, otherwise the queue would grow without bound.
        }
    }

    /** A pick was decided, and holds a place in the window. */
    public void pickDecided(Pick pick) {
        pick.build.decidedCounts[countingGroup(pick.rpc.method)]++;
    }

    /** Keeps the key with the build: also after the release, and before an answer, which may be lost or unreadable. */
    public void pickSent(Pick pick) {
        Build build = pick.build;
        int group = countingGroup(pick.rpc.method);
        build.decidedCounts[group]--;
        build.sendingCounts[group]++;
        if (exposure.stickyKeys() && pick.rpc.key != null && fleet.isNewestOrLater(build)) {
            build.routedKeys.add(pick.rpc.key);
        }
    }

    /** The whole request of a pick was written at this time. */
    public void pickWritten(Pick pick, long writtenAt) {
        Build build = pick.build;
        int group = countingGroup(pick.rpc.method);
        build.sendingCounts[group]--;
        if (fleet.isOnTrial(build)) {
            build.exposedPicks.addLast(new long[] {writtenAt, group});
            build.exposedCounts[group]++;
        }
    }

    /** A pick ends, in the state that it still has: one that was not written gives up its place in the window. */
    public void pickEnded(Pick pick) {
        int group = countingGroup(pick.rpc.method);
        pick.build.decidedCounts[group] -= pick.state == PickState.DECIDED ? 1 : 0;
        pick.build.sendingCounts[group] -= pick.state == PickState.SENT ? 1 : 0;
    }

    private int countingGroup(Method method) {
        return exposure.perMethod() ? method.index : 0;
    }

    /** The share of the RPCs that a build on trial may receive. */
    private double cap(Build build) {
        if (fleet.isUnannounced(build)) {
            // Without stages there may be no desk, which then never reports the build.
            double capWithoutStages = fleet.newestBuild == null ? 1 : 0;
            return exposure.caps().length > 0 ? exposure.caps()[0] : capWithoutStages;
        }
        return fleet.phase == Build.ON_TRIAL || fleet.phase == Build.ROLLING_BACK ? fleet.cap : 0;
    }

    /** Whether the build takes RPCs of this method in its stage at all. */
    private boolean isOpenTo(Build build, Method method) {
        int stage = fleet.isUnannounced(build) ? 0 : fleet.stage;
        boolean isStageClosed = stage < exposure.idempotentOnlyStages() && method.effect != Method.IDEMPOTENT;
        return !fleet.isOnTrial(build) || cap(build) > 0 && !isStageClosed;
    }

    /** Whether a further pick of this method may be decided for the build, by stage, cap and rolling count. */
    public boolean allows(Build build, Method method) {
        int places = build.decidedCounts[countingGroup(method)] + 1;
        return isOpenTo(build, method) && (!fleet.isOnTrial(build) || isWithinCap(build, method, places));
    }

    /** Whether a pick that was decided may be sent now, by stage, cap and rolling count. */
    public boolean allowsSending(Pick pick) {
        Method method = pick.rpc.method;
        return isOpenTo(pick.build, method) && (!fleet.isOnTrial(pick.build) || isWithinCap(pick.build, method, 1));
    }

    /** Whether this number of picks could be sent now, besides those that are being written or were. */
    private boolean isWithinCap(Build build, Method method, int picks) {
        int group = countingGroup(method);
        // Picks are counted over two ticks more than the window, RPCs over two ticks less.
        ArrayDeque<Long> received = fleet.methods.get(group).receivedTimes;
        while (!received.isEmpty() && received.peekFirst() <= fleet.now - exposure.window() + 2 * fleet.tick) {
            received.removeFirst();
        }
        long from = fleet.now - exposure.window() - 2 * fleet.tick;
        while (!build.exposedPicks.isEmpty() && build.exposedPicks.peekFirst()[0] < from) {
            build.exposedCounts[(int) build.exposedPicks.removeFirst()[1]]--;
        }
        return build.exposedCounts[group] + build.sendingCounts[group] + picks <= exposure.freeAllowance() + cap(build) * received.size();
    }

    /**
     * Whether the key of the RPC can be kept with the build. Where no further key can, a build that is not released gets
     * no new ones.
     */
    public boolean canKeepKey(Build build, Rpc rpc) {
        boolean isKept = exposure.stickyKeys() && rpc.key != null && fleet.isOnTrial(build);
        return !isKept || !build.routedKeys.isFull() || build.routedKeys.contains(rpc.key);
    }

    /**
     * A key that was sent to a build on trial or released is not sent to an earlier one until that build is rolled back.
     * A build that the list has and the desk has not reported yet is on trial. Null: the RPC may go to all builds.
     */
    public Build earliestBuildFor(Rpc rpc) {
        return exposure.stickyKeys() && rpc.key != null ? fleet.buildKeeping(rpc.key) : null;
    }
}
