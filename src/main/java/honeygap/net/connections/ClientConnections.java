package honeygap.net.connections;

import honeygap.net.Counters;
import honeygap.net.Loop;
import honeygap.net.OncePerSecond;
import honeygap.net.shutdown.ShutdownEvent;
import honeygap.net.shutdown.ShutdownLog;
import honeygap.rules.shutdown.ShutdownSchedule;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.tinylog.Logger;

/** All client connections of one protocol: enforces the connection limit and closes idle connections. */
public final class ClientConnections {

    /** One connection above the limit is accepted per this many, see {@link #maxAcceptedConnections}. */
    private static final int CONNECTIONS_PER_EXTRA = 16;
    /** In tenths of a millisecond. */
    private static final long EVICTION_RETRY_INTERVAL = 10;

    final Loop loop;
    private final int maxConnections;
    private final int idleCloseThreshold;
    private final long idleTimeout;
    private final ShutdownLog shutdownLog;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    /** Connections without an open RPC; longest idle first. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();
    /** Connections whose startup or rest of a message is awaited; longest waiting first. */
    private final Set<ClientConnection> awaitingInput = new LinkedHashSet<>();
    /** Connections whose startup, or first request where the protocol has none, is not complete. */
    private final Set<ClientConnection> unstarted = new HashSet<>();
    /** Connections that have sent their startup when all places were taken; longest waiting first. */
    private final Set<ClientConnection> awaitingPlace = new LinkedHashSet<>();
    private Loop.Timer idleTimer;
    /** Number of connections, including those that close once their last response is written. */
    private int connected;
    private boolean closing;
    private boolean isShuttingDown;
    private boolean drained;
    private long timedOutCount;
    private long evictedCount;
    private long closedAboveThresholdCount;
    private long rejectedCount;
    private long evictedForMemoryCount;
    private long queueTooLongCount;
    private Loop.Timer overLimitTimer;
    private long rejectedForMemoryCount;
    private final OncePerSecond memoryLog;

    /**
     * Creates an empty set of connections.
     *
     * @param maxConnections how many connections may stay open
     * @param idleCloseThreshold number of connections above which idle ones are closed
     * @param idleTimeout time after which an idle connection is closed, in tenths of a millisecond
     */
    public ClientConnections(Loop loop, int maxConnections, int idleCloseThreshold, long idleTimeout, ShutdownLog shutdownLog) {
        this.loop = loop;
        this.shutdownLog = shutdownLog;
        this.maxConnections = maxConnections;
        this.idleCloseThreshold = idleCloseThreshold;
        this.idleTimeout = idleTimeout;
        memoryLog = new OncePerSecond(loop);
    }

    /** Adds a new connection. */
    void add(ClientConnection connection) {
        connected++;
        connections.add(connection);
        awaitingInput.add(connection);
        unstarted.add(connection);
        if (closing) {
            closeAfterFirstRpcDeadline(connection);
        }
        evictAboveLimit();
    }

    /**
     * While there are too many connections, evicts those whose input is overdue, longest awaited first; then idle ones,
     * but only for connections that are started or wait for a place: a client that connects and stays silent, or is
     * reset, must not cost another one its connection. Input that is not overdue is awaited, and this is repeated.
     */
    private void evictAboveLimit() {
        grantPlaces();
        while (connections.size() > maxConnections) {
            Optional<ClientConnection> overdue = awaitingInput.stream().findFirst().filter(ClientConnection::isOverdue);
            if (overdue.isPresent()) {
                evictedCount++;
                remove(overdue.get());
                overdue.get().terminate(overdue.get().tooManyConnectionsResponse());
            } else if (startedCount() + awaitingPlace.size() > maxConnections && evictionCandidate().isPresent()) {
                evictedCount++;
                closeIdle(evictionCandidate().get());
                grantPlaces();
            } else {
                scheduleEviction();
                return;
            }
        }
    }

    /**
     * Whether a connection that has sent its startup has to wait for a place; it is granted one or rejected later. Not
     * all of those that hold the places can be closed at once: the first RPC of a new connection may be a resend after
     * another connection was closed, and clients don't resend a second time.
     */
    public boolean awaitsPlace(ClientConnection connection) {
        if (drained || startedCount() < maxConnections) {
            return false;
        }
        awaitingPlace.add(connection);
        evictAboveLimit();
        if (!awaitingPlace.contains(connection)) {
            return false;
        }
        loop.schedule(connection.firstRpcDeadline(), () -> rejectIfAwaitingPlace(connection));
        return true;
    }

