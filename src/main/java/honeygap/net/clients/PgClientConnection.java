package honeygap.net.clients;

import honeygap.fleet.Method;
import honeygap.net.connections.ClientConnection;
import honeygap.net.pg.FrameDecoder;
import honeygap.net.pg.PgMessages;
import honeygap.net.pg.ProtocolViolation;
import honeygap.net.pg.Query;
import honeygap.net.pg.StartupSequence;
import honeygap.net.pg.Statement;
import honeygap.net.shutdown.ShutdownEvent;
import honeygap.config.Malformed;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Locale;

/** A client connection that speaks the PostgreSQL wire protocol. */
final class PgClientConnection extends ClientConnection implements Query.ResponseHandler {

    /** In bytes: a value of 64 KiB as hexadecimal digits, plus the statement around it. */
    private static final int MAX_MESSAGE_LENGTH = 2 * 65536 + 4096;
    /** In bytes. */
    private static final int MAX_STARTUP_LENGTH = 10_000;
    /**
     * Complete messages that may be queued behind an open RPC. Clients send one request at a time and open
     * further connections under load, so a longer queue is treated as a protocol violation.
     */
    private static final int MAX_QUEUED_MESSAGES = 64;
    /** RPCs of a connection whose answers may not have been read by the client yet. */
    private static final int MAX_RECENTLY_ANSWERED = 16;
    private static final String OUT_OF_MEMORY = "too much is held for other requests, trying again is harmless";

    private final PgClients clients;
    private final FrameDecoder decoder = new FrameDecoder(MAX_MESSAGE_LENGTH);
    private final StartupSequence startup = new StartupSequence();
    private boolean started;
    private Query call;
    private final ArrayDeque<Query> recentlyAnswered = new ArrayDeque<>();

    PgClientConnection(PgClients clients) {
        super(clients.connections);
        this.clients = clients;
    }

    @Override
    protected boolean isStarted() {
        return started;
    }

    @Override
    protected boolean hasOpenRpc() {
        return call != null;
    }

    @Override
    protected int bufferedBytes() {
        return decoder.bufferedBytes();
    }

    @Override
    protected long heldInputBytes() {
        return decoder.heldBytes();
    }

    @Override
    protected void discardInput() {
        decoder.clear();
    }

    @Override
    protected ByteBuffer timeoutResponse() {
        return PgMessages.fatal(PgMessages.PROTOCOL_VIOLATION, "nothing whole has come in time");
    }

    @Override
    protected ByteBuffer tooManyConnectionsResponse() {
        return PgMessages.fatal(PgMessages.TOO_MANY_CONNECTIONS, "too many connections");
    }

    @Override
    protected ByteBuffer outOfMemoryResponse() {
        return PgMessages.fatal(PgMessages.TOO_MANY_CONNECTIONS, OUT_OF_MEMORY);
    }

    @Override
    protected ByteBuffer shutdownResponse() {
        return PgMessages.fatal(PgMessages.CANNOT_CONNECT_NOW, "this agent is shutting down, trying again is harmless");
    }

    @Override
    protected void failRpc() {
        clients.abortIfUnanswered(call);
    }

    @Override
    protected void buffer(ByteBuffer bytes) {
        decoder.feed(bytes);
    }

    @Override
    protected void abandonRpc() {
        if (call != null) {
            Query abandoned = call;
            clients.recordShutdownEvent(ShutdownEvent.ABANDONED, abandoned, this);
            closeCall();
            clients.abandoned(abandoned);
        }
        removeReadAnswers();
        recentlyAnswered.forEach(clients::abandoned);
        recentlyAnswered.clear();
    }

    @Override
    protected void processInput() {
        try {
            while (mayProcessNext() && (started ? decoder.next() : decoder.nextUntyped(MAX_STARTUP_LENGTH))) {
                if (started) {
                    handleMessage();
                } else {
                    handleStartup(decoder.body());
                }
            }
            if (!isEnding() && started && decoder.hasMoreMessagesThan(MAX_QUEUED_MESSAGES)) {
                throw new ProtocolViolation(ProtocolViolation.Kind.QUEUE, "too many commands at once");
            }
        } catch (ProtocolViolation e) {
            reject(e);
        } catch (Malformed e) {
            reject(new ProtocolViolation(ProtocolViolation.Kind.MESSAGE_TYPE, e.getMessage()));
        }
        decoder.endInput();
    }

    @Override
    protected void rejectQueuedInput() {
        reject(new ProtocolViolation(ProtocolViolation.Kind.QUEUE, "too much input at once"));
    }

