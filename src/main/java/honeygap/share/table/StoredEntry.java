package honeygap.share.table;

/** An entry as it is held here, and when its owner wrote it by this process's clock. */
public record StoredEntry(Entry entry, long writtenAt) {

    public boolean isExpired(long now) {
        return now - writtenAt >= entry.ttl();
    }
}
