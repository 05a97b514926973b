package honeygap.net;

import honeygap.DecisionEngine;
import honeygap.fleet.Method;
import honeygap.net.appliances.PostgresConnection;
import honeygap.net.clients.PgClients;
import honeygap.net.desk.VoteSubmitter;
import honeygap.net.desk.RolloutStatusStream;
import honeygap.net.desk.RolloutStatusParser;
import honeygap.net.upstream.ConnectionPool;
import honeygap.net.discovery.DiscoveryClient;
import honeygap.config.DeploymentSettings;
import honeygap.config.JsonObject;
import honeygap.config.Malformed;
import honeygap.rules.shutdown.ShutdownSchedule;
import honeygap.settings.ListSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tinylog.Logger;

/**
 * Serves PostgreSQL's wire protocol to clients and appliances; discovery and the release desk are reached over
 * HTTP/1.1.
 */
public final class PostgresProtocol implements Protocol {

    /** File descriptors reserved for discovery, the desk and the Java runtime. */
    private static final int RESERVED_DESCRIPTORS = 64;
    /**
     * Clients get at most one in this many of the descriptors; half of that is kept free for new clients.
     */
    private static final int CLIENT_DESCRIPTOR_DIVISOR = 3;
    /** Connections that may wait to be accepted: where there are more, their clients try again only after a second. */
    private static final int MIN_ACCEPT_BACKLOG = 4096;
    /** How long the code is warmed up before the agent listens, in milliseconds. */
    private static final long WARM_UP_MS = 50;

    private final Loop loop;
    private final DecisionEngine rules;
    private final EngineAdapter engine;
    private final PgClients clients;
    private final ConnectionPool connections;
    private final DiscoveryClient discovery;
    private final VoteSubmitter votes;
    private final RolloutStatusStream statusStream;
    private final InetSocketAddress listenAddress;
    private final int maxConnections;
    private final JsonObject settings;
    private final WarmUp warmUp;
    private volatile long longestDeadline;

    public PostgresProtocol(Loop loop, JsonObject config) throws Malformed {
        this.loop = loop;
        settings = config.object("settings");
        JsonObject desk = config.object("rollouts");
        List<Method> methods = DeploymentSettings.methods(settings);
        longestDeadline = longestDeadlineOf(methods);
        long seed;
        try {
            seed = Long.parseUnsignedLong(config.text("seed"), 16);
        } catch (NumberFormatException e) {
            throw new Malformed("field seed is not a hexadecimal number");
        }
        listenAddress = config.address("listen");
        // Each client connection may need a connection to an appliance.
        int sockets = config.objectOrEmpty("limits").intValue("sockets", 1024);
        maxConnections = Math.max(2, sockets - RESERVED_DESCRIPTORS) / 2;
        ListSettings listing = DeploymentSettings.socketListing(settings);
        rules = DeploymentSettings.rules(loop.clock(), seed, methods, settings, listing);
        rules.limitAbandonedRpcs(loop.memory().reserveForAbandonedRpcs());
        Map<String, Method> methodsByName = new HashMap<>();
        int index = 0;
        for (JsonObject method : settings.objects("Classes")) {
            methodsByName.put(method.text("Name"), methods.get(index++));
        }
        engine = new EngineAdapter(loop, rules, methods.size(), "");
        clients = new PgClients(loop, rules, methodsByName, settings, maxConnections,
                sockets / CLIENT_DESCRIPTOR_DIVISOR / 2);
        JsonObject ceilings = settings.objectOrEmpty("Ceilings");
        connections = new ConnectionPool(loop, rules, PostgresConnection::new, settings.tenthsOfMs("TickNs"),
                ceilings.tenthsOfMs("ConnectTimeoutNs", 2500), ceilings.tenthsOfMs("IdleCloseNs", 100_000), maxConnections,
                false);
        discovery = new DiscoveryClient(loop, rules, connections, engine::build, config.address("discovery"),
                listing.callInterval());
        RolloutStatusParser rolloutStatus = new RolloutStatusParser(loop, rules, engine::build, methodsByName);
        InetSocketAddress deskAddress = desk.address("address");
        long callTimeout = settings.objectOrEmpty("FamilyInfo").tenthsOfMs("CallTimeoutNs", 20_000);
        votes = new VoteSubmitter(loop, rules, rolloutStatus, deskAddress, callTimeout);
        engine.attach(connections, discovery, votes);
        statusStream = new RolloutStatusStream(loop, rolloutStatus, deskAddress, Math.max(callTimeout, 30_000), seed);
        if (config.has("known")) {
            discovery.restore(config.object("known"));
        }
        if (desk.has("news")) {
            loop.defer(rolloutStatus.parseInitial(desk.object("news")));
        }
        warmUp = new WarmUp(settings);
    }

