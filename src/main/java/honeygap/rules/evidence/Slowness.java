package honeygap.rules.evidence;

import honeygap.fleet.*;
import honeygap.rules.fit.Fit;
import honeygap.rules.work.Work;

/** Does the build on trial slow down every appliance, in step with its traffic? */
public final class Slowness {

    /** What is kept of the new arm each second, and how many waits it must last to send a build back. */
    private static final double SLOWED_KEPT = 0.5;
    private static final int SLOWED_WAITS = 2;
    /** Times the RPCs taken when the build came, beyond which slowness is the traffic's, not the build's. */
    private static final double BURST = 1.5;

    private final Fleet fleet;
    private final long onWait;
    public final Fit slowed;
    private long slowedSince;
    /** RPCs a second that are no further try, lately and when the build on trial came. */
    private double firstRate, rateThen;
    private long first;

    public Slowness(Fleet fleet, long onWait) {
        this.fleet = fleet;
        this.onWait = onWait;
        slowed = new Fit(fleet.methods.size());
    }

    public void begins() {
        fleet.methods.forEach(method -> method.before = method.usual);
        rateThen = firstRate;
    }

    public void taken(Rpc rpc) {
        first += rpc.retry ? 0 : 1;
    }

    public void second(long since) {
        slowed.fade(SLOWED_KEPT);
        firstRate += Work.RATE_FADE * (first * (double) Fleet.SECOND / (fleet.now - since) - firstRate);
        first = 0;
    }

    /**
     * Answers far past the usual, of all builds alike: the second effect sets those of the last seconds
     * against those before the build came. Guards against a build that slows every appliance in step with its
     * traffic. Harm: another slowdown that begins then and lasts; a passing one, or a burst of RPCs that are
     * no client's further try, only delays 'on'.
     */
    public void ended(Pick pick, int outcome, long lag) {
        Method method = pick.rpc.method;
        // While earlier appliances are there, they alone tell: those of a new build are slow by being few.
        boolean ended = outcome == Pick.OK || outcome == Pick.TIMEOUT && pick.appliance.silent == 0;
        if (pick.cold || method.usual == 0 || !ended || pick.build == fleet.fitted && fleet.earlier() > 0) {
            return;
        }
        double usual = during() && method.before > 0 ? method.before : method.usual;
        slowed.add(method.index, during(), 1, lag > Work.FAR_PAST * usual * Work.heaviness(pick.rpc) ? 1 : 0);
        if (slowed.worse() <= Fit.HOLD_CHANCE || firstRate > BURST * rateThen) {
            slowedSince = fleet.now;
        }
    }

    /** The slowness has lasted for so long that it is not another trouble that passes. */
    public boolean lasts() {
        return fleet.now >= slowedSince + SLOWED_WAITS * onWait;
    }

    private boolean during() {
        Build fitted = fleet.fitted;
        boolean isNewest = fitted == fleet.newest && fleet.phase == Build.RELEASED;
        boolean justReleased = isNewest && fleet.now < fleet.since + SLOWED_WAITS * onWait;
        return fitted != null && (fitted == fleet.trial() || justReleased);
    }
}