    private void grantPlaces() {
        while (!awaitingPlace.isEmpty() && startedCount() < maxConnections) {
            ClientConnection granted = awaitingPlace.iterator().next();
            awaitingPlace.remove(granted);
            unstarted.remove(granted);
            loop.defer(granted::placeGranted);
        }
    }

    private void rejectIfAwaitingPlace(ClientConnection connection) {
        if (awaitingPlace.remove(connection)) {
            rejectedCount++;
            remove(connection);
            connection.terminate(connection.tooManyConnectionsResponse());
        }
    }

    /** Tries again when input becomes overdue or an idle connection has had its time; other changes call for it anyway. */
    private void scheduleEviction() {
        long overdueAt = awaitingInput.isEmpty() ? Long.MAX_VALUE : awaitingInput.iterator().next().overdueAt();
        long idleAt = idle.stream().mapToLong(ClientConnection::firstRpcDeadline).min().orElse(Long.MAX_VALUE);
        long nextAt = Math.min(overdueAt, idleAt);
        if (overLimitTimer == null && nextAt < Long.MAX_VALUE) {
            overLimitTimer = loop.schedule(Math.max(nextAt, loop.now() + EVICTION_RETRY_INTERVAL), () -> {
                overLimitTimer = null;
                evictAboveLimit();
            });
        }
    }

    /** The number of connections that are started. */
    private int startedCount() {
        return connections.size() - unstarted.size();
    }

    /**
     * An idle connection to close: first one whose client has sent requests but no RPC, then one that has sent a request,
     * then one that has had time to send one.
     */
    private Optional<ClientConnection> evictionCandidate() {
        return requestCandidate().or(() -> idle.stream().filter(ClientConnection::hadTimeForFirstRpc).findFirst());
    }

    private Optional<ClientConnection> requestCandidate() {
        return idle.stream().filter(connection -> connection.hasReceivedRequest() && !connection.hasOpenedRpc()).findFirst()
                .or(() -> idle.stream().filter(ClientConnection::hasReceivedRequest).findFirst());
    }

    /** Closes an idle connection, unless its next RPC has already arrived: then it stays and is no longer idle. */
    private void closeIdle(ClientConnection connection) {
        idle.remove(connection);
        if (connection.closeIdle()) {
            remove(connection);
        }
    }

    void recordShutdownEvent(ShutdownEvent event, ClientConnection connection) {
        shutdownLog.connection(event, connection.age());
    }

    /** A connection is completely closed. */
    void connectionClosed() {
        connected--;
    }

    void remove(ClientConnection connection) {
        connections.remove(connection);
        idle.remove(connection);
        awaitingInput.remove(connection);
        unstarted.remove(connection);
        awaitingPlace.remove(connection);
    }

    void updateAwaitingInput(ClientConnection connection, boolean isAwaited) {
        if (isAwaited && connections.contains(connection)) {
            awaitingInput.add(connection);
        } else {
            awaitingInput.remove(connection);
        }
    }

    /**
     * Whether a request or startup of this connection is rejected, because of too many connections or a drain; counts
     * rejections.
     */
    public boolean rejectsRequest(ClientConnection connection) {
        unstarted.remove(connection);
        evictAboveLimit();
        boolean isRejected = startedCount() > maxConnections || drained;
        rejectedCount += isRejected ? 1 : 0;
        return isRejected;
    }

    /** Whether there is no memory for another request; counts rejections. Such a request may be retried elsewhere. */
    public boolean lacksMemory() {
        boolean isLacking = !loop.memory().admitsRequest(loop.now());
        if (isLacking) {
            rejectedForMemoryCount++;
            logMemory("request rejected");
        }
        return isLacking;
    }

    /** Ends a connection because of what it holds: a request that is still incomplete or a response that is not read. */
    void evictForMemory(ClientConnection connection) {
        countEvictedForMemory();
        remove(connection);
        connection.terminate(connection.outOfMemoryResponse());
    }

    void countEvictedForMemory() {
        evictedForMemoryCount++;
        logMemory("connection ended");
    }

    void countQueueTooLong() {
        queueTooLongCount++;
    }

