package honeygap.share.table;

import java.util.EnumMap;
import java.util.Map;

/** What became of the entries that came in, counted by kind. */
public final class MergeCounts {

    /** Fresh ones are held; all others are not, and why. */
    public enum Outcome { FRESH, SEEN, EARLIER_LIFE, GAP, OVER, TOO_MANY, TOO_LONG, OWN_NAME }

    private final Map<Outcome, Long> counts = new EnumMap<>(Outcome.class);

    void add(Outcome outcome, int count) {
        counts.merge(outcome, (long) count, Long::sum);
    }

    public long count(Outcome outcome) {
        return counts.getOrDefault(outcome, 0L);
    }
}
