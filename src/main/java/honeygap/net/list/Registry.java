package honeygap.net.list;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import honeygap.Rules;
import honeygap.fleet.Appliance;
import honeygap.fleet.Build;
import honeygap.fleet.Location;
import honeygap.net.Back;
import honeygap.net.Core;
import honeygap.net.Counters;
import honeygap.net.Loop;
import honeygap.net.OncePerSecond;
import honeygap.net.http.Stream;
import honeygap.net.http.StreamEnd;
import honeygap.net.links.Remote;
import honeygap.read.Fields;
import honeygap.read.Malformed;
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

/** The list of appliances: the watch on it, the whole of it on demand, and the one it started from. */
public final class Registry implements Core.Directory, Counters.Group {

    /** As long as nothing changes, the list says so this often. */
    private static final long HEARTBEAT_INTERVAL = 20_000;
    private static final int MISSED_HEARTBEATS_TO_TIMEOUT = 2;
    private static final long TENTHS_PER_MS = 10;

    private final Loop loop;
    private final Rules rules;
    private final Back back;
    private final IntFunction<Build> builds;
    private InetSocketAddress address;
    private final long responseTimeout;
    private final StartTimes startTimes;
    private final JsonFactory jsonFactory = new JsonFactory();
    private final Map<String, Remote> remotes = new HashMap<>();
    private final Map<String, Location> locations = new HashMap<>();
    private long version;
    private long nextId;
    private Stream watch;
    private Stream fetch;
    /** A whole list that is older than what is known is believed: the list has moved, or said so before. */
    private boolean acceptsOlder;
    private final OncePerSecond failureLog;
    private final OncePerSecond unreadableLog;
    private long failures;
    private final Map<String, Long> failuresByKind = new TreeMap<>();
    private long unreadableEntries;
    private long olderLists;

    /** The list is to be asked again within this time, in tenths of a millisecond, or 0 where none is set. */
    public Registry(Loop loop, Rules rules, Back back, IntFunction<Build> builds, InetSocketAddress address,
            long leaseDuration) {
        this.loop = loop;
        this.rules = rules;
        this.back = back;
        this.builds = builds;
        this.address = address;
        responseTimeout = (leaseDuration > 0 ? leaseDuration : MISSED_HEARTBEATS_TO_TIMEOUT * HEARTBEAT_INTERVAL) / 2;
        failureLog = new OncePerSecond(loop);
        unreadableLog = new OncePerSecond(loop);
        startTimes = new StartTimes(InstantSource.system(), loop::clock);
    }

    /** The list as it was last known, perhaps long ago. */
    public void known(Fields list) throws Malformed {
        apply(list, true);
    }

