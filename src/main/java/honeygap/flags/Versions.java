package honeygap.flags;

/**
 * The newest flag-set version that each targeting key has been answered from, in memory of a fixed size. Keys
 * met lately stand one by one, in buckets of eight; the one met longest ago makes room, and what it has met
 * goes into a sketch: two rows of cells, each the newest version of all keys that fall there. The lesser of a
 * key's two cells is never older than what the key has met, so what is forgotten fails safe: at worst a key is
 * kept from a version that it has not yet passed.
 */
public final class Versions {

    private static final int WAYS = 8;

    /** Key, version and time of each place, one after another; key 0 is an empty place. */
    private final long[] places;
    private final int buckets;
    private final long[][] floors;
    private final int cells;
    private long clock;
    private long forgotten;
    private int size;

    /** Room for at least so many keys one by one, and so many cells a row of the sketch. */
    public Versions(int keys, int cells) {
        buckets = powerOfTwo(Math.max(1, (keys + WAYS - 1) / WAYS));
        places = new long[3 * WAYS * buckets];
        this.cells = powerOfTwo(Math.max(1, cells));
        floors = new long[2][this.cells];
        for (long[] row : floors) {
            java.util.Arrays.fill(row, Served.NO_VERSION);
        }
    }

    private static int powerOfTwo(int least) {
        return Integer.highestOneBit(Math.max(1, 2 * least - 1));
    }

    /** Spreads all bits of a hash (the finalizer of SplitMix64), so that rows and buckets differ. */
    private static long mix(long hash, long salt) {
        long z = hash + salt * 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    private int bucket(long key) {
        return 3 * WAYS * (int) (mix(key, 1) & buckets - 1);
    }

    private int find(long key) {
        int bucket = bucket(key);
        for (int at = bucket; at < bucket + 3 * WAYS; at += 3) {
            if (places[at] == key) {
                return at;
            }
        }
        return -1;
    }

    /** Whether the key stands by itself; what is said of others is a bound. */
    public boolean isExact(long key) {
        return find(key) >= 0;
    }

    /** A version that the key must not go below; {@link Served#NO_VERSION} for one that was never met. */
    public long floor(long key) {
        int at = find(key);
        return at >= 0 ? places[at + 1] : bound(key);
    }

    private long bound(long key) {
        return Math.min(floors[0][(int) (mix(key, 2) & cells - 1)], floors[1][(int) (mix(key, 3) & cells - 1)]);
    }

    /** The key has been answered from this version. */
    public void met(long key, long version) {
        int bucket = bucket(key);
        int place = bucket;
        for (int at = bucket; at < bucket + 3 * WAYS; at += 3) {
            if (places[at] == key) {
                places[at + 1] = Math.max(places[at + 1], version);
                places[at + 2] = ++clock;
                return;
            }
            if (places[place] != 0 && (places[at] == 0 || places[at + 2] < places[place + 2])) {
                place = at;
            }
        }
        // What the sketch held of it before goes on to hold.
        long before = bound(key);
        if (places[place] != 0) {
            forget(places[place], places[place + 1]);
        } else {
            size++;
        }
        places[place] = key;
        places[place + 1] = Math.max(before, version);
        places[place + 2] = ++clock;
    }

    private void forget(long key, long version) {
        forgotten++;
        for (int row = 0; row < floors.length; row++) {
            int cell = (int) (mix(key, 2 + row) & cells - 1);
            floors[row][cell] = Math.max(floors[row][cell], version);
        }
    }

    /** Keys that stand one by one. */
    public int size() {
        return size;
    }

    /** How many have made room since the start. */
    public long forgotten() {
        return forgotten;
    }

    /** Bytes that it takes, whatever it holds. */
    public long bytes() {
        return 8L * (places.length + 2L * cells);
    }
}
