package honeygap.replication.table;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * A table of small entries that is replicated between processes by anti-entropy. It does no I/O and no locking; the
 * caller has to do both. Only an entry's owner writes it. Each owner numbers its writes, so that one sequence number
 * per owner describes what a process has received, and entries are sent in the order of these numbers: the precise
 * reconciliation of van Renesse and others, "Efficient Reconciliation and Flow Control for Anti-Entropy Protocols"
 * (2008). A restarted owner has a higher generation; its first entry discards all entries of earlier generations.
 * Times are in units of 0.1 ms of the local clock; messages carry ages instead of clock times.
 */
public final class ReplicatedTable {

    /**
     * Owners without entries are remembered for this multiple of the maximum TTL, so that no old copy restores them.
     */
    private static final int OWNER_RETENTION_FACTOR = 4;

    private final String tableName;
    private final ProcessIdentity identity;
    private final TableLimits limits;
    private final Map<String, OwnerState> owners = new LinkedHashMap<>();
    private final OwnerState self;
    private final MergeCounts mergeCounts = new MergeCounts();
    private BiConsumer<String, Long> newGenerationListener = (owner, before) -> { };
    private long now;

    public ReplicatedTable(String tableName, ProcessIdentity identity, long now, TableLimits limits) {
        this.tableName = tableName;
        this.identity = identity;
        this.limits = limits;
        this.now = now;
        self = new OwnerState(identity.name());
        self.generation = identity.generation();
        owners.put(self.name, self);
    }

    /** Sets the time of the following calls, and adopts a generation that another table may have raised. */
    public void setNow(long now) {
        this.now = now;
        self.generation = identity.generation();
    }

    /** Sets the listener that is notified of each owner with a new generation, and of its previous generation. */
    public void onNewGeneration(BiConsumer<String, Long> listener) {
        this.newGenerationListener = listener;
    }

    public String name() {
        return tableName;
    }

    public MergeCounts mergeCounts() {
        return mergeCounts;
    }

    /** Writes an entry that this process owns. */
    public void put(String name, String value, long ttl) {
        if (name.length() > limits.maxNameLength() || value != null && value.length() > limits.maxValueLength()) {
            throw new IllegalArgumentException(tableName + ' ' + name + ": entry name or value is too long");
        }
        self.put(new StoredEntry(new Entry(name, ++self.highestSequence, Math.min(ttl, limits.maxTtl()), value), now));
        self.updatedAt = now;
    }

    /** Deletes an entry that this process owns; the tombstone is replicated until the entry's TTL ends. */
    public void delete(String name) {
        StoredEntry stored = self.entries.get(name);
        if (stored != null && !stored.entry().isTombstone()) {
            put(name, null, stored.entry().ttl());
        }
    }

    /** Deletes all entries that this process owns except those with the given names. */
    public void retainOnly(Collection<String> names) {
        for (StoredEntry stored : List.copyOf(self.entries.values())) {
            if (!names.contains(stored.entry().name())) {
                delete(stored.entry().name());
            }
        }
    }

    /** Returns a live entry, or null. */
    public StoredEntry get(String owner, String name) {
        OwnerState state = owners.get(owner);
        StoredEntry stored = state == null ? null : state.entries.get(name);
        return stored == null || stored.entry().isTombstone() || stored.isExpired(now) ? null : stored;
    }

    /** Receives entries with their owners. */
    public interface EntryConsumer {

        void accept(OwnerState owner, StoredEntry stored);
    }

    /** Calls the consumer for each live entry. */
    public void forEachLive(EntryConsumer consumer) {
        for (OwnerState owner : owners.values()) {
            for (StoredEntry stored : owner.entries.values()) {
                if (!stored.entry().isTombstone() && !stored.isExpired(now)) {
                    consumer.accept(owner, stored);
                }
            }
        }
    }

    public OwnerState owner(String name) {
        return owners.get(name);
    }

