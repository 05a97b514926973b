package honeygap.net.askers;

import honeygap.fleet.Method;
import honeygap.net.Counters;
import honeygap.net.Front;
import honeygap.net.Loop;
import honeygap.net.Peer;
import honeygap.net.guests.Guests;
import honeygap.net.http.Refusal;
import honeygap.net.ofrep.Exchange;
import honeygap.net.shutdown.ShutdownLog;
import honeygap.rules.shutdown.ShutdownSchedule;
import java.util.Map;
import java.util.TreeMap;

/** All clients that ask this agent for flags. */
public final class Askers implements Front {

    /** A client that has had no evaluation open for so long may be closed, in tenths of a millisecond. */
    private static final long IDLE_TIMEOUT = 600_000;

    private final Loop loop;
    final Exchange dispatcher;
    final Guests connections;
    final int maxBodyLength;
    final long tick;
    private final Method evaluateMethod;
    private final Method bulkMethod;
    private final Method trackMethod;
    private final Method keyedTrackMethod;
    private final Map<String, Long> rejectedByKind = new TreeMap<>();
    private final ShutdownLog shutdownLog;
    private long pushedBackCount;

    /** Methods: one flag, all flags, an event, an event with a key; most connections; the longest body. */
    public Askers(Loop loop, Exchange dispatcher, Method evaluateMethod, Method bulkMethod, Method trackMethod, Method keyedTrackMethod, long tick,
                  int maxConnections, int maxBodyLength) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.evaluateMethod = evaluateMethod;
        this.bulkMethod = bulkMethod;
        this.trackMethod = trackMethod;
        this.keyedTrackMethod = keyedTrackMethod;
        this.tick = tick;
        this.maxBodyLength = maxBodyLength;
        shutdownLog = new ShutdownLog(loop);
        connections = new Guests(loop, maxConnections, Math.max(1, maxConnections / 2), IDLE_TIMEOUT, shutdownLog);
    }

    @Override
    public Peer comer() {
        return new FlagClientConnection(this);
    }

    Method method(Paths.Route route, boolean hasKey) {
        return route.isTracking() ? hasKey ? keyedTrackMethod : trackMethod : route.flag() == null ? bulkMethod : evaluateMethod;
    }

    long clock() {
        return loop.clock();
    }

    /** How long an evaluation may take: as the method has it, or less where the client says so. */
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

    /** The process was told to end, and goes by this schedule. */
    public void shutDown(ShutdownSchedule schedule) {
        shutdownLog.signalled(schedule, connections.countByStage());
        connections.shutDown(schedule, tick);
    }

    /** What happened since the signal to end. */
    public ShutdownLog shutdownLog() {
        return shutdownLog;
    }

    void countPushedBack() {
        pushedBackCount++;
    }

    @Override
    public void leave() {
        connections.closeBetweenRpcs();
    }

    @Override
    public void drain(boolean isDrained) {
        connections.drain(isDrained);
    }

    @Override
    public int count() {
        return connections.count();
    }

    /** How many connections are let in at most. */
    public int places() {
        return connections.places();
    }

    @Override
    public void report(Counters counters) {
        connections.report(counters);
        counters.count("pushed back", pushedBackCount);
        rejectedByKind.forEach((kind, count) -> counters.count("refused: " + kind, count));
    }
}
