package honeygap.net.flagclients;

import honeygap.fleet.Method;
import honeygap.net.Counters;
import honeygap.net.Downstream;
import honeygap.net.Loop;
import honeygap.net.ConnectionHandler;
import honeygap.net.connections.ClientConnections;
import honeygap.net.http.Refusal;
import honeygap.net.ofrep.EvaluationDispatcher;
import honeygap.net.shutdown.ShutdownLog;
import honeygap.rules.shutdown.ShutdownSchedule;
import java.util.Map;
import java.util.TreeMap;

/** All connections of flag clients to this agent. */
public final class FlagClients implements Downstream {

    /** A connection without an open evaluation for this long may be closed; tenths of a millisecond. */
    private static final long IDLE_TIMEOUT = 600_000;

    private final Loop loop;
    final EvaluationDispatcher dispatcher;
    final ClientConnections connections;
    final int maxBodyLength;
    final long tick;
    private final Method evaluateMethod;
    private final Method bulkMethod;
    private final Method trackMethod;
    private final Method keyedTrackMethod;
    private final Map<String, Long> rejectedByKind = new TreeMap<>();
    private final ShutdownLog shutdownLog;
    private long pushedBackCount;

    /**
     * Creates the downstream side of the flag API.
     *
     * @param evaluateMethod the method for evaluating one flag
     * @param bulkMethod the method for evaluating all flags
     * @param trackMethod the method for tracking an event
     * @param keyedTrackMethod the method for tracking an event with an idempotency key
     * @param tick duration of a tick in tenths of a millisecond
     * @param maxConnections how many connections may stay open
     * @param maxBodyLength the maximum length of a request body in bytes
     */
    public FlagClients(Loop loop, EvaluationDispatcher dispatcher, Method evaluateMethod, Method bulkMethod, Method trackMethod,
            Method keyedTrackMethod, long tick, int maxConnections, int maxBodyLength) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.evaluateMethod = evaluateMethod;
        this.bulkMethod = bulkMethod;
        this.trackMethod = trackMethod;
        this.keyedTrackMethod = keyedTrackMethod;
        this.tick = tick;
        this.maxBodyLength = maxBodyLength;
        shutdownLog = new ShutdownLog(loop);
        connections = new ClientConnections(loop, maxConnections, Math.max(1, maxConnections / 2), IDLE_TIMEOUT, shutdownLog);
    }

    @Override
    public ConnectionHandler newHandler() {
        return new FlagClientConnection(this);
    }

    Method method(Paths.Route route, boolean hasKey) {
        return route.isTracking() ? hasKey ? keyedTrackMethod : trackMethod
                : route.flag() == null ? bulkMethod : evaluateMethod;
    }

    long clock() {
        return loop.clock();
    }

    /** How long an evaluation may take: the method's deadline, or a shorter one requested by the client. */
    long timeout(Method method, String requestedMs) throws Refusal {
        long timeout = method.deadline;
        if (requestedMs != null) {
            if (!requestedMs.matches("[0-9]{1,9}")) {
                throw new Refusal(400, "INVALID_CONTEXT", "field x-deadline-ms is not a whole number of ms");
            }
            timeout = Math.min(timeout, 10 * Long.parseLong(requestedMs));
        }
        return Math.max(0, timeout - tick);
    }

    void countRejected(String kind) {
        rejectedByKind.merge(kind, 1L, Long::sum);
    }

    /** Starts the shutdown of the process by this schedule. */
    public void shutDown(ShutdownSchedule schedule) {
        shutdownLog.onSignal(schedule, connections.countByStage());
        connections.shutDown(schedule, tick);
    }

    /** Events since the shutdown signal. */
    public ShutdownLog shutdownLog() {
        return shutdownLog;
    }

    void countPushedBack() {
        pushedBackCount++;
    }

    @Override
    public void closeBetweenRpcs() {
        connections.closeBetweenRpcs();
    }

    @Override
    public void setDrained(boolean isDrained) {
        connections.drain(isDrained);
    }

    @Override
    public int connectionCount() {
        return connections.count();
    }

    /** The maximum number of connections to accept. */
    public int maxAcceptedConnections() {
        return connections.maxAcceptedConnections();
    }

    @Override
    public void report(Counters counters) {
        connections.report(counters);
        counters.count("pushed back", pushedBackCount);
        rejectedByKind.forEach((kind, count) -> counters.count("refused: " + kind, count));
    }
}
