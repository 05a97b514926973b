package honeygap.net.shutdown;

import honeygap.net.Counters;
import honeygap.net.LogRateLimiter;
import honeygap.net.Loop;
import honeygap.rules.shutdown.ShutdownSchedule;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;

/**
 * Logs and counts what happens to the client connections and RPCs of one protocol during a shutdown. The number of
 * log lines per second is limited. On the loop.
 */
public final class ShutdownLog implements Counters.Group {

    private static final int LINES_PER_SECOND = 50;
    private static final long TENTHS_PER_MS = 10;

    private final Loop loop;
    private final LogRateLimiter logLimiter;
    private final Map<String, Long> counts = new LinkedHashMap<>();
    private ShutdownSchedule schedule;

    public ShutdownLog(Loop loop) {
        this.loop = loop;
        logLimiter = new LogRateLimiter(loop, LINES_PER_SECOND);
    }

    /** A shutdown was requested; the argument has the open connections by stage. */
    public void onSignal(ShutdownSchedule newSchedule, Map<String, Long> connections) {
        schedule = newSchedule;
        Logger.info("shutdown: signal heard, connections by stage {}; closing after {} ms, answers by {} ms, end by {} ms",
                connections, millisSinceSignal(newSchedule.closesAt()), millisSinceSignal(newSchedule.answersBy()),
                millisSinceSignal(newSchedule.endsBy()));
    }

    private boolean isSignalled() {
        return schedule != null;
    }

    /** Records an event of an RPC; ignored before the shutdown begins. Times are tenths of a millisecond. */
    public void rpc(ShutdownEvent event, String id, String method, long connectionAge, long timeLeft) {
        if (!isSignalled() || !countAndCheckLimit(event)) {
            return;
        }
        ThreadContext.put("event", event.label);
        ThreadContext.put("rpc", id);
        ThreadContext.put("method", method);
        ThreadContext.put("left_ms", Long.toString(timeLeft / TENTHS_PER_MS));
        try {
            Logger.info("shutdown: RPC {} ({}) {} {} ms after the signal, {} ms left, on a connection {} ms old",
                    id, method, event.label, millisSinceSignal(loop.clock()), timeLeft / TENTHS_PER_MS,
                    connectionAge / TENTHS_PER_MS);
        } finally {
            ThreadContext.remove("event");
            ThreadContext.remove("rpc");
            ThreadContext.remove("method");
            ThreadContext.remove("left_ms");
        }
    }

    /** Records an event of a connection; ignored before the shutdown begins. */
    public void connection(ShutdownEvent event, long age) {
        if (isSignalled() && countAndCheckLimit(event)) {
            Logger.info("shutdown: connection {} {} ms after the signal, {} ms old", event.label,
                    millisSinceSignal(loop.clock()), age / TENTHS_PER_MS);
        }
    }

    /** Counts the event; returns whether it may be logged as well. */
    private boolean countAndCheckLimit(ShutdownEvent event) {
        String phase = schedule.phase(loop.clock()).name().toLowerCase(Locale.ROOT);
        counts.merge(event.label + " while " + phase, 1L, Long::sum);
        return logLimiter.tryAcquire();
    }

    private long millisSinceSignal(long time) {
        return (time - schedule.signalledAt()) / TENTHS_PER_MS;
    }

    @Override
    public void report(Counters counters) {
        counters.count("signalled", isSignalled() ? 1 : 0);
        counts.forEach(counters::count);
        counters.count("lines left out", logLimiter.suppressed());
    }
}
