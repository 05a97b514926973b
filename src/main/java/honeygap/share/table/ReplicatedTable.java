package honeygap.share.table;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * One table of small entries that processes keep in common, without I/O or locks: whoever holds it sees to both.
 * Only an entry's owner writes it. An owner counts all that it writes here, so that one number an owner says what
 * has been heard of it, and entries go on in the order of their counts: the precise reconciliation of van Renesse and
 * others, "Efficient Reconciliation and Flow Control for Anti-Entropy Protocols" (2008). An owner that starts anew
 * has a higher generation, and with the first word of it all that it wrote before is gone. Times are tenths of a
 * millisecond of this process's clock; ages travel, clocks do not.
 */
public final class ReplicatedTable {

    /** Times the longest holding that an owner without entries is remembered, so that no old copy brings it back. */
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

    /** The time of what follows; another table may have raised this process's life meanwhile. */
    public void setNow(long now) {
        this.now = now;
        self.generation = identity.generation();
    }

    /** Is told of each owner that comes in a later life, with its generation before. */
    public void onNewGeneration(BiConsumer<String, Long> listener) {
        this.newGenerationListener = listener;
    }

    public String name() {
        return tableName;
    }

    public MergeCounts mergeCounts() {
        return mergeCounts;
    }

    /** Writes an entry of this process's own. */
    public void put(String name, String value, long ttl) {
        if (name.length() > limits.maxNameLength() || value != null && value.length() > limits.maxValueLength()) {
            throw new IllegalArgumentException(tableName + ' ' + name + ": longer than an entry may be");
        }
        self.put(new StoredEntry(new Entry(name, ++self.highestSequence, Math.min(ttl, limits.maxTtl()), value), now));
        self.updatedAt = now;
    }

    /** Takes back an entry of this process's own; the others hear of it while it would have held. */
    public void delete(String name) {
        StoredEntry stored = self.entries.get(name);
        if (stored != null && !stored.entry().isTombstone()) {
            put(name, null, stored.entry().ttl());
        }
    }

    /** Takes back all entries of this process's own but those of these names. */
    public void retainOnly(Collection<String> names) {
        for (StoredEntry stored : List.copyOf(self.entries.values())) {
            if (!names.contains(stored.entry().name())) {
                delete(stored.entry().name());
            }
        }
    }

    /** An entry that holds, or null. */
    public StoredEntry get(String owner, String name) {
        OwnerState state = owners.get(owner);
        StoredEntry stored = state == null ? null : state.entries.get(name);
        return stored == null || stored.entry().isTombstone() || stored.isExpired(now) ? null : stored;
    }

    /** Something that looks at entries. */
    public interface EntryConsumer {

        void accept(OwnerState owner, StoredEntry stored);
    }

    /** All entries that hold. */
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

    /** How far this process has heard of each owner. */
    public List<DigestEntry> digest() {
        List<DigestEntry> digest = new ArrayList<>(owners.size());
        owners.values().forEach(owner -> digest.add(new DigestEntry(owner.name, owner.generation, owner.highestSequence)));
        return digest;
    }

    /**
     * What a process with this digest lacks and this one has, at most so many bytes of it. Own entries come first,
     * then those of the owners heard of last: news goes ahead of what is about to end.
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

    /** How far this process has heard of those owners of whom the other one has heard more. */
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

    /** The same as {@link #deltasFor}, of those owners alone that the digest names. */
    public List<Delta> deltasForListedOwners(Collection<DigestEntry> digest, int maxBytes) {
        List<DigestEntry> fullDigest = new ArrayList<>(digest());
        fullDigest.removeIf(known -> digest.stream().anyMatch(other -> other.owner().equals(known.owner())));
        fullDigest.addAll(digest);
        return deltasFor(fullDigest, maxBytes);
    }

    /** Whether a process with this digest has heard more of any owner than this one. */
    public boolean isBehind(Collection<DigestEntry> digest) {
        return !staleOwners(digest).isEmpty();
    }

    /**
     * Takes in what came, having been under way for at most so long. Guards against an owner's earlier life, old
     * copies, more than the bounds let in, and another process under this one's name.
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
            mergeCounts.add(owners.size() >= limits.maxOwners() ? MergeCounts.Outcome.TOO_MANY : MergeCounts.Outcome.TOO_LONG, entryCount);
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
            // Guards against a parcel made for somebody who knew more: for another, or for an earlier life of this one.
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
        StoredEntry previous = owner.entries.remove(entry.name());    // It was written anew, whatever becomes of it here.
        if (age >= entry.ttl() || entry.ttl() > limits.maxTtl()) {
            return MergeCounts.Outcome.OVER;
        }
        if (entry.name().length() > limits.maxNameLength() || !entry.isTombstone() && entry.value().length() > limits.maxValueLength()) {
            return MergeCounts.Outcome.TOO_LONG;
        }
        if (previous == null && owner.entries.size() >= limits.maxEntriesPerOwner()) {
            return MergeCounts.Outcome.TOO_MANY;
        }
        owner.put(new StoredEntry(entry, now - age));
        return MergeCounts.Outcome.FRESH;
    }

    /**
     * Something that this process never wrote in this life goes under its name: it was started from an older copy,
     * or its clock went back, or another process has the same name. It takes a later life, so that what it says
     * now goes before that; where two do so again and again, whoever follows members says so.
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

    /** Lets go of what no longer holds; owners go when nothing of theirs could come back. */
    public void expire() {
        for (OwnerState owner : owners.values()) {
            owner.entries.values().removeIf(held -> held.isExpired(now));
        }
        owners.values().removeIf(owner -> owner != self && owner.entries.isEmpty()
                && now - owner.updatedAt > OWNER_RETENTION_FACTOR * limits.maxTtl());
    }
}
