package honeygap.rules.health;

import honeygap.fleet.*;
import honeygap.rules.work.Work;

/** Which appliances and locations are sick, silent or slow, and whose RPCs are bad themselves? */
public record Health(Fleet fleet) {

    /** Share of a customer's picks that must fail at earlier builds before its failures say nothing. */
    private static final double HOPELESS = 0.2;
    private static final double WAY_FADE = 1.0 / 8;
    /** Silent picks in a row before an appliance is left out, and for how many usual times of its methods. */
    private static final int SILENT_TO_LEAVE = 2;
    private static final double AWAY_USUALS = 8;

    /**
     * Shares of failures of the appliance and, at earlier builds, of the customer; false for a failure of an
     * RPC that is bad itself: no evidence, no further picks. Harm: the customer's good ones get one pick too.
     */
    public boolean heard(Pick pick, boolean failed) {
        Tenant tenant = pick.rpc.tenant;
        int bad = failed ? 1 : 0;
        tenant.failing += pick.build != fleet.fitted ? WAY_FADE * (bad - tenant.failing) : 0;
        boolean tells = !failed || !hopeless(tenant);
        pick.appliance.failing += tells ? WAY_FADE * (bad - pick.appliance.failing) : 0;
        return tells;
    }

    public static boolean hopeless(Tenant tenant) {
        return tenant.failing > HOPELESS;
    }

    public void ended(Pick pick, int outcome, long lag) {
        Appliance appliance = pick.appliance;
        if (outcome == Pick.OK) {
            appliance.silent = 0;
            appliance.awayUntil = Fleet.LONG_AGO;
            if (pick.rpc.method.usual > 0) {
                appliance.pace += 2 * Work.FADE * (lag / Work.expected(pick.rpc) - appliance.pace);
            }
        } else if (outcome == Pick.TIMEOUT || outcome == Pick.CONNECT_FAILED
                || outcome == Pick.ERROR && odd(appliance)) {
            Method method = pick.rpc.method;
            if (++appliance.silent >= SILENT_TO_LEAVE) {
                double usuals = AWAY_USUALS * (1 << Math.min(3, appliance.silent - SILENT_TO_LEAVE));
                double usual = Math.max(method.usual, method.softDeadline / 4);
                appliance.awayUntil = fleet.now + (long) (usuals * usual);
            }
        } else if (outcome != Pick.CANCELLED && outcome != Pick.MOOT) {
            appliance.silent = 0;
        }
    }

    /** The machine is sick, not its build. Harm: a build that fails at one of its first is judged later. */
    public boolean odd(Appliance appliance) {
        double others = fleet.appliances.stream().filter(a -> a != appliance && a.build == appliance.build)
                .mapToDouble(a -> a.failing).average().orElse(1);
        return appliance.failing > Math.max(HOPELESS, Work.FAR_PAST * others);
    }

    public void way(Location zone, Rpc rpc, int outcome, long lag) {
        boolean isOk = outcome == Pick.OK;
        if (rpc.method.usual > 0 && (isOk || outcome == Pick.TIMEOUT || outcome == Pick.CONNECT_FAILED)) {
            double seen = Math.max(lag / Work.expected(rpc), isOk ? 0 : 2 * Work.FAR_PAST);
            zone.pace += WAY_FADE * (Math.min(seen, 4 * Work.FAR_PAST) - zone.pace);
        }
    }

    /**
     * A location whose answers take far longer than the best one's is left out but for a pick now and then.
     * Guards against slow, lossy or cut links and slowness of one place. Harm: the others carry its part.
     */
    public boolean away(Location zone) {
        return fleet.locations.stream().anyMatch(other -> zone.pace > Work.FAR_PAST * other.pace);
    }

    /** Is the appliance left out for now, or was it tried for this RPC? Then it is a last resort. */
    public boolean isLeftOut(Appliance appliance, Rpc rpc) {
        Location zone = appliance.zone;
        return fleet.now < appliance.awayUntil
                || away(zone) && fleet.now < zone.sentAt + AWAY_USUALS * rpc.method.softDeadline
                || appliance.silent >= SILENT_TO_LEAVE && appliance.room.out > 0
                || rpc.picks.stream().anyMatch(pick -> pick.appliance == appliance);
    }
}