    /** Asks there from now on, for what has changed since. */
    public void move(InetSocketAddress address) {
        this.address = address;
        acceptsOlder = true;
        loop.gather(rules::listMoved);
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
        watch = stream("?stream=1&index=" + version, new WatchListener(), new Stream.Ending() {
            @Override
            public void ended(StreamEnd end) {
                callFailed(end);
            }

            @Override
            public void taken() {
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

    private Stream stream(String query, JsonDocumentReader.Listener listener, Stream.Ending ending) {
        return new Stream(loop, address, "/registry/instances" + query, responseTimeout,
                MISSED_HEARTBEATS_TO_TIMEOUT * HEARTBEAT_INTERVAL, new JsonDocumentReader(listener), ending);
    }

    /** The list as it is answered, once. */
    private final class FetchListener implements JsonDocumentReader.Listener {

        private boolean isReceived;

        @Override
        public void document(byte[] bytes, int length) throws Malformed {
            apply(parse(bytes, length), false);
            isReceived = true;
        }

        @Override
        public void heartbeat() {
            // An empty line behind a document, or before it.
        }
    }

    /** Changes as they come. */
    private final class WatchListener implements JsonDocumentReader.Listener {

        @Override
        public void document(byte[] bytes, int length) throws Malformed {
            apply(parse(bytes, length), false);
        }

        @Override
        public void heartbeat() {
            // What is read now came after the last turn began; later than that it is not known to hold.
            long asOf = loop.now();
            loop.gather(() -> rules.listUnchanged(asOf));
        }
    }

    /** Discovery has taken the call: changes or signs of life come on this watch from now on. */
    private void watchAccepted() {
        loop.gather(rules::listTaken);
    }

    private void callFailed(StreamEnd end) {
        failures++;
        failuresByKind.merge(end.kind(), 1L, Long::sum);
        if (failureLog.isDue()) {
            Logger.info("call to discovery failed: {}; version {}, {} failures so far", end.kind(), version, failures);
        }
        loop.gather(rules::listFailed);
    }

    private Fields parse(byte[] bytes, int length) throws Malformed {
        try (JsonParser parser = jsonFactory.createParser(bytes, 0, length)) {
            Fields document = Fields.document(parser);
            if (parser.nextToken() != null) {
                throw new Malformed("more than one object");
            }
            return document;
        } catch (IOException e) {
            throw new Malformed("not JSON");
        }
    }

    /**
     * Tells a list, or the changes of one. An entry that can't be read costs itself alone: it must not take a
     * neighbour's drain with it, nor, in a whole list, the appliance that it names.
     */
    private void apply(Fields list, boolean isFromDisk) throws Malformed {
        boolean isFull = list.flag("snapshot", false);
        long listVersion = list.whole("index");
        List<ListEntry> entries = new ArrayList<>();
        Set<String> unreadableNames = new HashSet<>();
        boolean haveAllNames = readEntries(list, isFromDisk, entries, unreadableNames);
        if (isFull && listVersion < version && !acceptsOlder) {
            // Guards against a list that brings back what has been told to be gone or draining. Where it is as old
            // the next time, it is the list that began anew. What it says to be draining counts all the same.
            acceptsOlder = true;
            olderLists++;
            publish(entries.stream().filter(entry -> entry.state() != Appliance.UP).toList(), Set.of(), false, isFromDisk);
            throw new Malformed("a whole list of version " + listVersion + " after " + version);
        }
        version = listVersion;
        acceptsOlder = false;
        if (!isFromDisk) {
            long asOf = loop.now();
            loop.gather(() -> rules.listConfirmed(asOf));
        }
        publish(entries, unreadableNames, isFull && haveAllNames, isFromDisk);
    }

    /**
     * Reads all entries; the names of those that can't be read are kept. Whether each has a name at least. An operator's
     * own file has to be right in every entry.
     */
    private boolean readEntries(Fields list, boolean isFromDisk, List<ListEntry> entries, Set<String> unreadableNames) throws Malformed {
        if (!(list.value("endpoints") instanceof List<?> elements)) {
            throw list.fault("endpoints", "is not a list");
        }
        boolean haveAllNames = true;
        for (Object element : elements) {
            Fields entry = element instanceof Fields fields ? fields : new Fields();
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
            Logger.warn("entry {} of the list can't be read: {}", name, cause.getMessage());
        }
    }

    private void publish(List<ListEntry> entries, Set<String> unreadableNames, boolean isFull, boolean isFromDisk) {
        loop.gather(() -> {
            rules.listBegins(isFull, isFromDisk);
            entries.forEach(this::publish);
            for (String name : unreadableNames) {
                Remote remote = remotes.get(name);
                if (remote != null && remote.state != Appliance.GONE) {
                    rules.listed(remote, remote.build, remote.zone, remote.cell, remote.state, remote.startedAt);
                }
            }
            rules.listEnds();
            for (Remote remote : remotes.values()) {
                if (remote.state != Appliance.UP) {
                    back.dropIdle(remote);
                }
            }
            remotes.values().removeIf(remote -> remote.state == Appliance.GONE && remote.room.out == 0);
        });
    }

    private void publish(ListEntry entry) {
        boolean isKnown = remotes.containsKey(entry.name());
        Remote remote = remotes.computeIfAbsent(entry.name(), name -> (Remote) back.appliance(nextId++));
        // By the list's own word: what it comes to by a clock that was stepped would look like another start.
        boolean hasStarted = !isKnown || remote.sinceMs != entry.startedAtMs();
        long startedAt = hasStarted ? startTimes.toMonotonic(entry.startedAtMs()) : remote.startedAt;
        remote.sinceMs = entry.startedAtMs();
        boolean hasMoved = entry.address() != null && !entry.address().equals(remote.address);
        if (hasMoved || hasStarted) {
            back.dropIdle(remote);
        }
        remote.address = entry.address() != null ? entry.address() : remote.address;
        Location location = locations.computeIfAbsent(entry.zone(), name -> new Location());
        rules.listed(remote, builds.apply(entry.release()), location, entry.cell(), entry.state(), startedAt);
    }

    /** Picks now out, by name. */
    public Map<String, Integer> out() {
        Map<String, Integer> inFlight = new HashMap<>();
        remotes.forEach((name, remote) -> {
            if (remote.room.out > 0) {
                inFlight.put(name, remote.room.out);
            }
        });
        return inFlight;
    }

    /** What others have out, by name; nothing where they say nothing. */
    public void others(Map<String, Double> inFlightElsewhere) {
        remotes.forEach((name, remote) -> remote.others = inFlightElsewhere.getOrDefault(name, 0.0));
    }

    @Override
    public void report(Counters counters) {
        counters.count("version", version);
        counters.count("age ms", rules.listAge() < 0 ? -1 : rules.listAge() / TENTHS_PER_MS);
        counters.count("appliances", remotes.size());
        counters.count("covered", rules.covered());
        counters.count("failures", failures);
        failuresByKind.forEach((kind, count) -> counters.count("failed: " + kind, count));
        counters.count("unreadable entries", unreadableEntries);
        counters.count("older", olderLists);
        counters.count("clock stepped", startTimes.hasStepped() ? 1 : 0);
    }
}
