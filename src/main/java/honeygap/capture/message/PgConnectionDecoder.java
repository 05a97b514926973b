package honeygap.capture.message;

import honeygap.net.pg.FrameDecoder;
import honeygap.net.pg.MessageValidator;
import honeygap.net.pg.Statement;
import honeygap.net.pg.PgMessages;
import honeygap.config.Malformed;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Decodes PostgreSQL's wire protocol with the agent's own frame and statement parsers. After a gap, a stream
 * resynchronizes only at an unambiguous message boundary: the client at a chunk that is exactly one complete
 * statement, the server at a chunk of complete messages that ends in ReadyForQuery, and only after the client has
 * resynchronized.
 */
public final class PgConnectionDecoder implements ConnectionDecoder {

    private static final int MAX_MESSAGE_BYTES = 4 * 65536;
    private static final int MAX_STARTUP_BYTES = 10_000;
    private static final int MAX_PENDING_RPCS = 1024;
    private static final String SERVER_MESSAGE_TYPES = "RSKTDCEIZN";
    /** Types that start a response: RowDescription, ErrorResponse or EmptyQueryResponse. */
    private static final String FIRST_RESPONSE_TYPES = "TEI";

    private enum Stage { START, MESSAGES, OUT_OF_SYNC, OPAQUE }

    private final Supplier<RecordedRpc> rpcFactory;
    private final RpcListener listener;
    private final Map<String, Long> counts;
    private final Statement statement = new Statement();
    private FrameDecoder clientFrames = new FrameDecoder(MAX_MESSAGE_BYTES);
    private FrameDecoder serverFrames = new FrameDecoder(MAX_MESSAGE_BYTES);
    private Stage clientStage;
    private Stage serverStage = Stage.MESSAGES;
    /** Unanswered queries in order; {@link #NOT_AN_RPC} stands in for queries that are no RPC, such as an empty one. */
    private final ArrayDeque<RecordedRpc> pendingRpcs = new ArrayDeque<>();
    private static final RecordedRpc NOT_AN_RPC = new RecordedRpc();
    private final ByteArrayOutputStream response = new ByteArrayOutputStream();
    private RecordedRpc.Outcome outcome;
    private String errorCode = "";
    private boolean isEncryptionRequested;
    /**
     * The next chunk directly follows a gap. Reassembly delayed it, so its send time and the bytes before it are
     * unknown, and it can't be used to resynchronize.
     */
    private boolean clientDelayed;
    private boolean serverDelayed;
    /** Whether the first ReadyForQuery was seen, which answers the startup message rather than a statement. */
    private boolean isStartupComplete;

    /**
     * Creates a decoder.
     *
     * @param isFromStart whether the connection was captured from its start
     * @param rpcFactory creates RPCs with the connection's fields set
     * @param counts numbers of decoding problems, by kind
     */
    public PgConnectionDecoder(boolean isFromStart, Supplier<RecordedRpc> rpcFactory, RpcListener listener, Map<String, Long> counts) {
        this.rpcFactory = rpcFactory;
        this.listener = listener;
        this.counts = counts;
        clientStage = isFromStart ? Stage.START : Stage.OUT_OF_SYNC;
        serverStage = isFromStart ? Stage.MESSAGES : Stage.OUT_OF_SYNC;
        isStartupComplete = !isFromStart;
    }

    private void count(String kind) {
        counts.merge(kind, 1L, Long::sum);
    }

