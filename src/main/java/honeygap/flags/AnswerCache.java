package honeygap.flags;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * A cache of the last good answers with a fixed memory size. Records are appended to a circular log, so new records
 * overwrite the oldest ones without a search, and a hash index holds their offsets. Storing a record allocates nothing.
 * A record is found only by the identical query.
 */
public final class AnswerCache {

    private static final int SLOTS_PER_BUCKET = 4;
    /** Hash, version, time, length of the query and length of the answer. */
    private static final int HEADER_BYTES = 8 + 8 + 8 + 4 + 4;
    /** Log bytes for each slot of the index. */
    private static final int LOG_BYTES_PER_SLOT = 256;
    /** A record is not stored if it is longer than the log's capacity divided by this. */
    private static final int MIN_RECORDS_IN_LOG = 16;

    private final ByteBuffer log;
    private final int capacity;
    /** Offset of each record plus 1, counted continuously over all passes through the log; 0 is an empty slot. */
    private final long[] index;
    private final int bucketCount;
    /** Offset of the next record, counted continuously as well. */
    private long nextOffset;
    private long tooLongCount;

    /** The limit applies to all records together. */
    public AnswerCache(int maxBytes) {
        capacity = Math.max(0, maxBytes);
        log = ByteBuffer.allocate(capacity);
        bucketCount = Integer.highestOneBit(Math.max(1, capacity / LOG_BYTES_PER_SLOT / SLOTS_PER_BUCKET));
        index = new long[SLOTS_PER_BUCKET * bucketCount];
    }

    /** Stores an answer; it replaces an earlier one for the same query. */
    public void put(FlagQuery query, long version, byte[] body, long now) {
        int length = HEADER_BYTES + query.identity.length + body.length;
        if (length > capacity / MIN_RECORDS_IN_LOG) {
            tooLongCount++;
            return;
        }
        int position = (int) (nextOffset % capacity);
        if (position + length > capacity) {
            nextOffset += capacity - position;
            position = 0;
        }
        int slot = firstSlot(query.hash);
        for (int i = slot; i < firstSlot(query.hash) + SLOTS_PER_BUCKET; i++) {
            if (holds(index[i], query)) {
                slot = i;
                break;
            }
            if (index[i] < index[slot]) {
                slot = i;
            }
        }
        index[slot] = nextOffset + 1;
        log.position(position);
        log.putLong(query.hash).putLong(version).putLong(now).putInt(query.identity.length)
                .putInt(body.length).put(query.identity).put(body);
        nextOffset += length;
    }

    private int firstSlot(long hash) {
        return SLOTS_PER_BUCKET * (int) ((hash ^ hash >>> 32) & bucketCount - 1);
    }

    /** Whether the slot refers to a record of this query that has not been overwritten. */
    private boolean holds(long slotValue, FlagQuery query) {
        // Empty, or overwritten in a later pass through the log.
        if (slotValue == 0 || slotValue - 1 + capacity < nextOffset) {
            return false;
        }
        int position = (int) ((slotValue - 1) % capacity);
        int length = HEADER_BYTES + query.identity.length;
        return log.getLong(position) == query.hash
                && log.getInt(position + 24) == query.identity.length && position + length <= capacity
                && Arrays.equals(log.array(), position + HEADER_BYTES, position + length, query.identity, 0,
                        query.identity.length);
    }

    /** Returns the position of the answer to a query, or a negative number if none is stored. */
    public int find(FlagQuery query) {
        int first = firstSlot(query.hash);
        for (int i = first; i < first + SLOTS_PER_BUCKET && capacity > 0; i++) {
            if (holds(index[i], query)) {
                return (int) ((index[i] - 1) % capacity);
            }
        }
        return -1;
    }

    /** The flag-set version of the answer at a position returned by {@link #find}. */
    public long version(int position) {
        return log.getLong(position + 8);
    }

    /** The time at which the answer was stored. */
    public long storedAt(int position) {
        return log.getLong(position + 16);
    }

    /** A copy of the body of the answer. */
    public byte[] body(int position) {
        int from = position + HEADER_BYTES + log.getInt(position + 24);
        return Arrays.copyOfRange(log.array(), from, from + log.getInt(position + 28));
    }

    /** Number of answers that were too long to be stored. */
    public long tooLongCount() {
        return tooLongCount;
    }

    /** Memory used in bytes, independent of the number of records. */
    public long memoryBytes() {
        return capacity + 8L * index.length;
    }
}
