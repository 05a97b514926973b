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
    private static final long KEPT = 600_000;

    private final Loop loop;
    final Exchange exchange;
    final Guests guests;
    final int longestBody;
    final long tick;
    private final Method one;
    private final Method bulk;
    private final Method track;
    private final Method tracked;
    private final Map<String, Long> refused = new TreeMap<>();
    private final ShutdownLog shutdownLog;
    private long pushedBack;

    /** Methods: one flag, all flags, an event, an event with a key; most connections; the longest body. */
    public Askers(Loop loop, Exchange exchange, Method one, Method bulk, Method track, Method tracked, long tick,
                  int most, int longestBody) {
        this.loop = loop;
        this.exchange = exchange;
        this.one = one;
        this.bulk = bulk;
        this.track = track;
        this.tracked = tracked;
        this.tick = tick;
        this.longestBody = longestBody;
        shutdownLog = new ShutdownLog(loop);
        guests = new Guests(loop, most, Math.max(1, most / 2), KEPT, shutdownLog);
    }

    @Override
    public Peer comer() {
        return new Asker(this);
    }

    Method method(Paths.Where where, boolean hasKey) {
        return where.isTracking() ? hasKey ? tracked : track : where.flag() == null ? bulk : one;
    }

    long clock() {
        return loop.clock();
    }

    /** How long an evaluation may take: as the method has it, or less where the client says so. */
    long within(Method method, String ms) throws Refusal {
        long within = method.deadline;
        if (ms != null) {
            if (!ms.matches("[0-9]{1,9}")) {
                throw new Refusal(400, "INVALID_CONTEXT", "field x-deadline-ms is not a whole number of ms");
            }
            within = Math.min(within, 10 * Long.parseLong(ms));
        }
        return Math.max(0, within - tick);
    }

    void refused(String kind) {
        refused.merge(kind, 1L, Long::sum);
    }

    /** The process was told to end, and goes by this schedule. */
    public void shutDown(ShutdownSchedule schedule) {
        shutdownLog.signalled(schedule, guests.stages());
        guests.shutDown(schedule, tick);
    }

    /** What happened since the signal to end. */
    public ShutdownLog shutdownLog() {
        return shutdownLog;
    }

    void pushedBack() {
        pushedBack++;
    }

    @Override
    public void leave() {
        guests.leave();
    }

    @Override
    public void drain(boolean isDrained) {
        guests.drain(isDrained);
    }

    @Override
    public int count() {
        return guests.count();
    }

    /** How many connections are let in at most. */
    public int places() {
        return guests.places();
    }

    @Override
    public void report(Counters counters) {
        guests.report(counters);
        counters.count("pushed back", pushedBack);
        refused.forEach((kind, many) -> counters.count("refused: " + kind, many));
    }
}
