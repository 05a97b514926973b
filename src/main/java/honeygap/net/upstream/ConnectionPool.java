package honeygap.net.upstream;

import honeygap.DecisionEngine;
import honeygap.fleet.Appliance;
import honeygap.fleet.Pick;
import honeygap.net.Upstream;
import honeygap.net.Call;
import honeygap.net.Counters;
import honeygap.net.EventLog;
import honeygap.net.Loop;
import honeygap.net.OncePerSecond;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Supplier;

/** The pool of connections to all appliances of one protocol. */
public final class ConnectionPool implements Upstream {

    /** This agent closes idle connections after this fraction of the appliances' own idle timeout. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.8;

    final Loop loop;
    private final DecisionEngine rules;
    private final BiFunction<ConnectionPool, RemoteAppliance, UpstreamConnection> connectionFactory;
    final long tick;
    final long connectTimeout;
    final long idleTimeout;
    private final int maxConnections;
    private final boolean opensRatherThanWaits;
    private final Set<UpstreamConnection> connections = new LinkedHashSet<>();
    private final long[] outcomeCounts = new long[8];
    private long malformedAnswers;
    private final OncePerSecond malformedLogLimiter;
    private long discardedWithInput;
    private long openedCount;
    private long releasedForMemoryCount;

    /**
     * Times are tenths of a millisecond: the agent's tick, the connect timeout and the idle timeout of the
     * appliances. The factory creates connections of the protocol.
     *
     * @param opensRatherThanWaits whether a connection is opened while others rest after an answer, where connections are
     *     cheap compared with requests
     */
    public ConnectionPool(Loop loop, DecisionEngine rules,
            BiFunction<ConnectionPool, RemoteAppliance, UpstreamConnection> connectionFactory, long tick,
            long connectTimeout, long applianceIdleTimeout, int maxConnections, boolean opensRatherThanWaits) {
        this.loop = loop;
        this.rules = rules;
        this.connectionFactory = connectionFactory;
        this.tick = tick;
        this.connectTimeout = connectTimeout;
        this.maxConnections = maxConnections;
        this.opensRatherThanWaits = opensRatherThanWaits;
        malformedLogLimiter = new OncePerSecond(loop);
        idleTimeout = (long) (IDLE_TIMEOUT_FRACTION * applianceIdleTimeout);
    }

    @Override
    public Appliance newAppliance(long id) {
        return new RemoteAppliance(id);
    }

    /** Whole milliseconds left until a time, at least one. */
    public long millisLeft(long time) {
        return Math.max(1, (time - loop.clock()) / 10);
    }

    /** If the connection limit is reached the pick is not sent at all. */
    @Override
    public void pick(Call call, Appliance appliance, long timeout) {
        int pickIndex = call.picks.size() - 1;
        UpstreamConnection connection = acquire((RemoteAppliance) appliance);
        if (connection == null) {
            reportEnded(call, pickIndex, Pick.NOT_EXECUTED);
            return;
        }
        connection.execute(call, pickIndex, timeout);
        connection.connect(Math.min(timeout, connectTimeout));
    }

    /**
     * Checks whether the appliance is ready. The result is not reported; a successful probe leaves an idle
     * connection.
     */
    @Override
    public void probe(Appliance appliance) {
        UpstreamConnection connection = acquire((RemoteAppliance) appliance);
        if (connection != null) {
            connection.probe();
            connection.connect(connectTimeout);
        }
    }

    /**
     * Takes a connection that has rested since its last answer. Where there is none, the rest of another is waited for, or
     * one is opened, in the order that the protocol prefers.
     */
    private UpstreamConnection acquire(RemoteAppliance appliance) {
        UpstreamConnection connection = firstWithoutInput(appliance.idleConnections::pollRested);
        if (connection == null && opensRatherThanWaits && connections.size() < maxConnections) {
            return open(appliance);
        }
        if (connection == null) {
            connection = firstWithoutInput(appliance.idleConnections::pollResting);
        }
        if (connection == null && (connections.size() < maxConnections || closeOneIdle())) {
            connection = open(appliance);
        }
        return connection;
    }

