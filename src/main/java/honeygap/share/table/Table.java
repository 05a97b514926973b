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
public final class Table {

    /** Times the longest holding that an owner without entries is remembered, so that no old copy brings it back. */
    private static final int REMEMBERED = 4;

    private final String table;
    private final Life life;
    private final Bounds bounds;
    private final Map<String, Owner> owners = new LinkedHashMap<>();
    private final Owner self;
    private final Tally tally = new Tally();
    private BiConsumer<String, Long> renewed = (owner, before) -> { };
    private long now;

    public Table(String table, Life life, long now, Bounds bounds) {
        this.table = table;
        this.life = life;
        this.bounds = bounds;
        this.now = now;
        self = new Owner(life.name());
        self.generation = life.generation();
        owners.put(self.name, self);
    }

    /** The time of what follows; another table may have raised this process's life meanwhile. */
    public void now(long now) {
        this.now = now;
        self.generation = life.generation();
    }

    /** Is told of each owner that comes in a later life, with its generation before. */
    public void onRenewed(BiConsumer<String, Long> renewed) {
        this.renewed = renewed;
    }

    public String name() {
        return table;
    }

    public Tally tally() {
        return tally;
    }

    /** Writes an entry of this process's own. */
    public void put(String name, String value, long ttl) {
        if (name.length() > bounds.text() || value != null && value.length() > bounds.value()) {
            throw new IllegalArgumentException(table + ' ' + name + ": longer than an entry may be");
        }
        self.put(new Held(new Entry(name, ++self.highest, Math.min(ttl, bounds.ttl()), value), now));
        self.heardAt = now;
    }

    /** Takes back an entry of this process's own; the others hear of it while it would have held. */
    public void withdraw(String name) {
        Held held = self.entries.get(name);
        if (held != null && !held.entry().isWithdrawn()) {
            put(name, null, held.entry().ttl());
        }
    }

    /** Takes back all entries of this process's own but those of these names. */
    public void retain(Collection<String> names) {
        for (Held held : List.copyOf(self.entries.values())) {
            if (!names.contains(held.entry().name())) {
                withdraw(held.entry().name());
            }
        }
    }

    /** An entry that holds, or null. */
    public Held get(String owner, String name) {
        Owner of = owners.get(owner);
        Held held = of == null ? null : of.entries.get(name);
        return held == null || held.entry().isWithdrawn() || held.isOver(now) ? null : held;
    }

    /** Something that looks at entries. */
    public interface Visitor {

        void visit(Owner owner, Held held);
    }

    /** All entries that hold. */
    public void each(Visitor visitor) {
        for (Owner owner : owners.values()) {
            for (Held held : owner.entries.values()) {
                if (!held.entry().isWithdrawn() && !held.isOver(now)) {
                    visitor.visit(owner, held);
                }
            }
        }
    }

    public Owner owner(String name) {
        return owners.get(name);
    }

    public Collection<Owner> owners() {
        return owners.values();
    }

    /** How far this process has heard of each owner. */
    public List<Known> digest() {
        List<Known> digest = new ArrayList<>(owners.size());
        owners.values().forEach(owner -> digest.add(new Known(owner.name, owner.generation, owner.highest)));
        return digest;
    }

    /**
     * What a process with this digest lacks and this one has, at most so many bytes of it. Own entries come first,
     * then those of the owners heard of last: news goes ahead of what is about to end.
     */
    public List<Parcel> lacking(Collection<Known> digest, int bytes) {
        Map<String, Known> known = new LinkedHashMap<>();
        digest.forEach(line -> known.put(line.owner(), line));
        List<Owner> order = new ArrayList<>(owners.values());
        order.sort((a, b) -> a == self ? b == self ? 0 : -1 : b == self ? 1 : Long.compare(b.heardAt, a.heardAt));
        List<Parcel> parcels = new ArrayList<>();
        int left = bytes;
        for (Owner owner : order) {
            Known line = known.get(owner.name);
            if (line != null && line.generation() > owner.generation) {
                continue;
            }
            long from = line == null || line.generation() < owner.generation ? 0 : line.highest();
            List<Parcel.Aged> entries = new ArrayList<>();
            for (Held held : owner.entries.values()) {
                if (held.entry().counter() > from && !held.isOver(now)) {
                    left -= held.entry().size();
                    if (left < 0) {
                        break;
                    }
                    entries.add(new Parcel.Aged(held.entry(), now - held.writtenAt()));
                }
            }
            if (!entries.isEmpty()) {
                parcels.add(new Parcel(owner.name, owner.generation, from, entries));
            }
            if (left < 0) {
                break;
            }
        }
        return parcels;
    }

