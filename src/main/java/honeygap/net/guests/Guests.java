package honeygap.net.guests;

import honeygap.net.Counters;
import honeygap.net.Loop;
import honeygap.net.shutdown.ShutdownEvent;
import honeygap.net.shutdown.ShutdownLog;
import honeygap.rules.shutdown.ShutdownSchedule;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** All connections of one front: who may stay, who makes room, who has rested for too long. */
public final class Guests {

    /** One place over for so many that may stay. */
    private static final int CONNECTIONS_PER_EXTRA = 16;

    final Loop loop;
    private final int maxConnections;
    private final int idleCloseThreshold;
    private final long idleTimeout;
    private final ShutdownLog shutdownLog;
    private final Set<Guest> connections = new LinkedHashSet<>();
    /** Longest idle first. */
    private final Set<Guest> idle = new LinkedHashSet<>();
    /** Those whose start, or the rest of whose message, is waited for; longest so first. */
    private final Set<Guest> awaitingInput = new LinkedHashSet<>();
    private Loop.Timer idleTimer;
    /** Connections that are here, or that are closed once all has been written to them. */
    private int connected;
    private boolean closing;
    private boolean isShuttingDown;
    private boolean drained;
    private long timedOutCount;
    private long evictedCount;
    private long closedAboveThresholdCount;
    private long rejectedCount;

    /** Above a crowd idle ones go, most is the limit; one idle for so long, in tenths of a millisecond, goes. */
    public Guests(Loop loop, int maxConnections, int idleCloseThreshold, long idleTimeout, ShutdownLog shutdownLog) {
        this.loop = loop;
        this.shutdownLog = shutdownLog;
        this.maxConnections = maxConnections;
        this.idleCloseThreshold = idleCloseThreshold;
        this.idleTimeout = idleTimeout;
    }

    /**
     * At the limit whoever has been waited for longest makes room, or else has been idle longest. Guards
     * against turning down those that came in the same moment and have not been read: they ask at once again.
     */
    void add(Guest connection) {
        connected++;
        connections.add(connection);
        awaitingInput.add(connection);
        if (closing) {
            closeAfterFirstRpcDeadline(connection);
        }
        while (connections.size() > maxConnections) {
            Guest evicted = awaitingInput.iterator().next();
            if (!evicted.isOverdue() && !idle.isEmpty()) {
                // One that has just come goes last: its first RPC may be one that another close has crossed, and is not sent a third time.
                evicted = evictionCandidate().orElse(idle.iterator().next());
            }
            if (evicted == connection) {
                return;
            }
            evictedCount++;
            if (evicted.isIdle()) {
                closeIdle(evicted);
            } else {
                remove(evicted);
                evicted.terminate(evicted.tooManyWord());
            }
        }
    }

    /** The one to close where some must: one that has been answered before one that has had time to ask and has not. */
    private Optional<Guest> evictionCandidate() {
        return idle.stream().filter(Guest::hasReceivedRequest).findFirst()
                .or(() -> idle.stream().filter(Guest::hadTimeForFirstRpc).findFirst());
    }

    /** Between RPCs; it has left where it was closed, and is busy where its next RPC had come. */
    private void closeIdle(Guest connection) {
        idle.remove(connection);
        if (connection.closeIdle()) {
            remove(connection);
        }
    }

    void recordShutdownEvent(ShutdownEvent event, Guest connection) {
        shutdownLog.connection(event, connection.age());
    }

    /** A connection has gone. */
    void connectionClosed() {
        connected--;
    }

    void remove(Guest connection) {
        connections.remove(connection);
        idle.remove(connection);
        awaitingInput.remove(connection);
    }

    void updateAwaitingInput(Guest connection, boolean isAwaited) {
        if (isAwaited && connections.contains(connection)) {
            awaitingInput.add(connection);
        } else {
            awaitingInput.remove(connection);
        }
    }

    /** Whether the one that asks is one too many, or comes while nobody is taken; counted. */
    public boolean isFull() {
        boolean isRejected = connections.size() > maxConnections || drained;
        rejectedCount += isRejected ? 1 : 0;
        return isRejected;
    }

