package honeygap.net;

import honeygap.DecisionEngine;
import honeygap.flags.EvaluationCoordinator;
import honeygap.flags.LocalRollout;
import honeygap.flags.AnswerCache;
import honeygap.flags.RetryAfterLimits;
import honeygap.flags.VersionFloors;
import honeygap.fleet.Build;
import honeygap.fleet.Fleet;
import honeygap.fleet.Pick;
import honeygap.net.flagclients.FlagClients;
import honeygap.net.desk.VoteSubmitter;
import honeygap.net.desk.RolloutStatusStream;
import honeygap.net.desk.RolloutStatusParser;
import honeygap.net.upstream.ConnectionPool;
import honeygap.net.discovery.StaticList;
import honeygap.net.discovery.DiscoveryClient;
import honeygap.net.ofrep.EvaluationDispatcher;
import honeygap.net.flagservers.FlagServerConnection;
import honeygap.config.FlagSettings;
import honeygap.rules.shutdown.ShutdownSchedule;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The feature-flag API of an agent. It runs on the agent's event loop with an engine, client side, connection pool,
 * discovery and rollout of its own.
 */
public final class FlagProtocol implements Protocol {

    private static final int BACKLOG = 1024;

    private final Loop loop;
    private final FlagSettings settings;
    private final DecisionEngine rules;
    private final EngineAdapter engine;
    private final EvaluationDispatcher exchange;
    private final FlagClients flagClients;
    private final ConnectionPool connections;
    private final StaticList staticList;
    private final LocalRollout localRollout;
    private final DiscoveryClient discovery;
    private final VoteSubmitter votes;
    private final RolloutStatusStream statusStream;

    public FlagProtocol(Loop loop, FlagSettings settings, long seed) {
        this.loop = loop;
        this.settings = settings;
        rules = settings.rules(loop.clock(), seed);
        int cacheBytes = settings.cacheRules.isEmpty() ? 0 : settings.cacheBytes;
        loop.memory().reserve(cacheBytes);
        engine = new EngineAdapter(loop, rules, settings.methods.size(), "flags");
        EvaluationCoordinator answerCache = new EvaluationCoordinator(settings.coalesceRequests, settings.tickInterval, settings.cacheRules,
                new VersionFloors(settings.maxVersionedKeys, settings.maxVersionCells),
                new AnswerCache(cacheBytes));
        exchange = new EvaluationDispatcher(loop, rules, answerCache, new RetryAfterLimits(settings.maxRetryAfter));
        flagClients = new FlagClients(loop, exchange, settings.methods.get(0), settings.methods.get(1),
                settings.methods.get(2), settings.methods.get(3), settings.tickInterval, settings.maxClients, settings.maxRequestBytes);
        connections = new ConnectionPool(loop, rules,
                (pool, appliance) -> new FlagServerConnection(pool, appliance, settings.maxResponseBytes),
                settings.tickInterval, settings.connectTimeout, settings.idleTimeout, settings.maxServerConnections, true);
        staticList = new StaticList(rules, connections, engine::build);
        discovery = settings.listAddress == null ? null
                : new DiscoveryClient(loop, rules, connections, engine::build, settings.listAddress, settings.listMaxAge);
        localRollout = settings.deskAddress == null ? new LocalRollout(settings.caps, Fleet.LONG_AGO) : null;
        RolloutStatusParser rolloutStatus = new RolloutStatusParser(loop, rules, engine::build, Map.of(
                "one", settings.methods.get(0), "all", settings.methods.get(1),
                "track", settings.methods.get(2), "tracked", settings.methods.get(3)));
        votes = localRollout != null ? null
                : new VoteSubmitter(loop, rules, rolloutStatus, settings.deskAddress, settings.deskCallTimeout);
        statusStream = localRollout != null ? null
                : new RolloutStatusStream(loop, rolloutStatus, settings.deskAddress, Math.max(settings.deskCallTimeout, 30_000), seed);
        engine.attach(connections, discovery != null ? discovery : staticList,
                localRollout != null ? this::vote : votes);
    }

