package honeygap.replication.table;

import java.util.EnumMap;
import java.util.Map;

/** Counts of received entries by the outcome of their merge. */
public final class MergeCounts {

    /**
     * FRESH entries were stored. The other outcomes are the reasons for which an entry was not: received before (SEEN),
     * of an earlier generation of its owner (EARLIER_LIFE), in a delta made for a receiver that was further ahead
     * (GAP), expired or with a TTL above the limit (OVER), beyond the limit on owners or entries (TOO_MANY), with a
     * name or value above the length limit (TOO_LONG), or under the name of this process (OWN_NAME).
     */
    public enum Outcome { FRESH, SEEN, EARLIER_LIFE, GAP, OVER, TOO_MANY, TOO_LONG, OWN_NAME }

    private final Map<Outcome, Long> counts = new EnumMap<>(Outcome.class);

    void add(Outcome outcome, int count) {
        counts.merge(outcome, (long) count, Long::sum);
    }

    public long count(Outcome outcome) {
        return counts.getOrDefault(outcome, 0L);
    }
}
