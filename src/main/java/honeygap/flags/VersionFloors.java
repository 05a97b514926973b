package honeygap.flags;

/**
 * The newest flag-set version that each targeting key has been answered from, in a fixed amount of memory. Recently
 * used keys have entries of their own, in buckets of eight. The least recently used entry of a bucket is evicted, and
 * its version goes into a sketch: two rows of cells, each of which holds the newest version of all keys hashed to it.
 * The lower of a key's two cells is never older than the key's version, so eviction fails safe: at worst a version
 * that the key has not yet reached is refused for it.
 */
public final class VersionFloors {

    private static final int SLOTS_PER_BUCKET = 8;

    /** Key, version and time of last use of each slot, one after another; key 0 marks an empty slot. */
    private final long[] slots;
    private final int bucketCount;
    private final long[][] sketch;
    private final int sketchCells;
    private long useCounter;
    private long evictedCount;
    private int size;

    /** The minimum number of exact entries, and of cells in each row of the sketch. */
    public VersionFloors(int minKeys, int minSketchCells) {
        bucketCount = powerOfTwo(Math.max(1, (minKeys + SLOTS_PER_BUCKET - 1) / SLOTS_PER_BUCKET));
        slots = new long[3 * SLOTS_PER_BUCKET * bucketCount];
        this.sketchCells = powerOfTwo(Math.max(1, minSketchCells));
        sketch = new long[2][this.sketchCells];
        for (long[] row : sketch) {
            java.util.Arrays.fill(row, ServerAnswer.NO_VERSION);
        }
    }

    private static int powerOfTwo(int least) {
        return Integer.highestOneBit(Math.max(1, 2 * least - 1));
    }

    /** Mixes all bits of a hash (the finalizer of SplitMix64), so that rows and buckets are independent. */
    private static long mix(long hash, long salt) {
        long z = hash + salt * 0x9e3779b97f4a7c15L;
        z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    private int firstSlot(long key) {
        return 3 * SLOTS_PER_BUCKET * (int) (mix(key, 1) & bucketCount - 1);
    }

    private int find(long key) {
        int first = firstSlot(key);
        for (int slot = first; slot < first + 3 * SLOTS_PER_BUCKET; slot += 3) {
            if (slots[slot] == key) {
                return slot;
            }
        }
        return -1;
    }

    /** Whether the key has an exact entry; for other keys {@link #floor} returns an upper bound. */
    public boolean isExact(long key) {
        return find(key) >= 0;
    }

    /**
     * The lowest version that the key may be answered from; {@link ServerAnswer#NO_VERSION} if it has neither an entry
     * nor a bound from the sketch.
     */
    public long floor(long key) {
        int slot = find(key);
        return slot >= 0 ? slots[slot + 1] : bound(key);
    }

    private long bound(long key) {
        return Math.min(sketch[0][(int) (mix(key, 2) & sketchCells - 1)],
                sketch[1][(int) (mix(key, 3) & sketchCells - 1)]);
    }

    /** Records that the key has been answered from this version. */
    public void raise(long key, long version) {
        int first = firstSlot(key);
        int target = first;
        for (int slot = first; slot < first + 3 * SLOTS_PER_BUCKET; slot += 3) {
            if (slots[slot] == key) {
                slots[slot + 1] = Math.max(slots[slot + 1], version);
                slots[slot + 2] = ++useCounter;
                return;
            }
            if (slots[target] != 0 && (slots[slot] == 0 || slots[slot + 2] < slots[target + 2])) {
                target = slot;
            }
        }
        // The bound from the sketch remains valid for the new entry.
        long previousBound = bound(key);
        if (slots[target] != 0) {
            evict(slots[target], slots[target + 1]);
        } else {
            size++;
        }
        slots[target] = key;
        slots[target + 1] = Math.max(previousBound, version);
        slots[target + 2] = ++useCounter;
    }

    private void evict(long key, long version) {
        evictedCount++;
        for (int row = 0; row < sketch.length; row++) {
            int cell = (int) (mix(key, 2 + row) & sketchCells - 1);
            sketch[row][cell] = Math.max(sketch[row][cell], version);
        }
    }

    /** Number of keys with an exact entry. */
    public int size() {
        return size;
    }

    /** Number of entries evicted since the start. */
    public long evictedCount() {
        return evictedCount;
    }

    /** Memory used in bytes, independent of the number of entries. */
    public long memoryBytes() {
        return 8L * (slots.length + 2L * sketchCells);
    }
}
