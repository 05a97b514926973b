package honeygap.flags;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Last good answers in memory of a fixed size: records one after another in a log that begins anew at its end,
 * so the oldest makes room without being looked for, and an index of where each stands. Nothing is allocated
 * for what is kept. A record is found only with the very question that it answers.
 */
public final class Kept {

    private static final int SLOTS_PER_BUCKET = 4;
    /** Hash, version, time, lengths of question and answer. */
    private static final int HEADER_BYTES = 8 + 8 + 8 + 4 + 4;
    /** Bytes of log for each place of the index. */
    private static final int LOG_BYTES_PER_SLOT = 256;
    /** What takes more of the log than this part is not kept. */
    private static final int MIN_RECORDS_IN_LOG = 16;

    private final ByteBuffer log;
    private final int capacity;
    /** Where records begin, counted from the first that ever came, plus 1; 0 is an empty place. */
    private final long[] index;
    private final int bucketCount;
    /** Where the next record goes, counted likewise. */
    private long nextOffset;
    private long tooLongCount;

    /** All records together take at most so many bytes. */
    public Kept(int maxBytes) {
        capacity = Math.max(0, maxBytes);
        log = ByteBuffer.allocate(capacity);
        bucketCount = Integer.highestOneBit(Math.max(1, capacity / LOG_BYTES_PER_SLOT / SLOTS_PER_BUCKET));
        index = new long[SLOTS_PER_BUCKET * bucketCount];
    }

    /** Keeps an answer; the one kept for the same question before is forgotten. */
    public void keep(Question query, long version, byte[] body, long now) {
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

    private boolean holds(long slotValue, Question query) {
        // The head of the log may have come round and begun another record over this one.
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

    /** Where the answer to a question stands; negative where none is kept. */
    public int find(Question query) {
        int first = firstSlot(query.hash);
        for (int i = first; i < first + SLOTS_PER_BUCKET && capacity > 0; i++) {
            if (holds(index[i], query)) {
                return (int) ((index[i] - 1) % capacity);
            }
        }
        return -1;
    }

    public long version(int position) {
        return log.getLong(position + 8);
    }

    public long storedAt(int position) {
        return log.getLong(position + 16);
    }

    public byte[] body(int position) {
        int from = position + HEADER_BYTES + log.getInt(position + 24);
        return Arrays.copyOfRange(log.array(), from, from + log.getInt(position + 28));
    }

    public long tooLongCount() {
        return tooLongCount;
    }

    public long memoryBytes() {
        return capacity + 8L * index.length;
    }
}
