package honeygap.share.table;

/** An entry as it is held here, and when its owner wrote it by this process's clock. */
public record Held(Entry entry, long writtenAt) {

    public boolean isOver(long now) {
        return now - writtenAt >= entry.ttl();
    }
}
