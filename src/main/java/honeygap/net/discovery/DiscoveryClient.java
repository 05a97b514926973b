package honeygap.net.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import honeygap.DecisionEngine;
import honeygap.fleet.Appliance;
import honeygap.fleet.Build;
import honeygap.fleet.Zone;
import honeygap.net.Upstream;
import honeygap.net.EngineAdapter;
import honeygap.net.Counters;
import honeygap.net.Loop;
import honeygap.net.OncePerSecond;
import honeygap.net.http.ResponseStream;
import honeygap.net.http.StreamEnd;
import honeygap.net.upstream.RemoteAppliance;
import honeygap.config.JsonObject;
import honeygap.config.Malformed;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntFunction;
import org.tinylog.Logger;

/**
 * Client of the discovery service: applies the initial list from disk, watches the list for changes and fetches the
 * complete list on demand.
 */
public final class DiscoveryClient implements EngineAdapter.ListSource, Counters.Group {

    /** Discovery sends a heartbeat this often while nothing changes, in tenths of a millisecond. */
    private static final long HEARTBEAT_INTERVAL = 20_000;
    private static final int MISSED_HEARTBEATS_TO_TIMEOUT = 2;
    private static final long TENTHS_PER_MS = 10;

    private final Loop loop;
    private final DecisionEngine rules;
    private final Upstream upstream;
    private final IntFunction<Build> builds;
    private InetSocketAddress address;
    private final long responseTimeout;
    private final StartTimes startTimes;
    private final JsonFactory jsonFactory = new JsonFactory();
    private final Map<String, RemoteAppliance> remotes = new HashMap<>();
    private final Map<String, Zone> locations = new HashMap<>();
    private long version;
    private long nextId;
    private ResponseStream watch;
    private ResponseStream fetch;
    /**
     * Whether a complete list with a lower version than the known one is accepted: discovery has moved to another
     * address, or has sent an older list twice in a row.
     */
    private boolean acceptsOlder;
    private final OncePerSecond failureLog;
    private final OncePerSecond unreadableLog;
    private long failures;
    private final Map<String, Long> failuresByKind = new TreeMap<>();
    private long unreadableEntries;
    private long olderLists;

    /** The lease of the list is in tenths of a millisecond, or 0 if there is none; calls time out after half of it. */
    public DiscoveryClient(Loop loop, DecisionEngine rules, Upstream upstream, IntFunction<Build> builds,
            InetSocketAddress address, long leaseDuration) {
        this.loop = loop;
        this.rules = rules;
        this.upstream = upstream;
        this.builds = builds;
        this.address = address;
        responseTimeout = (leaseDuration > 0 ? leaseDuration : MISSED_HEARTBEATS_TO_TIMEOUT * HEARTBEAT_INTERVAL) / 2;
        failureLog = new OncePerSecond(loop);
        unreadableLog = new OncePerSecond(loop);
        startTimes = new StartTimes(InstantSource.system(), loop::clock);
    }

    /** Applies the list that was stored on disk, which may be arbitrarily old. */
    public void restore(JsonObject list) throws Malformed {
        apply(list, true);
    }

    /** Switches to another discovery address and restarts open calls there; the known version is kept. */
    public void changeAddress(InetSocketAddress address) {
        this.address = address;
        acceptsOlder = true;
        loop.defer(rules::discoveryMoved);
        if (watch != null) {
            watch();
        }
        if (fetch != null) {
            fetch();
        }
    }

    @Override
    public void watch() {
        if (watch != null) {
            watch.close();
        }
        watch = stream("?stream=1&index=" + version, new WatchListener(), new ResponseStream.Listener() {
            @Override
            public void onEnd(StreamEnd end) {
                callFailed(end);
            }

            @Override
            public void onAccepted() {
                watchAccepted();
            }
        });
    }

    @Override
    public void fetch() {
        if (fetch != null) {
            fetch.close();
        }
        FetchListener listener = new FetchListener();
        fetch = stream("", listener, end -> {
            fetch = null;
            if (!end.isComplete() || !listener.isReceived) {
                callFailed(end);
            }
        });
    }

