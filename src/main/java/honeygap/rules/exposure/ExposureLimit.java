package honeygap.rules.exposure;

import honeygap.fleet.*;
import honeygap.settings.ExposureSettings;
import java.util.ArrayDeque;

/** Limits which RPCs may be sent to a build on trial: by stage, cap, rolling counts and routing keys. */
public record ExposureLimit(Fleet fleet, ExposureSettings exposure) {

    public void rpcReceived(Method method) {
        ArrayDeque<Long> times = fleet.methods.get(countingGroup(method)).receivedTimes;
        times.addLast(fleet.now);
        while (times.peekFirst() < fleet.now - exposure.window()) {
            times.removeFirst();    // Also while no build is on trial, otherwise the queue would grow without bound.
        }
    }

    public void pickSent(Pick pick) {
        Rpc rpc = pick.rpc;
        Build build = pick.build;
        // Also after the release, and when sending: the answer may come too late or be unreadable.
        if (exposure.stickyKeys() && rpc.key != null && fleet.isNewestOrLater(build)) {
            build.routedKeys.add(rpc.key);
        }
        if (fleet.isOnTrial(build)) {
            build.exposedPicks.addLast(new long[] {fleet.now, countingGroup(rpc.method)});
            build.exposedCounts[countingGroup(rpc.method)]++;
        }
    }

    private int countingGroup(Method method) {
        return exposure.perMethod() ? method.index : 0;
    }

    /** Whether a pick of this method may be sent to the build now, by stage, cap and rolling count. */
    public boolean allows(Build build, Method method) {
        boolean isTrial = fleet.isOnTrial(build), isLater = fleet.isUnannounced(build);
        int stage = isLater ? 0 : fleet.stage;
        // Without stages there may be no desk, which then never reports the build.
        double capWithoutStages = fleet.newestBuild == null ? 1 : 0;
        double firstCap = exposure.caps().length > 0 ? exposure.caps()[0] : capWithoutStages;
        double currentCap = fleet.phase == Build.ON_TRIAL || fleet.phase == Build.ROLLING_BACK ? fleet.cap : 0;
        double cap = !isTrial ? 0 : isLater ? firstCap : currentCap;
        if (cap <= 0 || stage < exposure.idempotentOnlyStages() && method.effect != Method.IDEMPOTENT) {
            return !isTrial;
        }
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
        return build.exposedCounts[group] + 1 <= exposure.freeAllowance() + cap * received.size();
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