    @Override
    public List<Loop.Stepper> steppers() {
        List<Loop.Stepper> steppers = new ArrayList<>(List.of(exchange, engine));
        if (localRollout != null) {
            steppers.add(new LocalRolloutStepper());
        }
        return steppers;
    }

    /** Applies the decisions of the local rollout, which replaces the release desk if none is configured. */
    private final class LocalRolloutStepper implements Loop.Stepper, LocalRollout.Listener {

        @Override
        public void startIteration(long now) {
            localRollout.setNow(now);
        }

        @Override
        public boolean step() {
            return localRollout.next(this);
        }

        @Override
        public void statusChanged(int build, int phase, int stage, double cap, boolean isConfirmed, long since) {
            loop.defer(() -> rules.rolloutReported(engine.build(build), phase, stage, cap, isConfirmed, since, Pick.OK));
        }

        @Override
        public void serversChanged() {
            if (discovery == null) {
                loop.defer(() -> staticList.publish(localRollout::admits, loop.now()));
            }
        }
    }

    private void vote(Build build, int stage, int verdict) {
        loop.defer(() -> localRollout.recordVote(build.number, stage, verdict));
    }

    @Override
    public void start() {
        if (statusStream != null) {
            statusStream.connect();
        }
        applyServers(settings);
    }

    private void applyServers(FlagSettings newSettings) {
        if (discovery != null) {
            return;
        }
        var builds = staticList.setServers(newSettings.servers);
        if (localRollout != null) {
            localRollout.setAvailableBuilds(builds);
        } else {
            loop.defer(() -> staticList.publish(build -> true, loop.now()));
        }
    }

    @Override
    public InetSocketAddress listen() throws IOException {
        return loop.listen(settings.listen, BACKLOG, flagClients.maxAcceptedConnections(), flagClients::newHandler);
    }

    /**
     * Reads discovery, desk and static servers from the new settings; all other settings stay until a restart.
     * Returns the change to apply on the loop.
     */
    public Runnable reload(FlagSettings newSettings) {
        return () -> applyReload(newSettings);
    }

    private void applyReload(FlagSettings newSettings) {
        if (discovery != null && newSettings.listAddress != null) {
            discovery.changeAddress(newSettings.listAddress);
        }
        if (votes != null && newSettings.deskAddress != null) {
            votes.changeAddress(newSettings.deskAddress);
            statusStream.changeAddress(newSettings.deskAddress);
        }
        applyServers(newSettings);
    }

    @Override
    public void reloadRequested(long at) {
        rules.reloadRequested(at);
    }

    @Override
    public long longestDeadline() {
        return settings.methods.stream().mapToLong(method -> method.deadline).max().orElse(0);
    }

    @Override
    public void shutDown(ShutdownSchedule schedule) {
        loop.defer(() -> rules.shutdownStarted(schedule));
        flagClients.shutDown(schedule);
    }

    @Override
    public void closeBetweenRpcs() {
        flagClients.closeBetweenRpcs();
    }

    @Override
    public void setDrained(boolean isDrained) {
        flagClients.setDrained(isDrained);
    }

    @Override
    public int connectionCount() {
        return flagClients.connectionCount();
    }

    @Override
    public void report(Counters counters) {
        counters.group("flags", exchange);
        counters.group("flag clients", flagClients);
        counters.group("flag links", connections);
        counters.group("flag shutdown", flagClients.shutdownLog());
        if (discovery != null) {
            counters.group("flag list", discovery);
        } else {
            counters.group("flag servers", staticList);
        }
        if (localRollout != null) {
            counters.group("flag build", group -> {
                group.count("number", localRollout.newestBuild());
                group.count("phase", localRollout.phase());
                group.count("stage", localRollout.stage());
            });
        } else {
            counters.group("flag votes", votes);
            counters.group("flag bulletin", statusStream);
        }
    }
}
