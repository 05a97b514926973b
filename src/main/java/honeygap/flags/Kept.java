package honeygap.flags;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Last good answers in memory of a fixed size: records one after another in a log that begins anew at its end,
 * so the oldest makes room without being looked for, and an index of where each stands. Nothing is allocated
 * for what is kept. A record is found only with the very question that it answers.
 */
public final class Kept {

    private static final int WAYS = 4;
    /** Hash, version, time, lengths of question and answer. */
    private static final int HEAD = 8 + 8 + 8 + 4 + 4;
    /** Bytes of log for each place of the index. */
    private static final int BYTES_A_PLACE = 256;
    /** What takes more of the log than this part is not kept. */
    private static final int PART = 16;

    private final ByteBuffer log;
    private final int capacity;
    /** Where records begin, counted from the first that ever came, plus 1; 0 is an empty place. */
    private final long[] index;
    private final int buckets;
    /** Where the next record goes, counted likewise. */
    private long head;
    private long tooLong;

    /** All records together take at most so many bytes. */
    public Kept(int bytes) {
        capacity = Math.max(0, bytes);
        log = ByteBuffer.allocate(capacity);
        buckets = Integer.highestOneBit(Math.max(1, capacity / BYTES_A_PLACE / WAYS));
        index = new long[WAYS * buckets];
    }

    /** Keeps an answer; the one kept for the same question before is forgotten. */
    public void keep(Question question, long version, byte[] body, long now) {
        int length = HEAD + question.identity.length + body.length;
        if (length > capacity / PART) {
            tooLong++;
            return;
        }
        int at = (int) (head % capacity);
        if (at + length > capacity) {
            head += capacity - at;
            at = 0;
        }
        int place = bucket(question.hash);
        for (int i = place; i < bucket(question.hash) + WAYS; i++) {
            if (isOf(index[i], question)) {
                place = i;
                break;
            }
            if (index[i] < index[place]) {
                place = i;
            }
        }
        index[place] = head + 1;
        log.position(at);
        log.putLong(question.hash).putLong(version).putLong(now).putInt(question.identity.length)
                .putInt(body.length).put(question.identity).put(body);
        head += length;
    }

    private int bucket(long hash) {
        return WAYS * (int) ((hash ^ hash >>> 32) & buckets - 1);
    }

    private boolean isOf(long place, Question question) {
        // The head of the log may have come round and begun another record over this one.
        if (place == 0 || place - 1 + capacity < head) {
            return false;
        }
        int at = (int) ((place - 1) % capacity);
        int length = HEAD + question.identity.length;
        return log.getLong(at) == question.hash
                && log.getInt(at + 24) == question.identity.length && at + length <= capacity
                && Arrays.equals(log.array(), at + HEAD, at + length, question.identity, 0,
                        question.identity.length);
    }

    /** Where the answer to a question stands; negative where none is kept. */
    public int find(Question question) {
        int bucket = bucket(question.hash);
        for (int i = bucket; i < bucket + WAYS && capacity > 0; i++) {
            if (isOf(index[i], question)) {
                return (int) ((index[i] - 1) % capacity);
            }
        }
        return -1;
    }

    public long version(int at) {
        return log.getLong(at + 8);
    }

    public long keptAt(int at) {
        return log.getLong(at + 16);
    }

    public byte[] body(int at) {
        int from = at + HEAD + log.getInt(at + 24);
        return Arrays.copyOfRange(log.array(), from, from + log.getInt(at + 28));
    }

    public long tooLong() {
        return tooLong;
    }

    public long bytes() {
        return capacity + 8L * index.length;
    }
}
