package honeygap.share.table;

import java.util.EnumMap;
import java.util.Map;

/** What became of the entries that came in, counted by kind. */
public final class Tally {

    /** Fresh ones are held; all others are not, and why. */
    public enum Kind { FRESH, SEEN, EARLIER_LIFE, GAP, OVER, TOO_MANY, TOO_LONG, OWN_NAME }

    private final Map<Kind, Long> counts = new EnumMap<>(Kind.class);

    void add(Kind kind, int many) {
        counts.merge(kind, (long) many, Long::sum);
    }

    public long of(Kind kind) {
        return counts.getOrDefault(kind, 0L);
    }
}
