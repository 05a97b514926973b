package honeygap.rules.builds;

import honeygap.fleet.*;
import honeygap.terms.Exposure;
import java.util.ArrayDeque;

/** May this RPC go to this build now, by stage, cap, rolling counts and keys? */
public record ExposureLimit(Fleet fleet, Exposure exposure) {

    public void rpcReceived(Method method) {
        ArrayDeque<Long> times = fleet.methods.get(countingGroup(method)).receivedTimes;
        times.addLast(fleet.now);
        while (times.peekFirst() < fleet.now - exposure.window()) {
            times.removeFirst();    // Also while no build is on trial, or they would pile up for ever.
        }
    }

    public void pickSent(Pick pick) {
        Rpc rpc = pick.rpc;
        Build build = pick.build;
        // Also after the release, and before any answer, which may come too late or not be readable.
        if (exposure.keysStay() && rpc.key != null && fleet.isNewestOrLater(build)) {
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

    /** May a pick of this method go to the build on trial now: stage, cap and rolling count. */
    public boolean allows(Build build, Method method) {
        boolean isTrial = fleet.isOnTrial(build), isLater = isTrial && build.number > fleet.newestBuild.number;
        int stage = isLater ? 0 : fleet.stage;
        double firstCap = exposure.caps().length > 0 ? exposure.caps()[0] : 0;
        double currentCap = fleet.phase == Build.ON_TRIAL || fleet.phase == Build.REVERTING ? fleet.cap : 0;
        double cap = !isTrial ? 0 : isLater ? firstCap : currentCap;
        if (cap <= 0 || stage < exposure.shielded() && method.effect != Method.IDEMPOTENT) {
            return !isTrial;
        }
        int group = countingGroup(method);
        // Picks are counted over a little more than the window, RPCs over a little less.
        ArrayDeque<Long> received = fleet.methods.get(group).receivedTimes;
        while (!received.isEmpty() && received.peekFirst() <= fleet.now - exposure.window() + 2 * fleet.tick) {
            received.removeFirst();
        }
        long from = fleet.now - exposure.window() - 2 * fleet.tick;
        while (!build.exposedPicks.isEmpty() && build.exposedPicks.peekFirst()[0] < from) {
            build.exposedCounts[(int) build.exposedPicks.removeFirst()[1]]--;
        }
        return build.exposedCounts[group] + 1 <= exposure.uncounted() + cap * received.size();
    }

    /** A key that the new build has answered goes to no earlier one, until the build goes back. */
    public boolean allowsKey(Rpc rpc, Build build) {
        return !exposure.keysStay() || !fleet.isRolloutCurrent() || fleet.isNewestOrLater(build) || !fleet.isRoutedToNewest(rpc.key);
    }
}
