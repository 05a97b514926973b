package honeygap.net;

import honeygap.Rules;
import honeygap.fleet.Method;
import honeygap.net.appliances.Session;
import honeygap.net.clients.Clients;
import honeygap.net.desk.Ballots;
import honeygap.net.desk.Bulletin;
import honeygap.net.desk.News;
import honeygap.net.links.Links;
import honeygap.net.list.Registry;
import honeygap.read.Deployment;
import honeygap.read.Fields;
import honeygap.read.Malformed;
import honeygap.rules.shutdown.ShutdownSchedule;
import honeygap.terms.Listing;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tinylog.Logger;

/** PostgreSQL's wire protocol with clients and appliances; the list and the desk over HTTP/1.1. */
public final class Queries implements Protocol {

    /** Descriptors kept back for the list, the desk and what the runtime itself holds. */
    private static final int RESERVE = 64;
    /** Clients hold at most this part of the descriptors for RPCs; half of it is kept free for new ones. */
    private static final int CLIENTS_PART = 3;
    /** For so long, in milliseconds, the code is warmed up before the agent listens. */
    private static final long REHEARSED_MS = 50;

    private final Loop loop;
    private final Rules rules;
    private final Core core;
    private final Clients clients;
    private final Links links;
    private final Registry registry;
    private final Ballots ballots;
    private final Bulletin bulletin;
    private final InetSocketAddress listen;
    private final int most;
    private final Fields info;
    private final Rehearsal rehearsal;
    private volatile long longestDeadline;

    public Queries(Loop loop, Fields told) throws Malformed {
        this.loop = loop;
        info = told.object("settings");
        Fields desk = told.object("rollouts");
        List<Method> methods = Deployment.methods(info);
        longestDeadline = longest(methods);
        long seed;
        try {
            seed = Long.parseUnsignedLong(told.text("seed"), 16);
        } catch (NumberFormatException e) {
            throw new Malformed("field seed is not a number in hexadecimal");
        }
        listen = told.address("listen");
        // A client's connection may need one to an appliance.
        int sockets = told.part("limits").index("sockets", 1024);
        most = Math.max(2, sockets - RESERVE) / 2;
        Listing listing = Deployment.onSockets(info);
        rules = Deployment.rules(loop.clock(), seed, methods, info, listing);
        Map<String, Method> names = new HashMap<>();
        int at = 0;
        for (Fields method : info.objects("Classes")) {
            names.put(method.text("Name"), methods.get(at++));
        }
        core = new Core(loop, rules, methods.size(), "");
        clients = new Clients(loop, rules, names, info, most, sockets / CLIENTS_PART / 2);
        Fields ceilings = info.part("Ceilings");
        links = new Links(loop, rules, Session::new, info.tenths("TickNs"),
                ceilings.tenths("ConnectTimeoutNs", 2500), ceilings.tenths("IdleCloseNs", 100_000), most);
        registry = new Registry(loop, rules, links, core::build, told.address("discovery"),
                listing.askWithin());
        News news = new News(loop, rules, core::build, names);
        InetSocketAddress deskAddress = desk.address("address");
        long callTimeout = info.part("FamilyInfo").tenths("CallTimeoutNs", 20_000);
        ballots = new Ballots(loop, rules, news, deskAddress, callTimeout);
        core.join(links, registry, ballots);
        bulletin = new Bulletin(loop, news, deskAddress, Math.max(callTimeout, 30_000), seed);
        if (told.has("known")) {
            registry.known(told.object("known"));
        }
        if (desk.has("news")) {
            loop.gather(news.first(desk.object("news")));
        }
        rehearsal = new Rehearsal(info);
    }

    private static long longest(List<Method> methods) {
        return methods.stream().mapToLong(method -> method.deadline).max().orElse(0);
    }

    @Override
    public List<Loop.Core> cores() {
        return List.of(core);
    }

    @Override
    public void prepare() {
        Logger.info("rehearsed {} RPCs", rehearsal.play(REHEARSED_MS));
    }

    @Override
    public void begin() {
        bulletin.listen();
    }

    @Override
    public boolean mayOpen() {
        return rules.mayOpen();
    }

    @Override
    public InetSocketAddress listen() throws IOException {
        return loop.listen(listen, 2 * most, clients.places(), clients::comer);
    }

    /**
     * Reads a configuration once more: the list and the desk are asked at the addresses that it names; all else
     * holds from start to end. What is to be done for it, on the loop.
     */
    public Runnable reread(Fields told) throws Malformed {
        InetSocketAddress list = told.address("discovery");
        InetSocketAddress desk = told.object("rollouts").address("address");
        // Whoever ends this process may go by either: the shorter one leaves enough time in any case.
        long shorter = told.has("settings") ? Math.min(longestDeadline, longest(Deployment.methods(told.object("settings"))))
                : longestDeadline;
        return () -> {
            longestDeadline = shorter;
            registry.move(list);
            ballots.move(desk);
            bulletin.move(desk);
        };
    }

    @Override
    public void share(Shared shared) {
        shared.figures(registry.out());
        registry.others(shared.others());
        loop.at(loop.now() + shared.every(), () -> share(shared));
    }

    @Override
    public long longestDeadline() {
        return longestDeadline;
    }

    @Override
    public void shutDown(ShutdownSchedule schedule) {
        loop.gather(() -> rules.ending(schedule));
        clients.shutDown(schedule);
    }

    @Override
    public void leave() {
        clients.leave();
    }

    @Override
    public void drain(boolean isDrained) {
        clients.drain(isDrained);
    }

    @Override
    public int count() {
        return clients.count();
    }

    @Override
    public void report(Counters counters) {
        counters.group("core", all -> {
            all.count("turns", core.turns());
            all.count("builds", core.builds());
        });
        counters.group("clients", clients).group("links", links).group("list", registry)
                .group("votes", ballots).group("bulletin", bulletin)
                .group("shutdown", clients.shutdownLog());
    }
}
