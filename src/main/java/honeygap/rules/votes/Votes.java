package honeygap.rules.votes;

import honeygap.Ctl;
import honeygap.fleet.*;
import honeygap.rules.evidence.*;
import honeygap.rules.fit.Fit;
import honeygap.terms.Desk;

/** What does this agent stand for, and when does it tell the desk? */
public record Votes(Fleet fleet, Chance chance, Failures failures, Slowness slowness, Counts counts,
                    Desk desk, double[] waves, long onWait, Ballot mine) {

    private static final String[] VERDICTS = {"takes its vote away", "votes on", "votes hold", "votes back"};
    private static final double BACK_CHANCE = 0.95;
    private static final double ON_CHANCE = 0.65;
    /** The desk's counts must be surer: picks that jam together are no independent events. */
    private static final double COUNTED_CHANCE = 0.98;
    /** Waits after which no pick of the stage need have ended at the build. */
    private static final int UNSEEN_WAITS = 2;

    public void answered(int outcome) {
        mine.out = false;
        // Moot: the stage has moved on, as news will tell; the same call again would only fill the desk.
        mine.stood = outcome == Pick.OK || outcome == Pick.MOOT;
        // All agents speak when a stage is due; those that found no room come again spread over a round.
        mine.nextAt = outcome == Pick.FULL ? fleet.now + (long) (chance.next() * round()) : mine.nextAt;
    }

    public boolean next(Ctl ctl) {
        int verdict = verdict();
        if (mine.line != null) {
            ctl.note(mine.line);
            mine.line = null;
            return true;
        }
        if (!due(verdict)) {
            return false;
        }
        if (verdict != mine.verdict) {
            mine.line = String.format("%s: build %d, stage %d; failures %s; all %s; slowed %s; wrong %s",
                    VERDICTS[verdict], fleet.newest.number, fleet.stage, failures.fit, counts.fits,
                    slowness.slowed, failures.wrong);
        }
        mine.cast(fleet.newest, fleet.stage, verdict, fleet.now);
        mine.nextAt = fleet.now + round();
        ctl.vote(fleet.newest, fleet.stage, verdict);
        return true;
    }

    private int verdict() {
        if (!fleet.isOpen() || fleet.newest != fleet.fitted) {
            return Build.VOTE_NONE;
        }
        double slowed = slowness.slowed.worse();
        double all = counts.fits.stream().mapToDouble(Fit::worse).max().orElse(0);
        double own = Math.max(failures.fit.worse(), failures.wrong.worse()), worse = Math.max(all, own);
        // Where few voices are enough, all agents share the chance that one of them is wrong.
        double few = Math.min(1, (double) desk.noes() * desk.noes() / fleet.agents);
        boolean back = own > 1 - (1 - BACK_CHANCE) * few || all > COUNTED_CHANCE;
        if (back || slowness.lasts() && slowed > BACK_CHANCE) {
            return Build.VOTE_BACK;
        }
        if (fleet.phase == Build.RELEASED) {
            return Build.VOTE_NONE;
        }
        if (desk.gate() == Desk.AUTOMATIC) {
            return worse > Fit.HOLD_CHANCE ? Build.VOTE_HOLD : Build.VOTE_NONE;
        }
        // With no earlier appliance up a wait spares no RPC, and it can go back after the release, too.
        // A slow build convicts itself nowhere; what it does to a part of the fleet it would do to all.
        boolean doubtful = slowed > Fit.HOLD_CHANCE || failures.wrong.worse(Fit.TOLERATED) > ON_CHANCE
                || fleet.now < counts.slowAt + 2 * desk.countsEvery();
        boolean good = worse <= Fit.HOLD_CHANCE && (!doubtful || fleet.earlier() == 0);
        return good && fleet.now >= onAfter() ? Build.VOTE_ON : Build.VOTE_NONE;
    }

    /** When 'on' may be said: a wait after the last listed start of the stage's appliances. */
    private long onAfter() {
        Build newest = fleet.newest;
        long last = fleet.appliances.stream().filter(a -> a.state == Appliance.UP && a.build == newest)
                .mapToLong(a -> a.startedAt).reduce(fleet.since, Math::max);
        int wanted = fleet.stage < waves.length ? Math.max(1, (int) (waves[fleet.stage] * fleet.places)) : 1;
        // A list that lags must not hold a good build up for ever. Harm: 'on' with less of the stage seen.
        // One of many agents hears late and sends little: nothing seen is no good word. Harm: 'on' is later.
        // Where the desk's counts come they must reach into the time with all of the stage's appliances.
        long to = newest.countedTo;
        boolean counted = to == Fleet.LONG_AGO || to >= last + desk.countsEvery() / 2;
        last += counts.join ? counted ? 0 : onWait : newest.seen >= Counts.ENOUGH ? 0 : UNSEEN_WAITS * onWait;
        return onWait + (newest.room.appliances >= wanted ? last : Math.max(last, fleet.since + 2 * onWait));
    }

    /** The time in which the desk takes a vote of each agent. */
    private long round() {
        return (long) (Fleet.SECOND * fleet.agents / desk.votesPerS());
    }

    private boolean due(int verdict) {
        if (fleet.now < mine.nextAt
                || mine.out && fleet.now < mine.castAt + desk.callTimeout() + 2 * fleet.tick) {
            return false;
        }
        boolean same = mine.build == fleet.newest && mine.verdict == verdict
                && (mine.stage == fleet.stage || verdict != Build.VOTE_ON && verdict != Build.VOTE_HOLD);
        if (verdict == Build.VOTE_NONE) {
            // A vote that no longer matches its build's standing is taken away while it could still count.
            return fleet.newest != null && mine.build == fleet.newest && mine.verdict != Build.VOTE_NONE
                    && fleet.now < mine.castAt + desk.voteStands() && fleet.phase == Build.ON_TRIAL
                    && mine.stage == fleet.stage;
        }
        return !same || !mine.stood || fleet.now >= mine.castAt + desk.voteStands() * 3 / 4;
    }
}
