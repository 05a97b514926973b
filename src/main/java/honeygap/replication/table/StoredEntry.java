package honeygap.replication.table;

/** A stored entry and the local time at which its owner wrote it. */
public record StoredEntry(Entry entry, long writtenAt) {

    public boolean isExpired(long now) {
        return now - writtenAt >= entry.ttl();
    }
}
