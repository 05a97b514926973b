package honeygap.capture.replay;

import honeygap.capture.message.Spoken;
import java.io.PrintWriter;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What became of a replay: outcomes beside the recorded ones, times, how late RPCs went out. */
public final class Tally {

    /** An RPC that went out later than this, in nanoseconds, is late. */
    private static final long LATE = 5_000_000;

    private final Map<Spoken.Outcome, Map<Spoken.Outcome, Long>> outcomes = new EnumMap<>(Spoken.Outcome.class);
    private final Map<String, Histogram> times = new TreeMap<>();
    private final Histogram recorded = new Histogram(3);
    private final Histogram sendError = new Histogram(3);
    private long sent;
    private long ended;
    private long late;
    private long otherValues;
    private long sameValues;

    /** An RPC goes out, so many nanoseconds after it was due. */
    public void sent(long after) {
        sent++;
        sendError.recordValue(Math.max(0, after));
        late += after > LATE ? 1 : 0;
    }

    /** One has ended; its time is counted from when it was due, so that a late one is not made to look quick. */
    public void ended(Spoken spoken, Spoken.Outcome outcome, long took, Boolean isSameValue) {
        ended++;
        outcomes.computeIfAbsent(spoken.outcome, was -> new EnumMap<>(Spoken.Outcome.class))
                .merge(outcome, 1L, Long::sum);
        times.computeIfAbsent(spoken.method, method -> new Histogram(3)).recordValue(Math.max(0, took));
        if (spoken.took >= 0) {
            recorded.recordValue(spoken.took);
        }
        if (isSameValue != null) {
            sameValues += isSameValue ? 1 : 0;
            otherValues += isSameValue ? 0 : 1;
        }
    }

    public long sent() {
        return sent;
    }

    public long ended() {
        return ended;
    }

    public long late() {
        return late;
    }

    /** Answers of another kind than recorded, where the record knows, or of another value where that was asked. */
    public long different() {
        long different = otherValues;
        for (Map.Entry<Spoken.Outcome, Map<Spoken.Outcome, Long>> was : outcomes.entrySet()) {
            boolean isKnown = was.getKey() != Spoken.Outcome.open && was.getKey() != Spoken.Outcome.torn;
            for (Map.Entry<Spoken.Outcome, Long> is : was.getValue().entrySet()) {
                different += isKnown && is.getKey() != was.getKey() ? is.getValue() : 0;
            }
        }
        return different;
    }

    /** Send-time error at a percentile, in nanoseconds. */
    public long sendError(double percentile) {
        return sendError.getValueAtPercentile(percentile);
    }

    public void print(PrintWriter out, Plan plan) {
        out.printf("sent %d, ended %d, left out for their effects %d, not selected %d%n", sent, ended,
                plan.leftOut(), plan.unwanted());
        out.printf("send-time error: p50 %.3f ms, p99 %.3f ms, max %.3f ms; late by over %d ms: %d; held for the one"
                + " before: %d%n", sendError.getValueAtPercentile(50) / 1e6, sendError.getValueAtPercentile(99) / 1e6,
                sendError.getMaxValue() / 1e6, LATE / 1_000_000, late, plan.held());
        outcomes.forEach((was, all) -> all.forEach((is, many) ->
                out.printf("recorded %-8s now %-8s %d%s%n", was, is, many, was == is ? "" : "  (differs)")));
        if (sameValues + otherValues > 0) {
            out.printf("values: same %d, other %d%n", sameValues, otherValues);
        }
        line(out, "recorded, all", recorded);
        times.forEach((method, histogram) -> line(out, "now, " + method, histogram));
    }

    private static void line(PrintWriter out, String name, Histogram times) {
        out.printf("%-24s n %-8d p50 %8.3f ms  p90 %8.3f ms  p99 %8.3f ms  p99.9 %8.3f ms  max %8.3f ms%n", name,
                times.getTotalCount(), times.getValueAtPercentile(50) / 1e6, times.getValueAtPercentile(90) / 1e6,
                times.getValueAtPercentile(99) / 1e6, times.getValueAtPercentile(99.9) / 1e6,
                times.getMaxValue() / 1e6);
    }
}
