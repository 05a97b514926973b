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
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.tinylog.Logger;

/** One agent on sockets: its rules, and the peers by which they hear and act. */
public final class Agent {

    /** Descriptors kept back for the list, the desk and what the runtime itself holds. */
    private static final int RESERVE = 64;
    /** Clients hold at most this part of the descriptors for RPCs; half of it is kept free for new ones. */
    private static final int CLIENTS_PART = 3;
    /** For so long, in milliseconds, the code is warmed up before the agent listens. */
    private static final long REHEARSED_MS = 300;
    /** How often the counters go to the log. */
    private static final long REPORT = 100_000;
    /** New clients may come for so long after the order to end, and what is open is answered. */
    private static final long LEAVING_AFTER = 7_000;
    private static final long ENDING_AFTER = 14_000;

    private final Loop loop;
    private final Rules rules;
    private final Clients clients;
    private final Links links;
    private final Registry registry;
    private final Ballots ballots;
    private final Bulletin bulletin;
    private final InetSocketAddress listen;
    private final int most;
    private final Fields info;
    private final CountDownLatch ended = new CountDownLatch(1);
    private final Core core;
    private InetSocketAddress bound;
    private long rereads;

    public Agent(Loop loop, Fields told) throws Malformed {
        this.loop = loop;
        info = told.object("settings");
        Fields desk = told.object("rollouts");
        List<Method> methods = Deployment.methods(info);
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
        rules = Deployment.rules(loop.clock(), seed, methods, info);
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
                info.part("Rules").tenths("MustAskInNs", 0));
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
    }

    /** Warms up, then starts to serve. */
    public void start() throws IOException, Malformed {
        Logger.info("rehearsed {} RPCs", new Rehearsal(info).play(REHEARSED_MS));
        loop.post(bulletin::listen);
        loop.post(this::report);
        loop.start(core);
        bound = loop.listen(listen, 2 * most, clients::comer);
    }

    public InetSocketAddress address() {
        return bound;
    }

    /** Stops at once, whatever is open. */
    public void end() {
        loop.end();
    }

    private void report() {
        Logger.info("turns {}, builds {}, faults {}, broken {}, rereads {}; {}; {}; {}; {}; {}", core.turns(), core.builds(),
                Loop.faults(),
                Loop.broken(), rereads, clients, links, registry, ballots, bulletin);
        loop.at(loop.now() + REPORT, this::report);
    }

    /** A configuration that can be read once more. */
    public interface Source {

        Fields read() throws IOException, Malformed;
    }

    /**
     * The list and the desk are asked at the addresses that the configuration names now; all else of it holds
     * from start to end. One that can't be read whole leaves the old addresses in force.
     */
    public void reread(Source configuration) {
        loop.post(() -> {
            try {
                Fields told = configuration.read();
                InetSocketAddress list = told.address("discovery");
                InetSocketAddress desk = told.object("rollouts").address("address");
                registry.move(list);
                ballots.move(desk);
                bulletin.move(desk);
                rereads++;
            } catch (IOException | Malformed e) {
                Logger.warn("configuration not read, the addresses stay as they were: {}",
                        String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
            }
        });
    }

    /** Serves on until nothing that was taken is open; comes back then. */
    public void leave() throws InterruptedException {
        loop.post(() -> {
            long since = loop.now();
            loop.at(since + LEAVING_AFTER, clients::leave);
            loop.at(since + ENDING_AFTER, this::endWhenDone);
        });
        ended.await();
    }

    private void endWhenDone() {
        if (clients.count() == 0) {
            ended.countDown();
        } else {
            loop.at(loop.now() + 100, this::endWhenDone);
        }
    }
}