    private ResponseStream stream(String query, JsonDocumentReader.Listener listener, ResponseStream.Listener ending) {
        return new ResponseStream(loop, address, "/registry/instances" + query, responseTimeout,
                MISSED_HEARTBEATS_TO_TIMEOUT * HEARTBEAT_INTERVAL, new JsonDocumentReader(listener), ending);
    }

    /** Applies the complete list of one fetch. */
    private final class FetchListener implements JsonDocumentReader.Listener {

        private boolean isReceived;

        @Override
        public void document(byte[] bytes, int length) throws Malformed {
            apply(parse(bytes, length), false);
            isReceived = true;
        }

        @Override
        public void heartbeat() {
            // Empty lines before or after the document carry no information.
        }
    }

    /** Applies the changes that the watch streams. */
    private final class WatchListener implements JsonDocumentReader.Listener {

        @Override
        public void document(byte[] bytes, int length) throws Malformed {
            apply(parse(bytes, length), false);
        }

        @Override
        public void heartbeat() {
            // The heartbeat may have arrived at any time since this loop iteration began, so the list is confirmed
            // only as of that time.
            long asOf = loop.now();
            loop.defer(() -> rules.listUnchanged(asOf));
        }
    }

    /** Discovery has accepted the watch; changes and heartbeats follow on it. */
    private void watchAccepted() {
        loop.defer(rules::listCallAccepted);
    }

    private void callFailed(StreamEnd end) {
        failures++;
        failuresByKind.merge(end.kind(), 1L, Long::sum);
        if (failureLog.isDue()) {
            Logger.info("call to discovery failed: {}; version {}, {} failures so far", end.kind(), version, failures);
        }
        loop.defer(rules::listCallFailed);
    }

    private JsonObject parse(byte[] bytes, int length) throws Malformed {
        try (JsonParser parser = jsonFactory.createParser(bytes, 0, length)) {
            JsonObject document = JsonObject.parse(parser);
            if (parser.nextToken() != null) {
                throw new Malformed("more than one JSON object");
            }
            return document;
        } catch (IOException e) {
            throw new Malformed("not JSON");
        }
    }

    /**
     * Applies a complete list or a set of changes. A malformed entry is skipped alone: it must not prevent the drain
     * of another appliance from being applied, nor remove the appliance that it names from a complete list.
     */
    private void apply(JsonObject list, boolean isFromDisk) throws Malformed {
        boolean isFull = list.bool("snapshot", false);
        long listVersion = list.longValue("index");
        List<ListEntry> entries = new ArrayList<>();
        Set<String> unreadableNames = new HashSet<>();
        boolean haveAllNames = readEntries(list, isFromDisk, entries, unreadableNames);
        if (isFull && listVersion < version && !acceptsOlder) {
            // An outdated list must not revive appliances that were reported as deleted or draining. If the next list
            // is older as well, the versions of discovery have restarted and it is accepted. Entries that are not
            // serving are applied in any case.
            acceptsOlder = true;
            olderLists++;
            publish(entries.stream().filter(entry -> entry.state() != Appliance.UP).toList(), Set.of(), false,
                    isFromDisk);
            throw new Malformed("complete list of version " + listVersion + " received after " + version);
        }
        version = listVersion;
        acceptsOlder = false;
        if (!isFromDisk) {
            long asOf = loop.now();
            loop.defer(() -> rules.listConfirmed(asOf));
        }
        publish(entries, unreadableNames, isFull && haveAllNames, isFromDisk);
    }

