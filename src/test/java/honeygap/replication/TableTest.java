package honeygap.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import honeygap.replication.table.TableLimits;
import honeygap.replication.table.Entry;
import honeygap.replication.table.StoredEntry;
import honeygap.replication.table.ProcessIdentity;
import honeygap.replication.table.Delta;
import honeygap.replication.table.ReplicatedTable;
import honeygap.replication.table.MergeCounts;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TableTest {

    private static final long TTL = 1000;
    private static final TableLimits LIMITS = new TableLimits(8, 4, 20, 40, TTL);

    private static ReplicatedTable table(String name, long generation) {
        return new ReplicatedTable("load", new ProcessIdentity(name, generation), 0, LIMITS);
    }

    private static void exchange(ReplicatedTable from, ReplicatedTable to, int maxBytes) {
        to.merge(from.deltasFor(to.digest(), maxBytes), 0);
    }

    private static String value(ReplicatedTable table, String owner, String name) {
        StoredEntry stored = table.get(owner, name);
        return stored == null ? null : stored.entry().value();
    }

    /** Only missing entries are sent, up to a size limit, and the next round continues where the last one stopped. */
    @ParameterizedTest
    @CsvSource({"10000,1,3", "110,2,3", "55,3,3"})
    void sendsOnlyMissingEntries(int maxBytes, int rounds, int entries) {
        ReplicatedTable a = table("a", 5);
        ReplicatedTable b = table("b", 5);
        for (int i = 0; i < entries; i++) {
            a.put("n" + i, "v" + i, TTL);
        }
        for (int i = 0; i < rounds; i++) {
            assertTrue(b.isBehind(a.digest()));
            exchange(a, b, maxBytes);
        }
        assertFalse(b.isBehind(a.digest()));
        assertEquals(List.of(), a.deltasFor(b.digest(), 10000));
        assertEquals("v2", value(b, "a", "n2"));
    }

    /** Old copies must not restore entries that an owner wrote in an earlier generation or deleted. */
    @Test
    void oldCopiesDoNotReturn() {
        ReplicatedTable a = table("a", 5);
        a.put("x", "1", TTL);
        a.put("y", "2", TTL);
        ReplicatedTable old = table("old", 1);
        exchange(a, old, 10000);
        a.delete("x");
        ReplicatedTable b = table("b", 1);
        exchange(a, b, 10000);
        exchange(old, b, 10000);
        assertNull(value(b, "a", "x"));
        assertEquals("2", value(b, "a", "y"));
        ReplicatedTable again = table("a", 6);
        again.put("x", "3", TTL);
        exchange(again, b, 10000);
        b.merge(old.deltasFor(List.of(), 10000), 0);
        assertEquals("3", value(b, "a", "x"));
        assertNull(value(b, "a", "y"));
        assertEquals(2, b.mergeCounts().count(MergeCounts.Outcome.EARLIER_LIFE));
        exchange(b, old, 10000);
        assertNull(value(old, "a", "y"));
    }

    /** Messages carry ages, so entries expire everywhere at the same time, whatever the clocks and the path. */
    @ParameterizedTest
    @CsvSource({"0,0,999,true", "0,0,1000,false", "600000,0,999,true", "600000,500,499,true", "-600000,500,500,false"})
    void entriesExpireByAge(long clock, long sentAt, long transitTime, boolean isLive) {
        ReplicatedTable a = table("a", 1);
        a.put("x", "1", TTL);
        ReplicatedTable b = new ReplicatedTable("load", new ProcessIdentity("b", 1), clock, LIMITS);
        a.setNow(sentAt);
        exchange(a, b, 1000);
        b.setNow(clock + transitTime);
        assertEquals(isLive, value(b, "a", "x") != null);
        b.expire();
        ReplicatedTable c = table("c", 1);
        exchange(b, c, 1000);
        assertEquals(isLive, value(c, "a", "x") != null);
    }

    /** A process that receives entries under its own name that it did not write raises its generation. */
    @ParameterizedTest
    @CsvSource({"7,1,8", "5,3,6", "5,1,5", "4,9,5"})
    void ownNameRaisesGeneration(long generation, int writes, long expectedGeneration) {
        ProcessIdentity identity = new ProcessIdentity("a", 5);
        ReplicatedTable a = new ReplicatedTable("load", identity, 0, LIMITS);
        a.put("x", "mine", TTL);
        a.put("y", "mine", TTL);
        ReplicatedTable other = table("a", generation);
        for (int i = 0; i < writes; i++) {
            other.put("x", "theirs" + i, TTL);
        }
        ReplicatedTable b = table("b", 1);
        exchange(other, b, 1000);
        a.merge(b.deltasFor(List.of(), 1000), 0);
        assertEquals(expectedGeneration, identity.generation());
        if (expectedGeneration > 5) {
            exchange(a, b, 1000);
            assertEquals("mine", value(b, "a", "x"));
        }
    }

    /** The limits hold whatever is received; rejected entries are counted by outcome and stored entries stay. */
    @ParameterizedTest
    @CsvSource({"owners,TOO_MANY", "names,TOO_MANY", "name,TOO_LONG", "value,TOO_LONG", "ttl,OVER"})
    void limitsHold(String exceeded, MergeCounts.Outcome outcome) {
        ReplicatedTable b = table("b", 1);
        b.merge(List.of(delta("a", "n", 1, "v", TTL)), 0);
        List<Delta> deltas = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            String name = exceeded.equals("name") ? "n".repeat(21) : "n" + i;
            deltas.add(delta(exceeded.equals("owners") ? "o" + i : "a", name, exceeded.equals("owners") ? 1 : 2 + i,
                    exceeded.equals("value") ? "v".repeat(41) : "v", exceeded.equals("ttl") ? TTL + 1 : TTL));
        }
        b.merge(deltas, 0);
        assertTrue(b.mergeCounts().count(outcome) >= 14, exceeded + ": " + b.mergeCounts().count(outcome));
        assertTrue(b.owners().size() <= 8);
        assertEquals("v", value(b, "a", "n"));
        // Rejected entries are not requested again.
        assertFalse(exceeded.equals("names") && b.isBehind(List.of(new honeygap.replication.table.DigestEntry("a", 1, 21))));
    }

    private static Delta delta(String owner, String name, long counter, String value, long ttl) {
        return new Delta(owner, 1, counter - 1, List.of(new Delta.AgedEntry(new Entry(name, counter, ttl, value), 0)));
    }

    /**
     * Messages are lost, duplicated and delayed: after enough rounds all tables are equal and no deleted entry
     * returns.
     */
    @Property(tries = 60)
    void tablesConverge(@ForAll @IntRange(min = 0, max = 1 << 30) int seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create((long) seed);
        int tableCount = 3 + random.nextInt(5);
        List<ReplicatedTable> tables = new ArrayList<>();
        Map<String, String> expected = new TreeMap<>();
        Map<Integer, Long> generations = new HashMap<>();
        for (int i = 0; i < tableCount; i++) {
            tables.add(table("p" + i, 1));
            generations.put(i, 1L);
        }
        List<List<Delta>> delayed = new ArrayList<>();
        for (int step = 0; step < 200; step++) {
            int i = random.nextInt(tableCount);
            int j = random.nextInt(tableCount);
            switch (random.nextInt(6)) {
                case 0 -> {
                    String name = "n" + random.nextInt(4);
                    tables.get(i).put(name, "s" + step, TTL);
                    expected.put("p" + i + "/" + name, "s" + step);
                }
                case 1 -> {
                    String name = "n" + random.nextInt(4);
                    tables.get(i).delete(name);
                    expected.remove("p" + i + "/" + name);
                }
                case 2 -> {
                    if (random.nextInt(8) == 0) {
                        generations.merge(i, 1L, Long::sum);
                        tables.set(i, table("p" + i, generations.get(i)));
                        String ownerPrefix = "p" + i + "/";
                        expected.keySet().removeIf(key -> key.startsWith(ownerPrefix));
                        tables.get(i).put("n0", "new" + step, TTL);
                        expected.put(ownerPrefix + "n0", "new" + step);
                    }
                }
                case 3 -> delayed.add(tables.get(i).deltasFor(tables.get(j).digest(), 200));
                case 4 -> {
                    if (!delayed.isEmpty()) {
                        tables.get(j).merge(delayed.get(random.nextInt(delayed.size())), 0);
                    }
                }
                default -> exchange(tables.get(i), tables.get(j), 50 + random.nextInt(500));
            }
        }
        for (int round = 0; round < 6 * tableCount; round++) {
            for (int i = 0; i < tableCount; i++) {
                exchange(tables.get(i), tables.get((i + 1) % tableCount), 10_000);
                exchange(tables.get((i + 1) % tableCount), tables.get(i), 10_000);
            }
        }
        for (ReplicatedTable table : tables) {
            Map<String, String> actual = new TreeMap<>();
            table.forEachLive((owner, entry) -> actual.put(owner.name + "/" + entry.entry().name(),
                    entry.entry().value()));
            assertEquals(expected, actual, "seed " + seed);
        }
    }
}
