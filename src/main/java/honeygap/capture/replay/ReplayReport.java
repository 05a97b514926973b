package honeygap.capture.replay;

import honeygap.capture.message.RecordedRpc;
import java.io.PrintWriter;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Statistics of a replay: outcomes compared with the recorded ones, response times, and send delays. */
public final class ReplayReport {

    /** An RPC sent more than this many nanoseconds after its due time counts as late. */
    private static final long LATE_AFTER_NS = 5_000_000;

    private final Map<RecordedRpc.Outcome, Map<RecordedRpc.Outcome, Long>> outcomeCounts = new EnumMap<>(RecordedRpc.Outcome.class);
    private final Map<String, Histogram> replayedTimesByMethod = new TreeMap<>();
    private final Histogram recordedTimes = new Histogram(3);
    private final Histogram sendError = new Histogram(3);
    private long sentCount;
    private long completedCount;
    private long lateCount;
    private long differentValues;
    private long sameValues;

    /** Records that an RPC was sent the given number of nanoseconds after its due time. */
    public void rpcSent(long delayNs) {
        sentCount++;
        sendError.recordValue(Math.max(0, delayNs));
        lateCount += delayNs > LATE_AFTER_NS ? 1 : 0;
    }

    /** Records a completed RPC. Its duration counts from the due time, so that a late send doesn't hide latency. */
    public void rpcCompleted(RecordedRpc rpc, RecordedRpc.Outcome outcome, long durationNs, Boolean isSameValue) {
        completedCount++;
        outcomeCounts.computeIfAbsent(rpc.outcome, recordedOutcome -> new EnumMap<>(RecordedRpc.Outcome.class))
                .merge(outcome, 1L, Long::sum);
        replayedTimesByMethod.computeIfAbsent(rpc.method, method -> new Histogram(3))
                .recordValue(Math.max(0, durationNs));
        if (rpc.durationNs >= 0) {
            recordedTimes.recordValue(rpc.durationNs);
        }
        if (isSameValue != null) {
            sameValues += isSameValue ? 1 : 0;
            differentValues += isSameValue ? 0 : 1;
        }
    }

    public long sentCount() {
        return sentCount;
    }

    public long completedCount() {
        return completedCount;
    }

    public long lateCount() {
        return lateCount;
    }

    /** Number of RPCs whose outcome differs from a known recorded one, or whose compared value differs. */
    public long differenceCount() {
        long differences = differentValues;
        for (Map.Entry<RecordedRpc.Outcome, Map<RecordedRpc.Outcome, Long>> recorded : outcomeCounts.entrySet()) {
            boolean isKnown = recorded.getKey() != RecordedRpc.Outcome.open && recorded.getKey() != RecordedRpc.Outcome.torn;
            for (Map.Entry<RecordedRpc.Outcome, Long> replayed : recorded.getValue().entrySet()) {
                differences += isKnown && replayed.getKey() != recorded.getKey() ? replayed.getValue() : 0;
            }
        }
        return differences;
    }

    /** The send delay at a percentile, in nanoseconds. */
    public long sendErrorNs(double percentile) {
        return sendError.getValueAtPercentile(percentile);
    }

    public void print(PrintWriter out, ReplaySchedule schedule) {
        out.printf("sent %d, ended %d, left out for their effects %d, not selected %d%n", sentCount, completedCount,
                schedule.skippedForEffects(), schedule.notSelected());
        out.printf("send-time error: p50 %.3f ms, p99 %.3f ms, max %.3f ms; late by over %d ms: %d; held for the one"
                + " before: %d%n", sendError.getValueAtPercentile(50) / 1e6, sendError.getValueAtPercentile(99) / 1e6,
                sendError.getMaxValue() / 1e6, LATE_AFTER_NS / 1_000_000, lateCount, schedule.delayedByPrevious());
        outcomeCounts.forEach((recordedOutcome, counts) -> counts.forEach((replayedOutcome, count) ->
                out.printf("recorded %-8s now %-8s %d%s%n", recordedOutcome, replayedOutcome, count,
                        recordedOutcome == replayedOutcome ? "" : "  (differs)")));
        if (sameValues + differentValues > 0) {
            out.printf("values: same %d, other %d%n", sameValues, differentValues);
        }
        printHistogram(out, "recorded, all", recordedTimes);
        replayedTimesByMethod.forEach((method, histogram) -> printHistogram(out, "now, " + method, histogram));
    }

    private static void printHistogram(PrintWriter out, String name, Histogram times) {
        out.printf("%-24s n %-8d p50 %8.3f ms  p90 %8.3f ms  p99 %8.3f ms  p99.9 %8.3f ms  max %8.3f ms%n", name,
                times.getTotalCount(), times.getValueAtPercentile(50) / 1e6, times.getValueAtPercentile(90) / 1e6,
                times.getValueAtPercentile(99) / 1e6, times.getValueAtPercentile(99.9) / 1e6,
                times.getMaxValue() / 1e6);
    }
}