    /** How far this process has heard of those owners of whom the other one has heard more. */
    public List<Known> behind(Collection<Known> digest) {
        List<Known> behind = new ArrayList<>();
        for (Known line : digest) {
            Owner owner = owners.get(line.owner());
            if (owner != self && (owner == null ? line.highest() > 0 : line.generation() > owner.generation
                    || line.generation() == owner.generation && line.highest() > owner.highest)) {
                boolean isSame = owner != null && owner.generation == line.generation();
                behind.add(new Known(line.owner(), line.generation(), isSame ? owner.highest : 0));
            }
        }
        return behind;
    }

    /** The same as {@link #lacking}, of those owners alone that the digest names. */
    public List<Parcel> lackingOf(Collection<Known> digest, int bytes) {
        List<Known> all = new ArrayList<>(digest());
        all.removeIf(line -> digest.stream().anyMatch(other -> other.owner().equals(line.owner())));
        all.addAll(digest);
        return lacking(all, bytes);
    }

    /** Whether a process with this digest has heard more of any owner than this one. */
    public boolean lacks(Collection<Known> digest) {
        return !behind(digest).isEmpty();
    }

    /**
     * Takes in what came, having been under way for at most so long. Guards against an owner's earlier life, old
     * copies, more than the bounds let in, and another process under this one's name.
     */
    public void take(List<Parcel> parcels, long underWay) {
        for (Parcel parcel : parcels) {
            if (parcel.owner().equals(self.name)) {
                ownName(parcel);
            } else {
                take(parcel, underWay);
            }
        }
    }

    private void take(Parcel parcel, long underWay) {
        Owner owner = owners.get(parcel.owner());
        int many = parcel.entries().size();
        if (owner == null && (owners.size() >= bounds.owners() || parcel.owner().length() > bounds.text())) {
            tally.add(owners.size() >= bounds.owners() ? Tally.Kind.TOO_MANY : Tally.Kind.TOO_LONG, many);
            return;
        }
        if (owner == null) {
            owner = new Owner(parcel.owner());
            owner.generation = parcel.generation();
            owners.put(owner.name, owner);
        }
        if (parcel.generation() < owner.generation) {
            tally.add(Tally.Kind.EARLIER_LIFE, many);
            return;
        }
        if (parcel.generation() > owner.generation) {
            long before = owner.generation;
            owner.generation = parcel.generation();
            owner.highest = 0;
            owner.entries.clear();
            renewed.accept(owner.name, before);
        }
        if (parcel.from() > owner.highest) {
            // Guards against a parcel made for somebody who knew more: for another, or for an earlier life of this one.
            tally.add(Tally.Kind.GAP, many);
            return;
        }
        for (Parcel.Aged aged : parcel.entries()) {
            tally.add(take(owner, aged.entry(), Math.max(0, aged.age()) + underWay), 1);
        }
    }

    private Tally.Kind take(Owner owner, Entry entry, long age) {
        if (entry.counter() <= owner.highest) {
            return Tally.Kind.SEEN;
        }
        owner.highest = entry.counter();
        owner.heardAt = now;
        Held before = owner.entries.remove(entry.name());    // It was written anew, whatever becomes of it here.
        if (age >= entry.ttl() || entry.ttl() > bounds.ttl()) {
            return Tally.Kind.OVER;
        }
        if (entry.name().length() > bounds.text() || !entry.isWithdrawn() && entry.value().length() > bounds.value()) {
            return Tally.Kind.TOO_LONG;
        }
        if (before == null && owner.entries.size() >= bounds.names()) {
            return Tally.Kind.TOO_MANY;
        }
        owner.put(new Held(entry, now - age));
        return Tally.Kind.FRESH;
    }

    /**
     * Something that this process never wrote in this life goes under its name: it was started from an older copy,
     * or its clock went back, or another process has the same name. It takes a later life, so that what it says
     * now goes before that; where two do so again and again, whoever follows members says so.
     */
    private void ownName(Parcel parcel) {
        long last = parcel.entries().isEmpty() ? 0
                : parcel.entries().get(parcel.entries().size() - 1).entry().counter();
        if (parcel.generation() < self.generation
                || parcel.generation() == self.generation && last <= self.highest) {
            tally.add(Tally.Kind.SEEN, parcel.entries().size());
            return;
        }
        tally.add(Tally.Kind.OWN_NAME, parcel.entries().size());
        long before = self.generation;
        life.raiseAbove(parcel.generation());
        self.generation = life.generation();
        renewed.accept(self.name, before);
    }

    /** Lets go of what no longer holds; owners go when nothing of theirs could come back. */
    public void expire() {
        for (Owner owner : owners.values()) {
            owner.entries.values().removeIf(held -> held.isOver(now));
        }
        owners.values().removeIf(owner -> owner != self && owner.entries.isEmpty()
                && now - owner.heardAt > REMEMBERED * bounds.ttl());
    }
}
