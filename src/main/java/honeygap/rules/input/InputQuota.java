package honeygap.rules.input;

/**
 * The share of one iteration of the event loop that one connection gets: a number of messages, and of bytes that answer
 * them. Input beyond it waits in the {@link InputBacklog}, so that no connection delays the others by sending more.
 */
public final class InputQuota {

    /** Messages of one connection that are processed in one iteration. */
    public static final int MESSAGES_PER_TURN = 16;
    /** Bytes of responses after which no further message is processed in the same iteration. */
    private static final long RESPONSE_BYTES_PER_TURN = 16_384;
    /** Messages without an RPC and small reads within a period above which all input waits in the backlog. */
    private static final int PIECES_PER_PERIOD = 2 * MESSAGES_PER_TURN;
    /** The read and the message of a small request that opens an RPC. */
    private static final int PIECES_PER_RPC = 2;
    private static final int SMALL_READ_BYTES = 512;
    /** In tenths of a millisecond. */
    private static final long PERIOD = 1000;

    private int messagesLeft;
    private long responseBytesLeft;
    private boolean isExceeded;
    private long periodStart = Long.MIN_VALUE / 2;
    private int piecesInPeriod;

    /** Begins the connection's share of an iteration, at a time in tenths of a millisecond. */
    public void startTurn(long now) {
        updatePeriod(now);
        messagesLeft = MESSAGES_PER_TURN;
        responseBytesLeft = RESPONSE_BYTES_PER_TURN;
        isExceeded = false;
    }

    private void updatePeriod(long now) {
        if (now - periodStart >= PERIOD) {
            periodStart = now;
            piecesInPeriod = 0;
        }
    }

    /** Counts a read of this many bytes; small ones cost as much as a message. */
    public void addRead(int bytes, long now) {
        updatePeriod(now);
        piecesInPeriod += bytes < SMALL_READ_BYTES ? 1 : 0;
    }

    /** Takes the next message from the share; returns false if the share is used up. */
    public boolean takeMessage() {
        isExceeded = messagesLeft <= 0 || responseBytesLeft <= 0;
        messagesLeft--;
        piecesInPeriod++;
        return !isExceeded;
    }

    /** The last message has opened an RPC. */
    public void rpcOpened() {
        piecesInPeriod -= PIECES_PER_RPC;
    }

    /** Whether the connection has sent much lately that opened no RPC, so that other input is processed first. */
    public boolean isBusy(long now) {
        return piecesInPeriod > PIECES_PER_PERIOD && now - periodStart < PERIOD;
    }

    /** Counts the bytes of a response. */
    public void addResponse(long bytes) {
        responseBytesLeft -= bytes;
    }

    /** Whether a message was left for a later iteration. */
    public boolean isExceeded() {
        return isExceeded;
    }
}
