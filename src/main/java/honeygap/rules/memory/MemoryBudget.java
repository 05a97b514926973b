package honeygap.rules.memory;

import java.util.Collections;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Bounds the bytes that all connections of a process hold together, whatever their protocol, as a share of the heap. A
 * limit per connection is not enough: its product with the number of connections exceeds the heap.
 *
 * <p>Each holder of buffers has an account. Over the limit for requests, incomplete requests are given up and no new
 * request is admitted; over the higher limit for responses, so are responses that are not passed on. Requests that were
 * admitted are never given up. Used by one thread; times are tenths of a millisecond.
 */
public final class MemoryBudget {

    /** What the bytes of an account are held for. */
    public enum Use {
        /** A request of which a part is still to come. */
        PARTIAL_REQUEST,
        /** Input that waits behind an open request of the same connection. */
        QUEUED_INPUT,
        /** A response that the client has not read yet. */
        UNREAD_RESPONSE,
        /** A response of which a part is still to come from an appliance. */
        PARTIAL_RESPONSE,
        /** A request that was admitted and has no response yet. */
        OPEN_REQUEST,
        /** A document from discovery or the release desk. */
        DOCUMENT
    }

    /** Share of the heap up to which requests are admitted. */
    private static final double REQUEST_SHARE = 3.0 / 8;
    /** Share of the heap up to which responses are kept: admitted requests are still answered above the other limit. */
    private static final double RESPONSE_SHARE = 1.0 / 2;
    /** Share of the limit for requests that the input waiting on one connection may take. */
    private static final double QUEUE_SHARE = 1.0 / 16;
    /** Share of the heap for what is remembered of RPCs whose clients have gone. */
    private static final double ABANDONED_SHARE = 1.0 / 32;
    /** An account that has been in use for longer than a pause of the process lasts waits for its remote side. */
    private static final long STALLED_AFTER = 1_500;

    private final Map<Use, TreeSet<Account>> accounts = new EnumMap<>(Use.class);
    private final Map<Use, Long> releasedCounts = new EnumMap<>(Use.class);
    private long heapBytes;
    private long heldBytes;
    private long nextSequence;
    private long rejectedCount;
    private boolean isReclaiming;

    /** Creates a budget for a process with a heap of this size. */
    public MemoryBudget(long heapBytes) {
        this.heapBytes = heapBytes;
        for (Use use : Use.values()) {
            accounts.put(use, new TreeSet<>());
            releasedCounts.put(use, 0L);
        }
    }

    /** The bytes that one holder of buffers holds. */
    public final class Account implements Comparable<Account> {

        private final Runnable release;
        private Use use;
        private long bytes;
        private long since;
        private long sequence;

        private Account(Runnable release) {
            this.release = release;
        }

        /** Sets how many bytes are held, and for what. May give up what this or other accounts hold. */
        public void set(Use newUse, long newBytes, long now) {
            boolean hasGrown = newBytes > bytes;
            boolean isContinued = bytes > 0 && newBytes > 0 && use == newUse;
            if (!isContinued) {
                clear();
            }
            heldBytes += newBytes - bytes;
            bytes = newBytes;
            if (!isContinued && newBytes > 0) {
                use = newUse;
                since = now;
                sequence = nextSequence++;
                accounts.get(newUse).add(this);
            }
            if (hasGrown) {
                reclaim(now);
            }
        }

        /** Nothing is held any more. */
        public void clear() {
            if (bytes > 0) {
                accounts.get(use).remove(this);
                heldBytes -= bytes;
                bytes = 0;
            }
        }

        @Override
        public int compareTo(Account other) {
            return Long.compare(sequence, other.sequence);
        }
    }

    /** Opens an account. The callback gives up what the account holds. */
    public Account open(Runnable release) {
        return new Account(release);
    }

    /** Sets aside heap for a structure of fixed size, such as a cache, which connections then can't use. */
    public void reserve(long bytes) {
        heapBytes = Math.max(0, heapBytes - bytes);
    }

    /** Sets aside the memory for what is remembered of RPCs whose clients have gone; returns its bytes. */
    public long reserveForAbandonedRpcs() {
        long bytes = (long) (ABANDONED_SHARE * heapBytes);
        reserve(bytes);
        return bytes;
    }

    /** Whether there is room for another request, once incomplete ones were given up as far as needed. */
    public boolean admitsRequest(long now) {
        reclaim(now);
        boolean isAdmitted = heldBytes <= requestLimit();
        rejectedCount += isAdmitted ? 0 : 1;
        return isAdmitted;
    }

    private long requestLimit() {
        return (long) (REQUEST_SHARE * heapBytes);
    }

    private long responseLimit() {
        return (long) (RESPONSE_SHARE * heapBytes);
    }

    private void reclaim(long now) {
        if (isReclaiming) {
            return;
        }
        isReclaiming = true;
        try {
            reclaimLargestQueues();
            reclaim(Use.PARTIAL_REQUEST, requestLimit(), now);
            reclaim(Use.UNREAD_RESPONSE, responseLimit(), now);
            reclaim(Use.PARTIAL_RESPONSE, responseLimit(), now);
        } finally {
            isReclaiming = false;
        }
    }

    /** Queued input is given up where there is most of it: that client has sent more than its share. */
    private void reclaimLargestQueues() {
        TreeSet<Account> candidates = accounts.get(Use.QUEUED_INPUT);
        while (heldBytes > requestLimit() && !candidates.isEmpty()) {
            release(Collections.max(candidates, Comparator.comparingLong(account -> account.bytes)));
        }
    }

    private void reclaim(Use use, long limit, long now) {
        TreeSet<Account> candidates = accounts.get(use);
        while (heldBytes > limit && !candidates.isEmpty()) {
            Account oldest = candidates.first();
            boolean isStalled = now - oldest.since >= STALLED_AFTER;
            // Where none is stalled there are too many at once: those that came first are nearest to their end.
            release(isStalled ? oldest : candidates.last());
        }
    }

    private void release(Account account) {
        Use use = account.use;
        account.clear();
        releasedCounts.merge(use, 1L, Long::sum);
        account.release.run();
    }

    /** Bytes held by all accounts. */
    public long heldBytes() {
        return heldBytes;
    }

    /** The most bytes that may be held when a request is admitted. */
    public long maxBytesForRequests() {
        return requestLimit();
    }

    /** The most bytes that may wait on one connection behind its open request. */
    public long maxQueuedBytes() {
        return (long) (QUEUE_SHARE * requestLimit());
    }

    /** How often an account of this use was given up. */
    public long releasedCount(Use use) {
        return releasedCounts.get(use);
    }

    /** How many requests were not admitted. */
    public long rejectedCount() {
        return rejectedCount;
    }
}