    /**
     * Reads all entries and collects the names of malformed ones. Returns whether every malformed entry at least has a
     * name. In a list from disk, which the operator provides, a malformed entry is an error.
     */
    private boolean readEntries(JsonObject list, boolean isFromDisk, List<ListEntry> entries, Set<String> unreadableNames)
            throws Malformed {
        if (!(list.value("endpoints") instanceof List<?> elements)) {
            throw list.error("endpoints", "is not a list");
        }
        boolean haveAllNames = true;
        for (Object element : elements) {
            JsonObject entry = element instanceof JsonObject fields ? fields : new JsonObject();
            try {
                entries.add(ListEntry.parse(entry));
            } catch (Malformed e) {
                if (isFromDisk) {
                    throw e;
                }
                entryUnreadable(entry.value("name"), e);
                haveAllNames &= entry.value("name") instanceof String name && !name.isEmpty();
                unreadableNames.add(String.valueOf(entry.value("name")));
            }
        }
        return haveAllNames;
    }

    private void entryUnreadable(Object name, Malformed cause) {
        unreadableEntries++;
        if (unreadableLog.isDue()) {
            Logger.warn("malformed entry {} in the discovery list: {}", name, cause.getMessage());
        }
    }

    private void publish(List<ListEntry> entries, Set<String> unreadableNames, boolean isFull, boolean isFromDisk) {
        loop.defer(() -> {
            rules.listStarted(isFull, isFromDisk);
            entries.forEach(this::publish);
            for (String name : unreadableNames) {
                RemoteAppliance remote = remotes.get(name);
                if (remote != null && remote.state != Appliance.REMOVED) {
                    rules.applianceListed(remote, remote.build, remote.zone, remote.cell, remote.state, remote.startedAt);
                }
            }
            rules.listCompleted();
            for (RemoteAppliance remote : remotes.values()) {
                if (remote.state != Appliance.UP) {
                    upstream.closeIdle(remote);
                }
            }
            remotes.values().removeIf(remote -> remote.state == Appliance.REMOVED && remote.limit.inFlight == 0);
        });
    }

    private void publish(ListEntry entry) {
        boolean isKnown = remotes.containsKey(entry.name());
        RemoteAppliance remote = remotes.computeIfAbsent(entry.name(), name -> (RemoteAppliance) upstream.newAppliance(nextId++));
        // Compares the wall-clock times as listed: after a clock step the converted monotonic time differs, which would
        // look like a restart.
        boolean hasStarted = !isKnown || remote.processStartedMs != entry.startedAtMs();
        long startedAt = hasStarted ? startTimes.toMonotonic(entry.startedAtMs()) : remote.startedAt;
        remote.processStartedMs = entry.startedAtMs();
        boolean hasMoved = entry.address() != null && !entry.address().equals(remote.address);
        if (hasMoved || hasStarted) {
            upstream.closeIdle(remote);
        }
        remote.address = entry.address() != null ? entry.address() : remote.address;
        Zone location = locations.computeIfAbsent(entry.zone(), name -> new Zone());
        rules.applianceListed(remote, builds.apply(entry.release()), location, entry.cell(), entry.state(), startedAt);
    }

    /** Number of picks in flight by appliance name; appliances without any are left out. */
    public Map<String, Integer> inFlight() {
        Map<String, Integer> inFlight = new HashMap<>();
        remotes.forEach((name, remote) -> {
            if (remote.limit.inFlight > 0) {
                inFlight.put(name, remote.limit.inFlight);
            }
        });
        return inFlight;
    }

    /** Sets the number of picks that other agents have in flight, by appliance name; 0 for names not given. */
    public void setInFlightElsewhere(Map<String, Double> inFlightElsewhere) {
        remotes.forEach((name, remote) -> remote.othersInFlight = inFlightElsewhere.getOrDefault(name, 0.0));
    }

    @Override
    public void report(Counters counters) {
        counters.count("version", version);
        counters.count("age ms", rules.listAge() < 0 ? -1 : rules.listAge() / TENTHS_PER_MS);
        counters.count("appliances", remotes.size());
        counters.count("covered", rules.coveredAppliances());
        counters.count("failures", failures);
        failuresByKind.forEach((kind, count) -> counters.count("failed: " + kind, count));
        counters.count("unreadable entries", unreadableEntries);
        counters.count("older", olderLists);
        counters.count("clock stepped", startTimes.hasStepped() ? 1 : 0);
    }
}
