package honeygap.lab.soak;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** How the requests of regular clients ended in a period, and how long they took. */
final class FloodMeasurement {

    /** How a request ended for its client. */
    enum Ending {
        /** Answered with a row. */
        SERVED,
        /** Rejected without effect. */
        REFUSED,
        /** Answered with another error. */
        FAILED,
        /** No final answer half a second after its deadline. */
        UNANSWERED,
        /** The connection ended without an answer, twice. */
        CLOSED
    }

    private static final long MAX_LATENCY_MS = 60_000;
    private static final double P99 = 99;

    private final Map<Ending, Long> endings = new EnumMap<>(Ending.class);
    private final Histogram latencies = new Histogram(MAX_LATENCY_MS, 3);
    private long late;
    private long resent;

    /** Records the end of a request. */
    synchronized void record(Ending ending, long latencyMs, long deadlineMs) {
        endings.merge(ending, 1L, Long::sum);
        latencies.recordValue(Math.min(MAX_LATENCY_MS, latencyMs));
        late += latencyMs > deadlineMs ? 1 : 0;
    }

    /** Counts a request that was sent once more because its connection was closed. */
    synchronized void countResent() {
        resent++;
    }

    synchronized long count(Ending ending) {
        return endings.getOrDefault(ending, 0L);
    }

    /** The 99th percentile of the time up to the end of a request, in milliseconds. */
    synchronized long p99Ms() {
        return latencies.getValueAtPercentile(P99);
    }

    @Override
    public synchronized String toString() {
        return String.format("served %d, refused %d, failed %d, unanswered %d, closed %d; late %d, sent twice %d; p99 %d ms,"
                + " max %d ms", count(Ending.SERVED), count(Ending.REFUSED), count(Ending.FAILED), count(Ending.UNANSWERED),
                count(Ending.CLOSED), late, resent, p99Ms(), latencies.getMaxValue());
    }
}
