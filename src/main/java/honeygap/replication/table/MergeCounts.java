package honeygap.replication.table;

import java.util.EnumMap;
import java.util.Map;

/** Counts of received entries by the outcome of their merge. */
public final class MergeCounts {

    /** FRESH entries were stored; the other outcomes are the reasons for which an entry was not. */
    public enum Outcome { FRESH, SEEN, EARLIER_LIFE, GAP, OVER, TOO_MANY, TOO_LONG, OWN_NAME }

    private final Map<Outcome, Long> counts = new EnumMap<>(Outcome.class);

    void add(Outcome outcome, int count) {
        counts.merge(outcome, (long) count, Long::sum);
    }

    public long count(Outcome outcome) {
        return counts.getOrDefault(outcome, 0L);
    }
}