    public Collection<OwnerState> owners() {
        return owners.values();
    }

    /** Returns the generation and highest sequence number received for each owner. */
    public List<DigestEntry> digest() {
        List<DigestEntry> digest = new ArrayList<>(owners.size());
        owners.values().forEach(owner -> digest.add(new DigestEntry(owner.name, owner.generation,
                owner.highestSequence)));
        return digest;
    }

    /**
     * Returns the entries that a process with this digest lacks, limited to about maxBytes. Own entries come first,
     * then those of the most recently updated owners: new entries take precedence over entries that expire soon.
     */
    public List<Delta> deltasFor(Collection<DigestEntry> digest, int maxBytes) {
        Map<String, DigestEntry> knownByOwner = new LinkedHashMap<>();
        digest.forEach(known -> knownByOwner.put(known.owner(), known));
        List<OwnerState> order = new ArrayList<>(owners.values());
        order.sort((a, b) -> a == self ? b == self ? 0 : -1 : b == self ? 1 : Long.compare(b.updatedAt, a.updatedAt));
        List<Delta> deltas = new ArrayList<>();
        int remainingBytes = maxBytes;
        for (OwnerState owner : order) {
            DigestEntry known = knownByOwner.get(owner.name);
            if (known != null && known.generation() > owner.generation) {
                continue;
            }
            long afterSequence = known == null || known.generation() < owner.generation ? 0 : known.highestSequence();
            List<Delta.AgedEntry> entries = new ArrayList<>();
            for (StoredEntry stored : owner.entries.values()) {
                if (stored.entry().sequence() > afterSequence && !stored.isExpired(now)) {
                    remainingBytes -= stored.entry().estimatedBytes();
                    if (remainingBytes < 0) {
                        break;
                    }
                    entries.add(new Delta.AgedEntry(stored.entry(), now - stored.writtenAt()));
                }
            }
            if (!entries.isEmpty()) {
                deltas.add(new Delta(owner.name, owner.generation, afterSequence, entries));
            }
            if (remainingBytes < 0) {
                break;
            }
        }
        return deltas;
    }

    /** Returns the local digest entries of the owners for which the other digest is ahead of this table. */
    public List<DigestEntry> staleOwners(Collection<DigestEntry> digest) {
        List<DigestEntry> stale = new ArrayList<>();
        for (DigestEntry known : digest) {
            OwnerState owner = owners.get(known.owner());
            if (owner != self && (owner == null ? known.highestSequence() > 0 : known.generation() > owner.generation
                    || known.generation() == owner.generation && known.highestSequence() > owner.highestSequence)) {
                boolean isSame = owner != null && owner.generation == known.generation();
                stale.add(new DigestEntry(known.owner(), known.generation(), isSame ? owner.highestSequence : 0));
            }
        }
        return stale;
    }

    /** Same as {@link #deltasFor}, limited to the owners in the digest. */
    public List<Delta> deltasForListedOwners(Collection<DigestEntry> digest, int maxBytes) {
        List<DigestEntry> fullDigest = new ArrayList<>(digest());
        fullDigest.removeIf(known -> digest.stream().anyMatch(other -> other.owner().equals(known.owner())));
        fullDigest.addAll(digest);
        return deltasFor(fullDigest, maxBytes);
    }

    /** Whether a process with this digest is ahead of this table for any owner. */
    public boolean isBehind(Collection<DigestEntry> digest) {
        return !staleOwners(digest).isEmpty();
    }

    /**
     * Merges received deltas that were in transit for at most the given time. Rejects entries of an owner's earlier
     * generation, duplicates, entries beyond the limits, and entries of another process with this process's name.
     */
    public void merge(List<Delta> deltas, long transitTime) {
        for (Delta delta : deltas) {
            if (delta.owner().equals(self.name)) {
                mergeOwnName(delta);
            } else {
                merge(delta, transitTime);
            }
        }
    }