    private void handleStartup(ByteBuffer body) throws ProtocolViolation {
        switch (startup.next(body)) {
            case ENCRYPTION -> write(PgMessages.encryptionRefused());
            case START -> {
                if (!awaitPlace()) {
                    startGranted();
                }
            }
            case CANCEL -> closeNow();
        }
    }

    @Override
    protected void startGranted() {
        started = true;
        if (clients.connections.rejectsRequest(this)) {
            writeAndClose(tooManyConnectionsResponse());
        } else {
            write(PgMessages.startupResponse());
        }
    }

    private void handleMessage() throws ProtocolViolation {
        switch (decoder.type()) {
            case 'Q':
                handleQuery(decoder.body());
                break;
            case 'X':
                closeNow();
                break;
            default:
                throw new ProtocolViolation(ProtocolViolation.Kind.MESSAGE_TYPE, "only simple queries are taken");
        }
    }

    private void handleQuery(ByteBuffer body) throws ProtocolViolation {
        requestReceived();
        if (!body.hasRemaining() || body.get(body.limit() - 1) != 0) {
            throw new ProtocolViolation(ProtocolViolation.Kind.UNTERMINATED_QUERY, "a query without an end");
        }
        Statement statement = clients.statement;
        if (statement.parse(body)) {
            if (clients.connections.lacksMemory()) {
                write(PgMessages.error(PgMessages.TOO_MANY_CONNECTIONS, OUT_OF_MEMORY, 0));
                return;
            }
            call = clients.openRpc(this, statement);
            if (call != null) {
                rpcOpened();
                clients.submit(call);
            } else {
                write(PgMessages.error(PgMessages.SYNTAX_ERROR, "unknown method, or an id that is open", 0));
            }
            return;
        }
        String text = body.remaining() > 64 ? "?"
                : StandardCharsets.UTF_8.decode(body.duplicate()).toString()
                .replace('\0', ' ').replace(';', ' ').strip().toUpperCase(Locale.ROOT);
        String command = text.split("\\s", 2)[0];
        if (text.isEmpty()) {
            write(PgMessages.emptyQueryResponse());
        } else if (command.equals("SET") || command.equals("RESET") || command.equals("DISCARD")) {
            write(PgMessages.setComplete());
        } else {
            clients.countUnknownStatement();
            write(PgMessages.error(PgMessages.SYNTAX_ERROR, "not a statement that is taken here", 0));
        }
    }

    @Override
    public void answer(ByteBuffer... row) {
        clients.recordShutdownEvent(ShutdownEvent.SERVED, call, this);
        ByteBuffer[] parts = Arrays.copyOf(row, row.length + 1);
        parts[row.length] = PgMessages.readyForQuery();
        finishCall(parts);
    }

    @Override
    public void pushBack(long retryAfterMs) {
        clients.recordShutdownEvent(ShutdownEvent.REFUSED, call, this);
        clients.recordFailure(call);
        clients.countPushedBack();
        finishCall(PgMessages.error(PgMessages.TOO_MANY_CONNECTIONS, "pushed back, trying again is harmless", retryAfterMs));
    }

    @Override
    public void abort() {
        clients.recordShutdownEvent(ShutdownEvent.FAILED, call, this);
        clients.recordFailure(call);
        finishCall(PgMessages.error(PgMessages.SYSTEM_ERROR, "aborted", 0));
    }

    private void finishCall(ByteBuffer... parts) {
        if (call.method.effect != Method.IDEMPOTENT) {
            recentlyAnswered.addLast(call);
        }
        removeReadAnswers();
        closeCall();
        write(parts);
    }

    /** Forgets answers that the client has read or no longer waits for. */
    private void removeReadAnswers() {
        recentlyAnswered.removeIf(answered -> clients.loop.clock() > answered.deadline);
        while (recentlyAnswered.size() > MAX_RECENTLY_ANSWERED) {
            recentlyAnswered.removeFirst();
        }
    }

    /** Detaches the open RPC from this connection after it was answered or its client disconnected. */
    private void closeCall() {
        call.deadlineTimer.cancel();
        call.detachHandler();
        clients.removeRpc(call);
        call = null;
    }

    /**
     * Ends the connection, because the bytes after a malformed message can't be interpreted. The final error
     * message also serves as the response to an open RPC.
     */
    private void reject(ProtocolViolation violation) {
        clients.countViolation(violation.kind);
        abandonRpc();
        writeAndClose(PgMessages.fatal(PgMessages.PROTOCOL_VIOLATION, violation.getMessage()));
    }
}
