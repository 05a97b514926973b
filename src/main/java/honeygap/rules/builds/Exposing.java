package honeygap.rules.builds;

import honeygap.fleet.*;
import honeygap.terms.Exposure;
import java.util.ArrayDeque;

/** May this RPC go to this build now, by stage, cap, rolling counts and keys? */
public record Exposing(Fleet fleet, Exposure exposure) {

    public void taken(Method method) {
        ArrayDeque<Long> times = fleet.methods.get(group(method)).takenAt;
        times.addLast(fleet.now);
        while (times.peekFirst() < fleet.now - exposure.window()) {
            times.removeFirst();    // Also while no build is on trial, or they would pile up for ever.
        }
    }

    public void sent(Pick pick) {
        Rpc rpc = pick.rpc;
        Build build = pick.build;
        // Also after the release, and before any answer, which may come too late or not be readable.
        if (exposure.keysStay() && rpc.key != null && fleet.isNew(build)) {
            build.keys.add(rpc.key);
        }
        if (fleet.onTrial(build)) {
            build.exposed.addLast(new long[] {fleet.now, group(rpc.method)});
            build.exposedOf[group(rpc.method)]++;
        }
    }

    private int group(Method method) {
        return exposure.perMethod() ? method.index : 0;
    }

    /** May a pick of this method go to the build on trial now: stage, cap and rolling count. */
    public boolean allows(Build build, Method method) {
        boolean isTrial = fleet.onTrial(build), isLater = isTrial && build.number > fleet.newest.number;
        int at = isLater ? 0 : fleet.stage;
        double first = exposure.caps().length > 0 ? exposure.caps()[0] : 0;
        double told = fleet.phase == Build.ON_TRIAL || fleet.phase == Build.REVERTING ? fleet.cap : 0;
        double share = !isTrial ? 0 : isLater ? first : told;
        if (share <= 0 || at < exposure.shielded() && method.effect != Method.IDEMPOTENT) {
            return !isTrial;
        }
        int group = group(method);
        // Picks are counted over a little more than the window, RPCs over a little less.
        ArrayDeque<Long> taken = fleet.methods.get(group).takenAt;
        while (!taken.isEmpty() && taken.peekFirst() <= fleet.now - exposure.window() + 2 * fleet.tick) {
            taken.removeFirst();
        }
        long from = fleet.now - exposure.window() - 2 * fleet.tick;
        while (!build.exposed.isEmpty() && build.exposed.peekFirst()[0] < from) {
            build.exposedOf[(int) build.exposed.removeFirst()[1]]--;
        }
        return build.exposedOf[group] + 1 <= exposure.uncounted() + share * taken.size();
    }

    /** A key that the new build has answered goes to no earlier one, until the build goes back. */
    public boolean keyAllows(Rpc rpc, Build build) {
        return !exposure.keysStay() || !fleet.isOpen() || fleet.isNew(build) || !fleet.isMet(rpc.key);
    }
}
