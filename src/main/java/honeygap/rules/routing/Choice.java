package honeygap.rules.routing;

import honeygap.fleet.*;
import honeygap.rules.builds.Exposing;
import honeygap.rules.cold.ColdStarts;
import honeygap.rules.discovery.ListLease;
import honeygap.rules.evidence.Failures;
import honeygap.rules.fit.Fit;
import honeygap.rules.health.Health;
import honeygap.rules.room.Rooms;
import honeygap.rules.work.Work;
import java.util.List;

/** Which appliance gets the next pick of an RPC? */
public record Choice(Fleet fleet, Chance chance, Exposing exposing, Failures failures, Health health,
                     Rooms rooms, ColdStarts cold, Repeats repeats, ListLease lease) {

    public void sent(Pick pick) {
        if (pick.rpc.picks.size() == 1 && fleet.fitted != null) {
            fleet.sentOld = fleet.sentOld * (1 - Work.FADE) + (pick.build == fleet.fitted ? 0 : 1);
            fleet.sentNew = fleet.sentNew * (1 - Work.FADE) + (pick.build == fleet.fitted ? 1 : 0);
        }
    }

    private boolean allowed(Rpc rpc, Appliance appliance, Pick mayRun) {
        Location zone = appliance.zone;
        Build build = appliance.build;
        return appliance.state == Appliance.UP && lease.covers(appliance) && fleet.now >= appliance.barredUntil
                && (fleet.now >= zone.limitedUntil || zone.out < zone.most) && exposing.keyAllows(rpc, build)
                && repeats.reaches(rpc, mayRun, appliance) && rooms.isFree(build, rpc)
                && exposing.allows(build, rpc.method) && cold.bears(appliance, rpc);
    }

    public Appliance choose(Rpc rpc, Pick mayRun) {
        Build onTrial = fleet.trial();
        List<Appliance> all = fleet.appliances.stream().filter(a -> allowed(rpc, a, mayRun)).toList();
        List<Appliance> fresh = all.stream().filter(a -> a.build == onTrial).toList();
        // After the release: the newer.
        int last = all.stream().mapToInt(a -> a.build == onTrial ? 0 : a.build.number).max().orElse(0);
        List<Appliance> old = all.stream().filter(a -> a.build != onTrial && a.build.number >= last).toList();
        List<Appliance> bestOld = healthy(rpc, old), bestNew = healthy(rpc, fresh);
        boolean none = bestOld.isEmpty() && bestNew.isEmpty();
        Appliance ofOld = lighter(rpc, none ? old : bestOld), ofNew = lighter(rpc, none ? fresh : bestNew);
        if (ofOld == null || ofNew == null) {
            return ofOld == null ? ofNew : ofOld;
        }
        boolean failedNew = !rpc.picks.isEmpty() && rpc.picks.get(rpc.picks.size() - 1).build == onTrial;
        return !failedNew && wantsNew(rpc) ? ofNew : ofOld;
    }

    /** One draw an RPC: even until the first failure, then by theta; the earlier build's share is bounded. */
    private boolean wantsNew(Rpc rpc) {
        if (!rpc.drawn) {
            rpc.drawn = true;
            Fit fit = failures.fit;
            rpc.drawnNew = fit.failures() == 0 ? chance.next() < 0.5
                    : fit.mode() + fit.spread() * chance.normal() > 0;
        }
        double share = (double) fleet.earlier() / (fleet.earlier() + fleet.fitted.room.appliances);
        return rpc.drawnNew || fleet.sentOld > share * (fleet.sentOld + fleet.sentNew);
    }

    /** Those that are not left out now nor were tried for this RPC yet; any other is the last resort. */
    private List<Appliance> healthy(Rpc rpc, List<Appliance> from) {
        return from.stream().filter(appliance -> !health.isLeftOut(appliance, rpc)).toList();
    }

    private Appliance lighter(Rpc rpc, List<Appliance> from) {
        List<Appliance> among = from.stream().filter(appliance -> rooms.isFree(appliance.room, rpc)).toList();
        if (among.isEmpty()) {
            return null;
        }
        Appliance one = among.get((int) (chance.next() * among.size()));
        Appliance two = among.get((int) (chance.next() * among.size()));
        return burden(two) < burden(one) ? two : one;
    }

    private double burden(Appliance appliance) {
        double good = Math.max(Work.FADE, 1 - appliance.failing);    // What fails at once looks light.
        double out = appliance.room.out + appliance.others + 1;
        return out * appliance.pace / cold.warmth(appliance) / good / good;
    }
}
