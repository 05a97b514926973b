package honeygap.rules.evidence;

import honeygap.fleet.*;
import honeygap.rules.fit.Fit;
import honeygap.rules.health.Health;
import honeygap.rules.work.Work;

/** What do this agent's own failures, and wrong answers, say of the build on trial? */
public final class Failures {

    private final Fleet fleet;
    private final Health health;
    /** The first effect, by risk sets in flight, which also routes. */
    public Fit fit;
    /** The third one: answers reported wrong, and failures by picks that ended. */
    public Fit wrong;

    public Failures(Fleet fleet, Health health) {
        this.fleet = fleet;
        this.health = health;
        begins();
    }

    /** A new build starts new fits. */
    public void begins() {
        fit = new Fit(0);
        wrong = new Fit(2 * fleet.methods.size());
    }

    /** Errors, time-outs, resets and failed connections are events, the failing pick still at risk. */
    public void judge(Pick pick, int outcome) {
        boolean failed = outcome == Pick.ERROR || outcome == Pick.RESET;
        boolean slow = outcome == Pick.TIMEOUT || outcome == Pick.CONNECT_FAILED;
        boolean word = failed || outcome == Pick.OK;
        boolean fair = !word || health.heard(pick, failed);
        pick.build.seen += word ? 1 : 0;
        // Connections to a location that break at once are one event: it is lost, not the build there.
        boolean again = outcome == Pick.RESET && fleet.now < pick.zone.brokeAt + pick.rpc.method.usual;
        pick.zone.brokeAt = outcome == Pick.RESET ? fleet.now : pick.zone.brokeAt;
        boolean tells = outcome == Pick.OK || slow || failed && !again && fair && !health.odd(pick.appliance);
        Build fitted = fleet.fitted;
        if (fitted == null || !tells) {
            return;
        }
        // Strata by method: methods kept from the trial build, or failing by nature, say nothing of it.
        int method = pick.rpc.method.index;
        boolean isNew = pick.build == fitted;
        int old = fleet.builds.stream().mapToInt(b -> b == fitted ? 0 : b.out(slow)[method]).sum();
        // A silent appliance is one event however many picks it held, and a cold one may time out by being
        // cold: neither must convict its build. Harm: a build that only ever times out is judged later.
        if (failed && (old > 0 || !isNew) || slow && pick.appliance.silent == 0 && !pick.cold) {
            fit.event(old, fitted.out(slow)[method], isNew);
        }
        if (slow) {
            return;
        }
        // Slow picks swell the risk set in flight, and of many agents each has few out: set against the
        // picks that ended lately a build that fails shows sooner. With no earlier build up, all that these
        // did since the trial began stands in. Harm: errors that begin elsewhere just then.
        int bad = failed ? 1 : 0;
        // The last 64 or so: longer, and a build that takes over the traffic would be charged for its share.
        fleet.builds.forEach(build -> build.ended[method] *= 1 - Work.FADE / 2);
        pick.build.ended[method]++;
        double ended = fleet.builds.stream().mapToDouble(b -> b == fitted ? 0 : b.ended[method]).sum();
        boolean alone = fleet.earlier() == 0;
        wrong.add(method, isNew, 1 - bad, 0);
        wrong.add(fleet.methods.size() + method, isNew, isNew && !alone ? 0 : 1, isNew && !alone ? 0 : bad);
        if (failed && !alone) {
            wrong.event(ended, fitted.ended[method], isNew);
        }
    }

    /** A wrong answer, reported late and now and then by mistake: an event of the third effect. */
    public void contested(Build build, Method method) {
        if (fleet.fitted != null) {
            wrong.add(method.index, build == fleet.fitted, 0, 1);
        }
    }
}
