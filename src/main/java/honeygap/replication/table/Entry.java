package honeygap.replication.table;

/**
 * A small entry that its owner replicates to all other processes.
 *
 * @param name key of the entry, unique for its owner and table
 * @param sequence the owner's sequence number of this write in the table
 * @param ttl time to live from the write, in units of 0.1 ms
 * @param value text; null for a tombstone
 */
public record Entry(String name, long sequence, long ttl, String value) {

    public boolean isTombstone() {
        return value == null;
    }

    /** Size estimate for message size limits. */
    public int estimatedBytes() {
        return 48 + name.length() + (value == null ? 0 : value.length());
    }
}
