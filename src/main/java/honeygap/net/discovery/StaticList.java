package honeygap.net.discovery;

import honeygap.DecisionEngine;
import honeygap.fleet.Appliance;
import honeygap.fleet.Build;
import honeygap.fleet.Fleet;
import honeygap.fleet.Zone;
import honeygap.net.Upstream;
import honeygap.net.EngineAdapter;
import honeygap.net.Counters;
import honeygap.net.upstream.RemoteAppliance;
import honeygap.config.FlagSettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntFunction;
import java.util.function.IntPredicate;

/** The servers listed statically in the operator's configuration file, published to the rules. */
public final class StaticList implements EngineAdapter.ListSource, Counters.Group {

    private final DecisionEngine rules;
    private final Upstream upstream;
    private final IntFunction<Build> builds;
    private final Map<String, RemoteAppliance> remotes = new HashMap<>();
    private final Map<String, Zone> locations = new HashMap<>();
    private List<FlagSettings.StaticServer> servers = List.of();
    private IntPredicate buildFilter = build -> true;
    private long nextId;
    private boolean isFirstList = true;

    public StaticList(DecisionEngine rules, Upstream upstream, IntFunction<Build> builds) {
        this.rules = rules;
        this.upstream = upstream;
        this.builds = builds;
    }

    /** Replaces the configured servers without publishing them; returns the builds that they run. */
    public Set<Integer> setServers(List<FlagSettings.StaticServer> servers) {
        this.servers = List.copyOf(servers);
        Set<Integer> serverBuilds = new TreeSet<>();
        servers.forEach(server -> serverBuilds.add(server.build()));
        return serverBuilds;
    }

    /**
     * Publishes the servers whose build the filter accepts to the rules. A server that is added after the first
     * list, or whose build or address has changed, counts as started now.
     */
    public void publish(IntPredicate buildFilter, long now) {
        this.buildFilter = buildFilter;
        List<RemoteAppliance> listed = new ArrayList<>();
        rules.listStarted(true, false);
        for (FlagSettings.StaticServer server : servers) {
            if (!buildFilter.test(server.build())) {
                continue;
            }
            RemoteAppliance remote = remotes.get(server.name());
            Build build = builds.apply(server.build());
            boolean isNew = remote == null;
            if (isNew) {
                remote = (RemoteAppliance) upstream.newAppliance(nextId++);
                remote.startedAt = isFirstList ? Fleet.LONG_AGO : now;
                remotes.put(server.name(), remote);
            } else if (remote.build != build || !server.address().equals(remote.address)) {
                upstream.closeIdle(remote);
                remote.startedAt = now;
            }
            remote.address = server.address();
            rules.applianceListed(remote, build, locations.computeIfAbsent(server.location(), name -> new Zone()), 0,
                    server.state(), remote.startedAt);
            listed.add(remote);
        }
        rules.listCompleted();
        isFirstList &= listed.isEmpty();
        remotes.values().forEach(remote -> {
            if (!listed.contains(remote) || remote.state != Appliance.UP) {
                upstream.closeIdle(remote);
            }
        });
        remotes.values().removeIf(remote -> !listed.contains(remote));
        locations.keySet().removeIf(name -> servers.stream().noneMatch(server -> server.location().equals(name)));
    }

    /** Publishes the configured servers again; there is no discovery service to query. */
    @Override
    public void watch() {
        publish(buildFilter, 0);
    }

    @Override
    public void fetch() {
        publish(buildFilter, 0);
    }

    @Override
    public void report(Counters counters) {
        counters.count("servers", remotes.size());
        counters.count("draining", remotes.values().stream().filter(remote -> remote.state != Appliance.UP).count());
    }
}