    /** Whether a chunk is exactly one complete statement. */
    public static boolean isStatement(byte[] bytes) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        if (buffer.remaining() < 6 || buffer.get(0) != 'Q' || buffer.getInt(1) != buffer.remaining() - 1
                || buffer.get(buffer.limit() - 1) != 0) {
            return false;
        }
        return new Statement().parse(buffer.slice(5, buffer.remaining() - 5));
    }

    /**
     * Whether a chunk is one complete response, from its first message to the final ReadyForQuery. Otherwise the tail
     * of a response after a gap would be taken for the response to a later statement.
     */
    private static boolean isCompleteResponse(byte[] bytes) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        if (bytes.length == 0 || FIRST_RESPONSE_TYPES.indexOf(bytes[0]) < 0) {
            return false;
        }
        int offset = 0;
        while (offset + 5 <= bytes.length) {
            int length = buffer.getInt(offset + 1);
            if (SERVER_MESSAGE_TYPES.indexOf(bytes[offset]) < 0 || length < 4 || length > bytes.length - offset - 1) {
                return false;
            }
            if (bytes[offset] == 'Z') {
                return offset + 1 + length == bytes.length && length == 5;
            }
            offset += 1 + length;
        }
        return false;
    }

    @Override
    public void data(boolean isClient, byte[] bytes, long timestampNs) {
        try {
            if (isClient) {
                readClient(bytes, timestampNs);
            } else {
                readServer(bytes, timestampNs);
            }
        } catch (Malformed e) {
            count(isClient ? "spoilt statements" : "spoilt answers");
            loseSync(isClient);
        }
    }

    private void readClient(byte[] bytes, long timestampNs) throws Malformed {
        if (clientStage == Stage.OPAQUE) {
            return;
        }
        if (clientStage == Stage.OUT_OF_SYNC) {
            boolean wasDelayed = clientDelayed;
            clientDelayed = false;
            if (wasDelayed || !isStatement(bytes)) {
                count("chunks passed over");
                return;
            }
            clientStage = Stage.MESSAGES;
            clientFrames = new FrameDecoder(MAX_MESSAGE_BYTES);
            // RPCs pending before the gap can't be matched with what follows.
            abortPendingRpcs();
        }
        clientFrames.feed(ByteBuffer.wrap(bytes));
        while (true) {
            if (clientStage == Stage.START) {
                if (!clientFrames.nextUntyped(MAX_STARTUP_BYTES)) {
                    return;
                }
                int version = clientFrames.body().remaining() < 4 ? 0 : clientFrames.body().getInt(0);
                if (version == PgMessages.PROTOCOL_3) {
                    clientStage = Stage.MESSAGES;
                } else if (version == PgMessages.SSL_REQUEST || version == PgMessages.GSSENC_REQUEST) {
                    isEncryptionRequested = true;
                } else {
                    clientStage = Stage.OPAQUE;
                    return;
                }
            } else if (!clientFrames.next()) {
                return;
            } else if (clientFrames.type() == 'Q') {
                queryReceived(timestampNs);
            }
        }
    }

    private void queryReceived(long timestampNs) {
        if (pendingRpcs.size() >= MAX_PENDING_RPCS) {
            count("too many open");
            abortPendingRpcs();
        }
        if (serverStage == Stage.OUT_OF_SYNC) {
            // Clients don't pipeline: the response to the pending RPC was in the unreadable part of the server stream.
            abortPendingRpcs();
        }
        if (!statement.parse(clientFrames.body())) {
            pendingRpcs.add(NOT_AN_RPC);
            return;
        }
        RecordedRpc rpc = rpcFactory.get();
        rpc.protocol = "pg";
        rpc.method = statement.method();
        rpc.id = statement.id();
        rpc.tenant = statement.tenant() == null ? "" : statement.tenant();
        rpc.key = statement.key();
        rpc.deadlineMs = statement.timeoutMs();
        rpc.requestTimeNs = timestampNs;
        ByteBuffer whole = clientFrames.message();
        rpc.request = new byte[whole.remaining()];
        whole.duplicate().get(rpc.request);
        rpc.isReadOnly = rpc.request[5] == 'S';
        pendingRpcs.add(rpc);
    }

    private void readServer(byte[] bytes, long timestampNs) throws Malformed {
        if (serverStage == Stage.OPAQUE || clientStage == Stage.OPAQUE) {
            return;
        }
        byte[] remaining = bytes;
        if (isEncryptionRequested && bytes.length > 0) {
            isEncryptionRequested = false;
            if (bytes[0] != 'N') {
                // Everything after this byte is encrypted.
                clientStage = serverStage = Stage.OPAQUE;
                count("encrypted connections");
                return;
            }
            remaining = java.util.Arrays.copyOfRange(bytes, 1, bytes.length);
        }
        if (serverStage == Stage.OUT_OF_SYNC) {
            boolean wasDelayed = serverDelayed;
            serverDelayed = false;
            if (wasDelayed || clientStage == Stage.OUT_OF_SYNC || !isCompleteResponse(remaining)
                    || pendingRpcs.size() != 1) {
                count("chunks passed over");
                // This chunk may have been the pending RPC's response; the next response must not be taken for it.
                abortPendingRpcs();
                return;
            }
            serverStage = Stage.MESSAGES;
            serverFrames = new FrameDecoder(MAX_MESSAGE_BYTES);
            isStartupComplete = true;
        }
        serverFrames.feed(ByteBuffer.wrap(remaining));
        while (serverFrames.next()) {
            serverMessageReceived(timestampNs);
        }
    }

    private void serverMessageReceived(long timestampNs) throws Malformed {
        if (SERVER_MESSAGE_TYPES.indexOf(serverFrames.type()) < 0) {
            throw new Malformed("message type is not one that servers send");
        }
        MessageValidator.check(serverFrames.type(), serverFrames.body());
        switch (serverFrames.type()) {
            case 'T', 'D':
                appendToResponse();
                break;
            case 'C':
                appendToResponse();
                outcome = outcome == null ? RecordedRpc.Outcome.served : outcome;
                break;
            case 'I':
                outcome = outcome == null ? RecordedRpc.Outcome.served : outcome;
                break;
            case 'E':
                appendToResponse();
                errorCode = PgMessages.errorField(serverFrames.body(), 'C');
                outcome = RecordedRpc.Outcome.ofSqlState(errorCode);
                if (PgMessages.errorField(serverFrames.body(), 'S').equals("FATAL")) {
                    completeRpc(timestampNs);
                }
                break;
            case 'Z':
                if (isStartupComplete) {
                    completeRpc(timestampNs);
                }
                isStartupComplete = true;
                break;
            default:
                break;
        }
    }

    private void appendToResponse() {
        ByteBuffer whole = serverFrames.message();
        if (response.size() + whole.remaining() <= MAX_MESSAGE_BYTES) {
            while (whole.hasRemaining()) {
                response.write(whole.get());
            }
        }
    }

    private void completeRpc(long timestampNs) {
        RecordedRpc rpc = pendingRpcs.poll();
        if (rpc != null && rpc != NOT_AN_RPC) {
            rpc.durationNs = Math.max(0, timestampNs - rpc.requestTimeNs);
            rpc.outcome = outcome == null ? RecordedRpc.Outcome.failed : outcome;
            rpc.code = errorCode;
            rpc.response = response.toByteArray();
            listener.accept(rpc);
        }
        outcome = null;
        errorCode = "";
        response.reset();
    }

    @Override
    public void gap(boolean isClient, long length) {
        count("holes in conversations");
        clientDelayed |= isClient;
        serverDelayed |= !isClient;
        loseSync(isClient);
    }

    private void loseSync(boolean isClient) {
        if (clientStage == Stage.OPAQUE) {
            return;
        }
        // With one side out of sync, responses can't be matched to requests: both sides have to resynchronize.
        clientStage = isClient ? Stage.OUT_OF_SYNC : clientStage == Stage.START ? Stage.OUT_OF_SYNC : clientStage;
        serverStage = Stage.OUT_OF_SYNC;
        abortPendingRpcs();
    }

    private void abortPendingRpcs() {
        for (RecordedRpc rpc : pendingRpcs) {
            if (rpc != NOT_AN_RPC) {
                rpc.outcome = RecordedRpc.Outcome.torn;
                listener.accept(rpc);
            }
        }
        pendingRpcs.clear();
        outcome = null;
        errorCode = "";
        response.reset();
    }

    @Override
    public void connectionClosed() {
        for (RecordedRpc rpc : pendingRpcs) {
            if (rpc != NOT_AN_RPC) {
                rpc.outcome = RecordedRpc.Outcome.open;
                listener.accept(rpc);
            }
        }
        pendingRpcs.clear();
    }
}
