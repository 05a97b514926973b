package honeygap.net;

import honeygap.Ctl;
import honeygap.Rules;
import honeygap.fleet.Appliance;
import honeygap.fleet.Build;
import honeygap.fleet.Method;
import honeygap.fleet.Rpc;
import honeygap.net.appliances.Links;
import honeygap.net.appliances.Remote;
import honeygap.net.clients.Call;
import honeygap.net.clients.Clients;
import honeygap.net.desk.Ballots;
import honeygap.net.desk.Bulletin;
import honeygap.net.desk.News;
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
import java.util.function.IntFunction;
import org.tinylog.Logger;

/** One agent on sockets: its rules, and the peers by which they hear and act. */
public final class Agent implements Ctl, Loop.Core {

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
    private final Map<Integer, Build> builds = new HashMap<>();
    private long turns;
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
        IntFunction<Build> build = number ->
                builds.computeIfAbsent(number, n -> new Build(n, methods.size()));
        clients = new Clients(loop, rules, names, info, most, sockets / CLIENTS_PART / 2);
        links = new Links(loop, rules, info, most);
        registry = new Registry(loop, rules, links, build, told.address("discovery"), info);
        News news = new News(loop, rules, build, names);
        InetSocketAddress deskAddress = desk.address("address");
        long callTimeout = info.part("FamilyInfo").tenths("CallTimeoutNs", 20_000);
        ballots = new Ballots(loop, rules, news, deskAddress, callTimeout);
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
        loop.start(this);
        loop.listen(listen, 2 * most, clients::comer);
    }

    public InetSocketAddress address() {
        return loop.address();
    }

    /** Stops at once, whatever is open. */
    public void end() {
        loop.end();
    }

    private void report() {
        Logger.info("turns {}, faults {}, broken {}, rereads {}; {}; {}; {}; {}; {}", turns, Loop.faults(),
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

    @Override
    public void now(long now) {
        turns++;
        rules.now(now);
    }

    @Override
    public boolean next() {
        return rules.next(this);
    }

    @Override
    public void pick(Rpc rpc, Appliance appliance, long within) {
        links.pick((Call) rpc, (Remote) appliance, within);
    }

    @Override
    public void pushBack(Rpc rpc, long stayAway) {
        ((Call) rpc).pushBack((stayAway + 9) / 10);
    }

    @Override
    public void abort(Rpc rpc) {
        ((Call) rpc).abort();
    }

    @Override
    public void cancel(Rpc rpc, int pick) {
        links.cancel((Call) rpc, pick);
    }

    @Override
    public void probe(Appliance appliance) {
        links.probe((Remote) appliance);
    }

    @Override
    public void vote(Build build, int stage, int verdict) {
        ballots.vote(build, stage, verdict);
    }

    @Override
    public void watch() {
        registry.watch();
    }

    @Override
    public void fetch() {
        registry.fetch();
    }

    @Override
    public void wake(long delay) {
        loop.at(loop.now() + delay, rules::woken);
    }

    @Override
    public void note(String line) {
        Logger.info(line);
    }
}
