package honeygap;

import honeygap.fleet.Appliance;
import honeygap.fleet.Build;
import honeygap.fleet.Location;
import honeygap.fleet.Fleet;
import honeygap.fleet.Method;
import honeygap.fleet.Rpc;
import honeygap.fleet.Tenant;
import honeygap.terms.Cold;
import honeygap.terms.Desk;
import honeygap.terms.Exposure;
import honeygap.terms.Listing;
import honeygap.terms.Tries;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One agent's rules under test: a small fleet, a clock, and the decisions written down as words. */
final class Agency implements Ctl {

    static final long SECOND = 10_000;

    final List<Method> methods = new ArrayList<>();
    final List<Appliance> fleet = new ArrayList<>();
    final Map<Integer, Location> zones = new HashMap<>();
    final List<String> said = new ArrayList<>();
    final List<Rpc> sent = new ArrayList<>();
    final Build old = new Build(1, 3);
    final Build fresh = new Build(2, 3);
    final Rules rules;
    long now = 100 * SECOND;
    Tenant tenant = new Tenant();
    /** How long the last pick may take. */
    long within;
    private int rpcs;

    Agency(long seed, int agents, Tries tries, Listing listing, Desk desk,
           Exposure exposure, int scope) {
        for (int effect = 0; effect < 3; effect++) {
            methods.add(new Method(effect, effect, scope, 2 * SECOND, SECOND, 3 * SECOND, 1, 0));
        }
        rules = new Rules(now, seed, agents, 50, methods, tries, listing,
                new Cold(0.4, 4 * SECOND, 2.5, SECOND), desk, exposure);
        rules.told(old, Build.RELEASED, 0, 1, false, now, 0);
    }

    /** Plain: three picks, a pushed list, 20% in the only shielded stage, one-way keys. */
    static Agency plain(int gate, int scope) {
        return one(7, 2, gate, scope);
    }

    /** One of so many agents, each with a seed of its own. */
    static Agency one(long seed, int agents, int gate, int scope) {
        return new Agency(seed, agents, new Tries(3, true, SECOND / 2),
                new Listing(false, false, 10 * SECOND, 0),
                new Desk(gate, 6 * SECOND, 2 * SECOND, SECOND, 1, 30, 1, 2 * SECOND),
                new Exposure(new double[] {0.2, 1}, new double[] {0.2, 1}, 2 * SECOND, 1, false, 1,
                        true), scope);
    }

    Appliance list(int id, Build build, int zone, int cell, int state, long startedAt) {
        Appliance appliance = fleet.stream().filter(a -> a.id == id).findFirst().orElseGet(() -> {
            fleet.add(new Appliance(id));
            return fleet.get(fleet.size() - 1);
        });
        rules.listBegins(false, false);
        Location location = zones.computeIfAbsent(zone, z -> new Location());
        rules.listed(appliance, build, location, cell, state, startedAt);
        rules.listEnds();
        return appliance;
    }

    Appliance warm(int id, Build build) {
        return list(id, build, 0, 0, Appliance.UP, Fleet.LONG_AGO);
    }

    Agency after(long time) {
        now += time;
        rules.now(now);
        return this;
    }

    Rpc take(int method, String key) {
        Rpc rpc = new Rpc("rpc" + rpcs++, methods.get(method), tenant, key, now, now + 3 * SECOND, 0, false);
        rules.taken(rpc);
        return rpc;
    }

    /** Pulls all decisions; what was said, without the wake-up calls. */
    String pull() {
        said.clear();
        while (rules.next(this)) {
            if (said.size() > 10_000) {
                throw new IllegalStateException("no end of decisions");
            }
        }
        return String.join(" ", said);
    }

    void end(Rpc rpc, int outcome) {
        int index = rpc.picks.size() - 1;
        rules.ended(rpc, index, outcome, outcome == 0, now - rpc.picks.get(index).sentAt);
    }

    /** One RPC after another, each answered after this time. */
    void answer(int times, long lag, int zone, long zoneLag) {
        for (int i = 0; i < times; i++) {
            after(200);
            Rpc rpc = take(0, null);
            pull();
            if (rpc.out > 0) {
                boolean there = rpc.picks.get(0).appliance.zone == zones.get(zone);
                after(there ? zoneLag : lag);
                end(rpc, 0);
            }
        }
    }

    /** One RPC after another, each answered at once: ok, or with this outcome on the fresh build. */
    void serve(int times, int method, int outcomeOnFresh) {
        for (int i = 0; i < times; i++) {
            after(200);
            Rpc rpc = take(method, null);
            pull();
            after(500);
            boolean isFresh = !rpc.picks.isEmpty() && rpc.picks.get(rpc.picks.size() - 1).build == fresh;
            if (rpc.out > 0) {
                end(rpc, isFresh ? outcomeOnFresh : 0);
            }
            while (!rpc.closed) {
                pull();
                if (rpc.out > 0) {
                    end(rpc, 0);
                }
            }
        }
    }

    @Override
    public void pick(Rpc rpc, Appliance appliance, long within) {
        sent.add(rpc);
        this.within = within;
        said.add("pick" + appliance.id);
    }

    @Override
    public void pushBack(Rpc rpc, long stayAway) {
        said.add("pushback");
    }

    @Override
    public void abort(Rpc rpc) {
        said.add("abort");
    }

    @Override
    public void cancel(Rpc rpc, int pick) {
        said.add("cancel");
    }

    @Override
    public void probe(Appliance appliance) {
        said.add("probe" + appliance.id);
    }

    @Override
    public void vote(Build build, int stage, int verdict) {
        said.add("vote" + verdict);
    }

    @Override
    public void watch() {
        said.add("watch");
    }

    @Override
    public void fetch() {
        said.add("fetch");
    }

    @Override
    public void wake(long delay) {
        // Waking is the host's business here: each test moves the clock.
    }

    @Override
    public void note(String line) {
        // Notes are for people.
    }
}