    /** Some appliances send more after an answer: a connection that has unexpected input is closed. */
    private UpstreamConnection firstWithoutInput(Supplier<UpstreamConnection> idle) {
        UpstreamConnection connection = idle.get();
        while (connection != null && !connection.hasNoPendingInput()) {
            discardedWithInput++;
            connection.close(Pick.CANCELLED);
            connection = idle.get();
        }
        return connection;
    }

    private UpstreamConnection open(RemoteAppliance appliance) {
        UpstreamConnection connection = connectionFactory.apply(this, appliance);
        connections.add(connection);
        openedCount++;
        return connection;
    }

    private boolean closeOneIdle() {
        for (UpstreamConnection connection : connections) {
            if (connection.isIdle) {
                connection.close(Pick.CANCELLED);
                return true;
            }
        }
        return false;
    }

    @Override
    public void cancel(Call call, int pickIndex) {
        for (UpstreamConnection connection : new ArrayList<>(connections)) {
            connection.cancel(call, pickIndex);
        }
    }

    @Override
    public void closeIdle(Appliance appliance) {
        for (UpstreamConnection connection : ((RemoteAppliance) appliance).idleConnections.all()) {
            connection.close(Pick.CANCELLED);
        }
    }

    void release(UpstreamConnection connection) {
        if (!connection.isCurrent()) {
            // A connection to the previous process must not return to the pool: its picks would be attributed to the
            // new build.
            loop.defer(() -> connection.close(Pick.CANCELLED));
        } else {
            connection.appliance().idleConnections.add(connection);
        }
    }

    void remove(UpstreamConnection connection) {
        connections.remove(connection);
        connection.appliance().idleConnections.remove(connection);
    }

    void reportWritten(Call call, int pickIndex) {
        rules.pickWritten(call, pickIndex, loop.clock());
    }

    void reportEnded(Call call, int pickIndex, int outcome) {
        outcomeCounts[outcome]++;
        long lag = loop.clock() - call.picks.get(pickIndex).sentAt;
        boolean closed = call.closed || outcome == Pick.OK;
        loop.defer(() -> rules.pickEnded(call, pickIndex, outcome, closed, lag));
    }

    /** Counts an answer that could not be parsed and logs it at a limited rate, with the pick that it was for. */
    void reportMalformed(Call call, int pick, RemoteAppliance appliance, String cause) {
        malformedAnswers++;
        if (malformedLogLimiter.isDue()) {
            EventLog.logPick(call == null ? "none" : call.id, call == null ? -1 : pick, appliance.id, appliance.address
                    + " sent a malformed answer: " + cause);
        }
    }

    /** Whether the request of a pick, which is about to be written on this connection, may be. */
    boolean beginSending(UpstreamConnection connection, Call call, int pickIndex) {
        if (connection.isCurrent() && !call.isAnswered()) {
            return rules.beginSending(call, pickIndex);
        }
        rules.pickWithdrawn(call, pickIndex);
        return false;
    }

    void countReleasedForMemory() {
        releasedForMemoryCount++;
    }

    @Override
    public void report(Counters counters) {
        counters.count("here", connections.size());
        counters.count("opened", openedCount);
        counters.count("ok", outcomeCounts[Pick.OK]);
        counters.count("error", outcomeCounts[Pick.ERROR]);
        counters.count("full", outcomeCounts[Pick.PUSHED_BACK]);
        counters.count("timeout", outcomeCounts[Pick.TIMEOUT]);
        counters.count("no connection", outcomeCounts[Pick.CONNECT_FAILED]);
        counters.count("reset", outcomeCounts[Pick.RESET]);
        counters.count("cancelled", outcomeCounts[Pick.CANCELLED]);
        counters.count("moot", outcomeCounts[Pick.NOT_EXECUTED]);
        counters.count("unreadable", malformedAnswers);
        counters.count("unquiet", discardedWithInput);
        counters.count("ended for memory", releasedForMemoryCount);
    }
}
