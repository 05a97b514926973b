package honeygap.net;

import honeygap.Rules;
import honeygap.flags.Answers;
import honeygap.flags.House;
import honeygap.flags.Kept;
import honeygap.flags.Limits;
import honeygap.flags.Versions;
import honeygap.fleet.Build;
import honeygap.fleet.Fleet;
import honeygap.fleet.Pick;
import honeygap.net.askers.Askers;
import honeygap.net.desk.Ballots;
import honeygap.net.desk.Bulletin;
import honeygap.net.desk.News;
import honeygap.net.links.Links;
import honeygap.net.list.Named;
import honeygap.net.list.Registry;
import honeygap.net.ofrep.Exchange;
import honeygap.net.servers.Server;
import honeygap.read.FlagSheet;
import honeygap.rules.shutdown.ShutdownSchedule;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The flag API of an agent: a core of its own on the same loop, its front, its back, its list and its desk. */
public final class Flags implements Protocol {

    private static final int BACKLOG = 1024;

    private final Loop loop;
    private final FlagSheet sheet;
    private final Rules rules;
    private final Core core;
    private final Exchange exchange;
    private final Askers askers;
    private final Links links;
    private final Named named;
    private final House house;
    private final Registry registry;
    private final Ballots ballots;
    private final Bulletin bulletin;

    public Flags(Loop loop, FlagSheet sheet, long seed) {
        this.loop = loop;
        this.sheet = sheet;
        rules = sheet.rules(loop.clock(), seed);
        core = new Core(loop, rules, sheet.methods.size(), "flags");
        Answers answers = new Answers(sheet.sharing, sheet.step, sheet.allowances,
                new Versions(sheet.keys, sheet.cells), new Kept(sheet.allowances.isEmpty() ? 0 : sheet.keptBytes));
        exchange = new Exchange(loop, rules, answers, new Limits(sheet.retryAfterMost));
        askers = new Askers(loop, exchange, sheet.methods.get(0), sheet.methods.get(1), sheet.methods.get(2),
                sheet.methods.get(3), sheet.step, sheet.clients, sheet.longestBody);
        links = new Links(loop, rules, (all, remote) -> new Server(all, remote, sheet.longestAnswer), sheet.step,
                sheet.connectWithin, sheet.idleClose, sheet.links);
        named = new Named(rules, links, core::build);
        registry = sheet.list == null ? null
                : new Registry(loop, rules, links, core::build, sheet.list, sheet.askWithin);
        house = sheet.desk == null ? new House(sheet.caps, Fleet.LONG_AGO) : null;
        News news = new News(loop, rules, core::build, Map.of("one", sheet.methods.get(0), "all",
                sheet.methods.get(1), "track", sheet.methods.get(2), "tracked", sheet.methods.get(3)));
        ballots = house != null ? null : new Ballots(loop, rules, news, sheet.desk, sheet.callTimeout);
        bulletin = house != null ? null
                : new Bulletin(loop, news, sheet.desk, Math.max(sheet.callTimeout, 30_000), seed);
        core.join(links, registry != null ? registry : named, house != null ? this::vote : ballots);
    }

    @Override
    public List<Loop.Core> cores() {
        List<Loop.Core> cores = new ArrayList<>(List.of(exchange, core));
        if (house != null) {
            cores.add(new Stages());
        }
        return cores;
    }

    /** Carries out what the stages of this house are. */
    private final class Stages implements Loop.Core, House.Out {

        @Override
        public void now(long now) {
            house.now(now);
        }

        @Override
        public boolean next() {
            return house.next(this);
        }

        @Override
        public void told(int build, int phase, int stage, double cap, boolean answer, long since) {
            loop.gather(() -> rules.told(core.build(build), phase, stage, cap, answer, since, Pick.OK));
        }

        @Override
        public void list() {
            if (registry == null) {
                loop.gather(() -> named.tell(house::admits, loop.now()));
            }
        }
    }

    private void vote(Build build, int stage, int verdict) {
        loop.gather(() -> house.voted(build.number, stage, verdict));
    }

    @Override
    public void begin() {
        if (bulletin != null) {
            bulletin.listen();
        }
        take(sheet);
    }

    private void take(FlagSheet told) {
        if (registry != null) {
            return;
        }
        var builds = named.take(told.servers);
        if (house != null) {
            house.listed(builds);
        } else {
            loop.gather(() -> named.tell(build -> true, loop.now()));
        }
    }

    @Override
    public InetSocketAddress listen() throws IOException {
        return loop.listen(sheet.listen, BACKLOG, askers.places(), askers::comer);
    }

    /** Servers, list and desk are those of this sheet from then on; all else holds from start to end. */
    public Runnable reread(FlagSheet told) {
        return () -> change(told);
    }

    private void change(FlagSheet told) {
        if (registry != null && told.list != null) {
            registry.move(told.list);
        }
        if (ballots != null && told.desk != null) {
            ballots.move(told.desk);
            bulletin.move(told.desk);
        }
        take(told);
    }

    @Override
    public long longestDeadline() {
        return sheet.methods.stream().mapToLong(method -> method.deadline).max().orElse(0);
    }

    @Override
    public void shutDown(ShutdownSchedule schedule) {
        loop.gather(() -> rules.ending(schedule));
        askers.shutDown(schedule);
    }

    @Override
    public void leave() {
        askers.leave();
    }

    @Override
    public void drain(boolean isDrained) {
        askers.drain(isDrained);
    }

    @Override
    public int count() {
        return askers.count();
    }

    @Override
    public void report(Counters counters) {
        counters.group("flags", exchange);
        counters.group("flag clients", askers);
        counters.group("flag links", links);
        counters.group("flag shutdown", askers.shutdownLog());
        if (registry != null) {
            counters.group("flag list", registry);
        } else {
            counters.group("flag servers", named);
        }
        if (house != null) {
            counters.group("flag build", all -> {
                all.count("number", house.build());
                all.count("phase", house.phase());
                all.count("stage", house.stage());
            });
        } else {
            counters.group("flag votes", ballots);
            counters.group("flag bulletin", bulletin);
        }
    }
}