    private void logMemory(String event) {
        if (memoryLog.isDue()) {
            Logger.warn("{}: all connections together hold {} bytes, {} are allowed for requests", event,
                    loop.memory().heldBytes(), loop.memory().maxBytesForRequests());
        }
    }

    /** Rejects requests and closes connections between RPCs, or accepts them again. */
    public void drain(boolean isDrained) {
        drained = isDrained;
        if (isDrained) {
            closeBetweenRpcs();
        } else if (!isShuttingDown) {
            closing = false;
        }
    }

    /**
     * Schedules the shutdown of all connections: shortly after the time by which the rules should have answered, those
     * with an open RPC or a partial request get a final response.
     */
    public void shutDown(ShutdownSchedule schedule, long tick) {
        isShuttingDown = true;
        loop.schedule(schedule.answersBy() + 2 * tick,
                () -> loop.post(() -> new ArrayList<>(connections).forEach(ClientConnection::endForShutdown)));
    }

    void updateIdle(ClientConnection connection, boolean isIdle) {
        if (!isIdle || !connections.contains(connection)) {
            idle.remove(connection);
            evictAboveLimit();
        } else if (closing) {
            closeAfterFirstRpcDeadline(connection);
        } else if (idle.add(connection)) {
            connection.idleSince = loop.now();
            if (idleTimer == null) {
                idleTimer = loop.schedule(loop.now() + idleTimeout, this::closeExpiredIdle);
            }
            evictAboveLimit();
            if (startedCount() > idleCloseThreshold) {
                // Guards against clients that send one request per connection: they could open no more until others
                // close. A connection without a request so far is kept: its first RPC may be in transit, and may be a
                // resend after another connection was closed.
                requestCandidate().ifPresent(longestIdle -> {
                    closedAboveThresholdCount++;
                    closeIdle(longestIdle);
                });
            }
        }
    }

    /**
     * Closes connections that have been idle for the idle timeout. Guards against clients that send one request and
     * keep the connection, which would use up the connection limit. Clients that send requests at shorter intervals
     * are not affected.
     */
    private void closeExpiredIdle() {
        idleTimer = null;
        while (!idle.isEmpty()) {
            ClientConnection longestIdle = idle.iterator().next();
            if (longestIdle.idleSince + idleTimeout > loop.now()) {
                idleTimer = loop.schedule(longestIdle.idleSince + idleTimeout, this::closeExpiredIdle);
                return;
            }
            closeIdle(longestIdle);
        }
    }

    /** Closes an inactive connection, but leaves a new one time for its first RPC, which may be in transit. */
    private void closeAfterFirstRpcDeadline(ClientConnection connection) {
        if (connection.hadTimeForFirstRpc()) {
            closeIfInactive(connection);
        } else {
            loop.schedule(connection.firstRpcDeadline(), () -> closeIfInactive(connection));
        }
    }

    /** Also closes connections that have sent nothing: the close shows their clients that nothing was accepted. */
    private void closeIfInactive(ClientConnection connection) {
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

    /** Starts closing connections between RPCs. */
    public void closeBetweenRpcs() {
        closing = true;
        idle.clear();
        new ArrayList<>(connections).forEach(this::closeAfterFirstRpcDeadline);
    }

    /** The number of connections in each stage. */
    public Map<String, Long> countByStage() {
        return connections.stream()
                .collect(Collectors.groupingBy(ClientConnection::stageName, TreeMap::new, Collectors.counting()));
    }

    /** The number of connections, including those that close once their last response is written. */
    public int count() {
        return connected;
    }

    /** The number of connections to accept: slightly above the limit, so that evicted clients can be sent an error. */
    public int maxAcceptedConnections() {
        return maxConnections + maxConnections / CONNECTIONS_PER_EXTRA + 1;
    }

    /** Reports the connection counters. */
    public void report(Counters counters) {
        counters.count("here", connections.size());
        counters.count("idle", idle.size());
        counters.count("too long", timedOutCount);
        counters.count("made room", evictedCount);
        counters.count("crowded", closedAboveThresholdCount);
        counters.count("full", rejectedCount);
        counters.count("ended for memory", evictedForMemoryCount);
        counters.count("rejected for memory", rejectedForMemoryCount);
        counters.count("queue too long", queueTooLongCount);
        counters.count("awaiting place", awaitingPlace.size());
        counters.count("unstarted", unstarted.size());
    }
}
