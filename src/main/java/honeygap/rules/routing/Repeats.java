package honeygap.rules.routing;

import honeygap.fleet.*;
import honeygap.rules.health.Health;
import honeygap.rules.shutdown.Shutdown;
import honeygap.rules.work.Work;

/** May an RPC be sent again, where, and how long may each pick take? */
public record Repeats(Fleet fleet, Shutdown shutdown, int most) {

    /** Further picks after ones that may have run, as a share of the RPCs taken: they must not feed a jam. */
    private static final double FURTHER_SHARE = 0.1;
    private static final double FURTHER_MOST = 10;
    /** Part of the time left to the soft deadline after which a pick that may be repeated is given up. */
    private static final double PATIENCE = 0.6;
    /** A further pick must still have this many times the method's usual time before the soft deadline. */
    private static final double ROOM_FOR_MORE = 1.5;

    /** An agent may be held up for so long between reading its clock and writing; tenths of a millisecond. */
    private static final long HELD_UP_MOST = 1500;

    public void taken() {
        fleet.further = Math.min(0, fleet.further + FURTHER_SHARE);
    }

    public void sent(Pick mayRun) {
        fleet.further -= mayRun != null ? 1 : 0;
    }

    public static Pick firstThatMayRun(Rpc rpc) {
        return rpc.picks.stream().filter(pick -> pick.outcome != Pick.FULL && pick.outcome != Pick.MOOT
                && pick.outcome != Pick.CONNECT_FAILED).findFirst().orElse(null);
    }

    /** Why there is no time or leave for a pick now, where this earlier one may have run; null where there is. */
    public GivenUp mayNotTry(Rpc rpc, Pick mayRun) {
        if (fleet.now >= shutdown.deadline(rpc) - 2 * fleet.tick) {
            return GivenUp.OUT_OF_TIME;
        }
        if (rpc.picks.size() >= most) {
            return GivenUp.OUT_OF_TRIES;
        }
        boolean mayFollow = mayRun == null || mayFollow(rpc.method) && !Health.hopeless(rpc.tenant);
        return mayFollow ? null : GivenUp.MAY_HAVE_RUN;
    }

    private boolean mayFollow(Method method) {
        return method.effect != Method.NON_IDEMPOTENT && fleet.further >= 1 - FURTHER_MOST;
    }

    /** Does the appliance drop a repeat of the pick that may have run, if one must be dropped? */
    public boolean reaches(Rpc rpc, Pick mayRun, Appliance appliance) {
        Method method = rpc.method;
        return mayRun == null || method.effect != Method.TOKENED
                || fleet.now < mayRun.sentAt + method.tokenWindow - 4 * fleet.tick - HELD_UP_MOST
                && (method.scope == Method.SCOPE_ALL
                || method.scope == Method.SCOPE_ZONE && appliance.zone == mayRun.appliance.zone
                || method.scope == Method.SCOPE_CELL && appliance.cell == mayRun.appliance.cell);
    }

    /** Is it harmless for the client to try again? */
    public static boolean isHarmless(Method method, Pick mayRun) {
        return mayRun == null || method.effect == Method.IDEMPOTENT
                || method.effect == Method.TOKENED && method.scope == Method.SCOPE_ALL;
    }

    /** How long a pick may take: under the deadline only where another may follow and still be in time. */
    public long within(Rpc rpc, boolean young) {
        long left = Math.max(1, shutdown.deadline(rpc) - fleet.now);
        Method method = rpc.method;
        long soft = rpc.takenAt + method.softDeadline - fleet.now;
        // Few and cold, the appliances of a new build are slow at first: giving up early would convict it.
        if (young || rpc.picks.size() >= most || !mayFollow(method) || method.usual == 0) {
            return left;
        }
        // A heavy RPC is not given up for being heavy.
        double expected = Work.expected(rpc);
        long patience = (long) Math.max(PATIENCE * Math.min(soft, left), Work.FAR_PAST * expected);
        return soft - patience < ROOM_FOR_MORE * expected ? left : Math.max(1, Math.min(left, patience));
    }
}
