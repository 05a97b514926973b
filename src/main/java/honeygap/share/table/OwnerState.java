package honeygap.share.table;

import java.util.LinkedHashMap;
import java.util.Map;

/** All that is held of one owner in a table, in its present life. */
public final class OwnerState {

    public final String name;
    public long generation;
    /** The highest of its counts that has come here: all up to it was seen, or has been written anew since. */
    public long highestSequence;
    /** When anything new of it came last. */
    public long updatedAt;
    /** By name, older counts first. */
    final Map<String, StoredEntry> entries = new LinkedHashMap<>();

    OwnerState(String name) {
        this.name = name;
    }

    void put(StoredEntry stored) {
        entries.remove(stored.entry().name());    // Or it would keep the place of its older count.
        entries.put(stored.entry().name(), stored);
    }
}