    /** Takes nobody and closes connections between RPCs, or takes them again. */
    public void drain(boolean isDrained) {
        drained = isDrained;
        if (isDrained) {
            closeBetweenRpcs();
        } else if (!isShuttingDown) {
            closing = false;
        }
    }

    /**
     * The process ends by this schedule: whatever is open when it should have been answered, a little after the rules had their say,
     * gets its last word.
     */
    public void shutDown(ShutdownSchedule schedule, long tick) {
        isShuttingDown = true;
        loop.at(schedule.answersBy() + 2 * tick, () -> loop.post(() -> new ArrayList<>(connections).forEach(Guest::endForShutdown)));
    }

    void updateIdle(Guest connection, boolean isIdle) {
        if (!isIdle || !connections.contains(connection)) {
            idle.remove(connection);
        } else if (closing) {
            closeAfterFirstRpcDeadline(connection);
        } else if (idle.add(connection)) {
            connection.idleSince = loop.now();
            if (idleTimer == null) {
                idleTimer = loop.at(loop.now() + idleTimeout, this::closeExpiredIdle);
            }
            if (connections.size() > idleCloseThreshold) {
                // Guards against clients that ask once a connection: they may open no more until some go. One that has
                // not asked yet is spared: its first RPC may be on its way, and may be one that another close has crossed.
                idle.stream().filter(Guest::hasReceivedRequest).findFirst().ifPresent(longestIdle -> {
                    closedAboveThresholdCount++;
                    closeIdle(longestIdle);
                });
            }
        }
    }

    /**
     * Guards against clients that ask once and stay: their connections would leave no place for others. Those
     * that ask again within the time are never among them.
     */
    private void closeExpiredIdle() {
        idleTimer = null;
        while (!idle.isEmpty()) {
            Guest longestIdle = idle.iterator().next();
            if (longestIdle.idleSince + idleTimeout > loop.now()) {
                idleTimer = loop.at(longestIdle.idleSince + idleTimeout, this::closeExpiredIdle);
                return;
            }
            closeIdle(longestIdle);
        }
    }

    /** Guards against closing a connection that has just come and whose first RPC is on its way. */
    private void closeAfterFirstRpcDeadline(Guest connection) {
        if (connection.hadTimeForFirstRpc()) {
            closeIfInactive(connection);
        } else {
            loop.at(connection.firstRpcDeadline(), () -> closeIfInactive(connection));
        }
    }

    /** One that has said nothing rests as well: its client is told by the close that nothing was taken. */
    private void closeIfInactive(Guest connection) {
        if (closing && connections.contains(connection) && (connection.isIdle() || connection.hasSentNothing())) {
            closeIdle(connection);
        }
    }

    void countTimedOut() {
        timedOutCount++;
    }

    public boolean isClosing() {
        return closing;
    }

    /** From now on connections are closed between RPCs. */
    public void closeBetweenRpcs() {
        closing = true;
        idle.clear();
        new ArrayList<>(connections).forEach(this::closeAfterFirstRpcDeadline);
    }

    /** How many connections are in each stage. */
    public Map<String, Long> countByStage() {
        return connections.stream().collect(Collectors.groupingBy(Guest::stageName, TreeMap::new, Collectors.counting()));
    }

    /** Connections, those included that are closed once all has been written to them. */
    public int count() {
        return connected;
    }

    /** So many are let in: a few more than may stay, so that whoever makes room can be told. */
    public int places() {
        return maxConnections + maxConnections / CONNECTIONS_PER_EXTRA + 1;
    }

    /** Tells the counters that concern connections. */
    public void report(Counters counters) {
        counters.count("here", connections.size());
        counters.count("idle", idle.size());
        counters.count("too long", timedOutCount);
        counters.count("made room", evictedCount);
        counters.count("crowded", closedAboveThresholdCount);
        counters.count("full", rejectedCount);
    }
}