    private static long longestDeadlineOf(List<Method> methods) {
        return methods.stream().mapToLong(method -> method.deadline).max().orElse(0);
    }

    @Override
    public List<Loop.Stepper> steppers() {
        return List.of(engine);
    }

    @Override
    public void warmUp() {
        Logger.info("rehearsed {} RPCs", warmUp.run(WARM_UP_MS));
    }

    @Override
    public void start() {
        statusStream.connect();
    }

    @Override
    public boolean isReady() {
        return rules.mayAcceptClients();
    }

    @Override
    public InetSocketAddress listen() throws IOException {
        return loop.listen(listenAddress, Math.max(MIN_ACCEPT_BACKLOG, 2 * maxConnections), clients.maxAcceptedConnections(), clients::newHandler);
    }

    /**
     * Reads the addresses of discovery and the desk from a reloaded configuration; all other settings stay until a
     * restart. Returns the change to apply on the loop.
     */
    public Runnable reload(JsonObject config) throws Malformed {
        InetSocketAddress discoveryAddress = config.address("discovery");
        InetSocketAddress deskAddress = config.object("rollouts").address("address");
        // The supervisor may derive its stop timeout from the old or the new file: the shorter deadline is within
        // both.
        long deadline = config.has("settings") ? Math.min(longestDeadline,
                longestDeadlineOf(DeploymentSettings.methods(config.object("settings")))) : longestDeadline;
        return () -> {
            longestDeadline = deadline;
            discovery.changeAddress(discoveryAddress);
            votes.changeAddress(deskAddress);
            statusStream.changeAddress(deskAddress);
        };
    }

    @Override
    public void reloadRequested(long at) {
        rules.reloadRequested(at);
    }

    @Override
    public void shareLoad(LoadSharing sharing) {
        sharing.publish(discovery.inFlight());
        discovery.setInFlightElsewhere(sharing.othersInFlight());
        loop.schedule(loop.now() + sharing.interval(), () -> shareLoad(sharing));
    }

    @Override
    public long longestDeadline() {
        return longestDeadline;
    }

    @Override
    public void shutDown(ShutdownSchedule schedule) {
        loop.defer(() -> rules.shutdownStarted(schedule));
        clients.shutDown(schedule);
    }

    @Override
    public void closeBetweenRpcs() {
        clients.closeBetweenRpcs();
    }

    @Override
    public void setDrained(boolean isDrained) {
        clients.setDrained(isDrained);
    }

    @Override
    public int connectionCount() {
        return clients.connectionCount();
    }

    @Override
    public void report(Counters counters) {
        counters.group("core", group -> {
            group.count("turns", engine.iterationCount());
            group.count("builds", engine.buildCount());
            group.count("abandoned RPCs kept", rules.abandonedRpcCount());
        });
        counters.group("clients", clients).group("links", connections).group("list", discovery)
                .group("votes", votes).group("bulletin", statusStream)
                .group("shutdown", clients.shutdownLog());
    }
}
