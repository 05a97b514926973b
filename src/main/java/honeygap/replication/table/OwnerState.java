package honeygap.replication.table;

import java.util.LinkedHashMap;
import java.util.Map;

/** The entries of one owner in a table, in its current generation. */
public final class OwnerState {

    public final String name;
    public long generation;
    /** The highest sequence number received: all writes up to it were received or have been overwritten since. */
    public long highestSequence;
    /** When a new entry of this owner was last received. */
    public long updatedAt;
    /** Entries by name, in ascending order of sequence numbers. */
    final Map<String, StoredEntry> entries = new LinkedHashMap<>();

    OwnerState(String name) {
        this.name = name;
    }

    void put(StoredEntry stored) {
        entries.remove(stored.entry().name());    // Otherwise it would keep its earlier position.
        entries.put(stored.entry().name(), stored);
    }
}