    private void merge(Delta delta, long transitTime) {
        OwnerState owner = owners.get(delta.owner());
        int entryCount = delta.entries().size();
        if (owner == null && (owners.size() >= limits.maxOwners() || delta.owner().length() > limits.maxNameLength())) {
            mergeCounts.add(owners.size() >= limits.maxOwners()
                    ? MergeCounts.Outcome.TOO_MANY : MergeCounts.Outcome.TOO_LONG, entryCount);
            return;
        }
        if (owner == null) {
            owner = new OwnerState(delta.owner());
            owner.generation = delta.generation();
            owners.put(owner.name, owner);
        }
        if (delta.generation() < owner.generation) {
            mergeCounts.add(MergeCounts.Outcome.EARLIER_LIFE, entryCount);
            return;
        }
        if (delta.generation() > owner.generation) {
            long previous = owner.generation;
            owner.generation = delta.generation();
            owner.highestSequence = 0;
            owner.entries.clear();
            newGenerationListener.accept(owner.name, previous);
        }
        if (delta.afterSequence() > owner.highestSequence) {
            // Made for a receiver that was further ahead: another process, or an earlier process of this name.
            mergeCounts.add(MergeCounts.Outcome.GAP, entryCount);
            return;
        }
        for (Delta.AgedEntry agedEntry : delta.entries()) {
            mergeCounts.add(merge(owner, agedEntry.entry(), Math.max(0, agedEntry.age()) + transitTime), 1);
        }
    }

    private MergeCounts.Outcome merge(OwnerState owner, Entry entry, long age) {
        if (entry.sequence() <= owner.highestSequence) {
            return MergeCounts.Outcome.SEEN;
        }
        owner.highestSequence = entry.sequence();
        owner.updatedAt = now;
        StoredEntry previous = owner.entries.remove(entry.name());    // Overwritten, even if the new one is rejected.
        if (age >= entry.ttl() || entry.ttl() > limits.maxTtl()) {
            return MergeCounts.Outcome.OVER;
        }
        if (entry.name().length() > limits.maxNameLength() || !entry.isTombstone()
                && entry.value().length() > limits.maxValueLength()) {
            return MergeCounts.Outcome.TOO_LONG;
        }
        if (previous == null && owner.entries.size() >= limits.maxEntriesPerOwner()) {
            return MergeCounts.Outcome.TOO_MANY;
        }
        owner.put(new StoredEntry(entry, now - age));
        return MergeCounts.Outcome.FRESH;
    }

    /**
     * Handles a delta for this process's own name with entries that it did not write in this generation: its state
     * was restored from an older copy, its clock was set back, or another process uses the same name. Raises the own
     * generation, so that its current entries take precedence. Where two processes do so repeatedly, the failure
     * detector reports a name conflict.
     */
    private void mergeOwnName(Delta delta) {
        long lastSequence = delta.entries().isEmpty() ? 0
                : delta.entries().get(delta.entries().size() - 1).entry().sequence();
        if (delta.generation() < self.generation
                || delta.generation() == self.generation && lastSequence <= self.highestSequence) {
            mergeCounts.add(MergeCounts.Outcome.SEEN, delta.entries().size());
            return;
        }
        mergeCounts.add(MergeCounts.Outcome.OWN_NAME, delta.entries().size());
        long previousGeneration = self.generation;
        identity.raiseGenerationAbove(delta.generation());
        self.generation = identity.generation();
        newGenerationListener.accept(self.name, previousGeneration);
    }

    /** Removes expired entries, and owners of which no entry can come back. */
    public void expire() {
        for (OwnerState owner : owners.values()) {
            owner.entries.values().removeIf(stored -> stored.isExpired(now));
        }
        owners.values().removeIf(owner -> owner != self && owner.entries.isEmpty()
                && now - owner.updatedAt > OWNER_RETENTION_FACTOR * limits.maxTtl());
    }
}
