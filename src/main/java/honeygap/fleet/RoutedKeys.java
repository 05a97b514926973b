package honeygap.fleet;

/**
 * The routing keys whose RPCs were sent to a build, as 64-bit fingerprints in an open-addressing table of bounded size.
 * Two keys have the same fingerprint about once in 2 billion tables; such a key is kept with the build as well.
 */
public final class RoutedKeys {

    /** Keys that a full table has. */
    public static final int MAX_KEYS = 1 << 17;
    private static final int INITIAL_CAPACITY = 1 << 8;
    /** Slots for each key, so that searches are short. */
    private static final int SLOTS_PER_KEY = 2;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    /** Finalizer of MurmurHash3, which spreads the fingerprint over the table. */
    private static final long MIX = 0xff51afd7ed558ccdL;

    /** Fingerprints; 0 marks an empty slot. */
    private long[] slots = new long[INITIAL_CAPACITY];
    private int size;

    /** Adds a key unless the table is full. */
    public void add(String key) {
        if (isFull()) {
            return;
        }
        if (SLOTS_PER_KEY * (size + 1) > slots.length) {
            grow();
        }
        insert(fingerprint(key));
    }

    private void grow() {
        long[] old = slots;
        slots = new long[2 * old.length];
        size = 0;
        for (long fingerprint : old) {
            if (fingerprint != 0) {
                insert(fingerprint);
            }
        }
    }

    private void insert(long fingerprint) {
        int slot = slotOf(fingerprint);
        size += slots[slot] == 0 ? 1 : 0;
        slots[slot] = fingerprint;
    }

    /** The slot that has the fingerprint, or the empty one where it belongs. */
    private int slotOf(long fingerprint) {
        int mask = slots.length - 1;
        int slot = (int) (fingerprint >>> 32) & mask;
        while (slots[slot] != 0 && slots[slot] != fingerprint) {
            slot = slot + 1 & mask;
        }
        return slot;
    }

    private static long fingerprint(String key) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < key.length(); i++) {
            hash = (hash ^ key.charAt(i)) * FNV_PRIME;
        }
        hash = (hash ^ hash >>> 33) * MIX;
        hash ^= hash >>> 33;
        return hash == 0 ? 1 : hash;
    }

    /** Whether the key was added. */
    public boolean contains(String key) {
        return slots[slotOf(fingerprint(key))] != 0;
    }

    /** Whether no further key can be added. */
    public boolean isFull() {
        return size >= MAX_KEYS;
    }

    /** The number of keys. */
    public int size() {
        return size;
    }

    /** Removes all keys. */
    public void clear() {
        slots = new long[INITIAL_CAPACITY];
        size = 0;
    }
}
