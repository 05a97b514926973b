package honeygap.rules.routing;

import honeygap.fleet.Method;
import honeygap.fleet.Pick;
import honeygap.fleet.Rpc;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers RPCs that may have run and whose clients have gone, maybe without reading the answer, by id. When such an id comes again, the earlier pick counts as one of the new RPC: a non-idempotent RPC is aborted, a tokened one is sent only where and as long as
 * duplicates are dropped. An idempotent one may run again, so that it is not remembered.
 */
public final class AbandonedRpcs {

    /** Estimate of the memory that one entry keeps in use. */
    private static final int BYTES_PER_ENTRY = 512;
    private static final int DEFAULT_MAX_ENTRIES = 4096;

    /** The first pick that may have run, and until when it is remembered. */
    private record Entry(Pick pick, long until) { }

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private int maxEntries = DEFAULT_MAX_ENTRIES;

    /** Limits the memory that entries take; the oldest ones make room. */
    public void limitMemory(long bytes) {
        maxEntries = (int) Math.max(1, bytes / BYTES_PER_ENTRY);
    }

    /** The client of the RPC has gone, at this time in tenths of a millisecond. */
    public void add(Rpc rpc, long now) {
        Pick pick = RetryPolicy.firstThatMayHaveRun(rpc);
        if (pick == null || rpc.method.effect == Method.IDEMPOTENT) {
            return;
        }
        removeExpired(now);
        long until = Math.max(rpc.deadline, pick.sentAt + rpc.method.tokenWindow) + rpc.method.deadline;
        entries.remove(rpc.id);
        entries.put(rpc.id, new Entry(pick, until));
        removeOldest(maxEntries);
    }

    private void removeExpired(long now) {
        Iterator<Entry> oldest = entries.values().iterator();
        while (oldest.hasNext() && oldest.next().until < now) {
            oldest.remove();
        }
    }

    private void removeOldest(int max) {
        Iterator<Entry> oldest = entries.values().iterator();
        while (entries.size() > max) {
            oldest.next();
            oldest.remove();
        }
    }

    /** The pick of an abandoned RPC with the id and the method of this one; null if there is none. */
    public Pick earlierPick(Rpc rpc, long now) {
        Entry entry = entries.get(rpc.id);
        return entry != null && entry.until >= now && entry.pick.rpc.method == rpc.method ? entry.pick : null;
    }

    /** The number of remembered RPCs. */
    public int size() {
        return entries.size();
    }
}
