package honeygap.net.connections;

import honeygap.net.GatheringBuffer;
import honeygap.net.Loop;
import honeygap.net.ConnectionHandler;
import honeygap.net.shutdown.ShutdownEvent;
import honeygap.rules.input.InputBacklog;
import honeygap.rules.input.InputQuota;
import honeygap.rules.memory.MemoryBudget;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.apache.mina.core.session.IoSession;

/**
 * A client connection, independent of its protocol: its stages and their timer, its entry among the other
 * connections, and writes to it. RPCs are processed one at a time; each is answered completely before the next
 * one is processed. Each iteration of the loop processes a limited number of messages, whose responses are written
 * together. Reading goes on while an RPC is open, up to a limit, since only that shows that the client has closed the
 * connection.
 */
public abstract class ClientConnection implements ConnectionHandler, InputBacklog.Waiting {

    /**
     * How long a connection may stay in a stage other than REST and ANSWER before it is sent an error or closed,
     * counted from its accept or, once it has sent a request, from the start of the stage. Durations in this class
     * are tenths of a millisecond.
     */
    private static final long STAGE_TIMEOUT = 30_000;
    /**
     * How long the rest of a message may take on a connection that has already sent a request, provided that parts of
     * it keep arriving: without any, the connection is ended as after any other stage.
     */
    private static final long PARTIAL_REQUEST_TIMEOUT = 2 * STAGE_TIMEOUT;
    /** Granted at the end of a stage, so that input received during a pause of the agent is read first. */
    private static final long STAGE_GRACE = STAGE_TIMEOUT / 20;
    /** A new connection is kept this long for its first RPC, because its client may be delayed too. */
    private static final long FIRST_RPC_TIMEOUT = STAGE_TIMEOUT / 6;

    /** What a connection waits for; the names appear, in lower case, in the shutdown log. */
    private enum Stage {
        /** Not yet opened. */
        NEW,
        /** The startup of the connection. */
        START,
        /** A place among the connections, after the startup was received. */
        PLACE,
        /** The next request. */
        REST,
        /** The rest of a partially received request. */
        HALF,
        /** The response to the open RPC. */
        ANSWER,
        /** The client's reading of a response. */
        UNREAD
    }

    private final ClientConnections connections;
    private final Loop loop;
    private IoSession session;
    /** Writes that are not yet completely handed over to the operating system. */
    private int pendingWrites;
    /** Responses to the messages that are being processed, which are written together. */
    private final List<ByteBuffer> responses = new ArrayList<>();
    private final InputQuota quota = new InputQuota();
    private boolean isProcessing;
    private boolean isAwaitingPlace;
    private boolean ending;
    private boolean disconnected;
    private Stage stage = Stage.NEW;
    private long openedAt;
    private long earliestAcceptedAt;
    private long stageSince;
    /** The loop's selection after which the stage began. */
    private long stageSelection;
    private long lastInputAt;
    /** When the time that the stage timer grants began. */
    private long timeoutStart;
    /** Bytes of responses that are not yet completely handed over to the operating system. */
    private long unreadBytes;
    private final MemoryBudget.Account memory;
    /** Maintained by {@link ClientConnections}, which closes connections that have been idle for too long. */
    long idleSince;
    private boolean hasReceivedRequest;
    private boolean hasOpenedRpc;
    /** Ends a stage that lasts too long. */
    private Loop.Timer stageTimer;

    protected ClientConnection(ClientConnections connections) {
        this.connections = connections;
        loop = connections.loop;
        memory = loop.memory().open(this::releaseMemory);
    }

    /** Whether the client has sent what its protocol requires at the start of a connection. */
    protected abstract boolean isStarted();

    /** Whether an RPC of this connection is open. */
    protected abstract boolean hasOpenRpc();

    /** How many received bytes are buffered: unread messages or part of one. */
    protected abstract int bufferedBytes();

    /** How many bytes of memory the received input takes, including that of the open RPC. */
    protected abstract long heldInputBytes();

    /** Buffers received bytes. */
    protected abstract void buffer(ByteBuffer bytes);

    /** Drops all buffered input, because nothing more is read from this client. */
    protected abstract void discardInput();

    /** Processes buffered messages for as long as {@link #mayProcessNext} holds. */
    protected abstract void processInput();

    /** Ends the connection, because more input waits behind its open RPC than is allowed. */
    protected abstract void rejectQueuedInput();

    /** Abandons the open RPC, if any, because the client has disconnected. */
    protected abstract void abandonRpc();

    /** The final response to a client that has not sent a complete request in time. */
    protected abstract ByteBuffer timeoutResponse();

    /** The final response to a client that is disconnected because there are too many connections. */
    protected abstract ByteBuffer tooManyConnectionsResponse();

    /** The final response to a client whose incomplete request takes memory that the process lacks. */
    protected abstract ByteBuffer outOfMemoryResponse();

    /** The final response to a client whose request is still incomplete when the agent shuts down. */
    protected abstract ByteBuffer shutdownResponse();

    /** Answers the open RPC as failed, because no response was produced for it in time. */
    protected abstract void failRpc();

    protected final boolean canRead() {
        return !hasOpenRpc() && !isWriting() && !ending && !isAwaitingPlace;
    }

    /** Whether the connection has to wait for a place before it is started: {@link #placeGranted} is called then. */
    protected final boolean awaitPlace() {
        isAwaitingPlace = connections.awaitsPlace(this);
        return isAwaitingPlace;
    }

    /** There is a place for the connection. */
    final void placeGranted() {
        if (isAwaitingPlace && !disconnected && !ending) {
            isAwaitingPlace = false;
            startGranted();
            loop.backlog().add(this);
            updateState();
        }
    }

    /** Starts a connection that had to wait for a place. */
    protected void startGranted() {
    }

    /** Whether the next message may be processed now; takes it from the share of this iteration. */
    protected final boolean mayProcessNext() {
        return canRead() && quota.takeMessage();
    }

    private boolean isWriting() {
        return pendingWrites > 0;
    }

    protected final boolean isEnding() {
        return ending;
    }

    /**
     * Marks that the client has sent a request, which extends the timeout for the rest of later messages. From then on the
     * request's memory is counted as that of an open RPC; what is held besides is counted after the processing.
     */
    protected final void requestReceived() {
        hasReceivedRequest = true;
        memory.clear();
    }

    @Override
    public final void opened(IoSession session) {
        this.session = session;
        // The connection was accepted at some time since the last loop iteration began, which may be long ago if
        // there was little traffic or the process was suspended. The response timeout counts from that earliest
        // time; the time granted for the first RPC counts from now.
        earliestAcceptedAt = loop.now();
        openedAt = loop.clock();
        connections.recordShutdownEvent(ShutdownEvent.ACCEPTED, this);
        updateStage();
        connections.add(this);
    }

    @Override
    public final void unreachable() {
        disconnected = true;
    }

    @Override
    public final void received(ByteBuffer bytes) {
        if (ending) {
            return;
        }
        lastInputAt = loop.clock();
        quota.addRead(bytes.remaining(), loop.now());
        buffer(bytes);
        if (quota.isBusy(loop.now())) {
            loop.backlog().add(this);
            session.suspendRead();
        } else if (!loop.backlog().contains(this)) {
            advance();
        }
        boolean isWaiting = !canRead() || loop.backlog().contains(this);
        if (!ending && isWaiting && bufferedBytes() > loop.memory().maxQueuedBytes()) {
            connections.countQueueTooLong();
            rejectQueuedInput();
        }
        updateMemory();
    }

    @Override
    public final void written() {
        if (!isWriting()) {
            return;
        }
        pendingWrites--;
        if (!isWriting()) {
            unreadBytes = 0;
            if (bufferedBytes() > 0) {
                // Not at once: the next response would be written in the same flush, and so on.
                loop.backlog().add(this);
            }
            updateState();
        }
    }

    @Override
    public final void processBacklog() {
        if (session.isReadSuspended() && !ending) {
            session.resumeRead();
            readPending();
        }
        if (!disconnected && !session.isClosing()) {
            advance();
        }
    }

    /** Reads what has arrived while reading was suspended: the client may have closed the connection meanwhile. */
    private void readPending() {
        ByteBuffer bytes = loop.readPending(session);
        if (bytes.hasRemaining()) {
            lastInputAt = loop.clock();
            buffer(bytes);
        }
    }

    @Override
    public final void closed() {
        disconnected = true;
        loop.backlog().remove(this);
        updateStage();
        connections.remove(this);
        connections.connectionClosed();
        abandonRpc();
        discardInput();
        memory.clear();
    }

    protected final void advance() {
        quota.startTurn(loop.now());
        isProcessing = true;
        try {
            processInput();
        } finally {
            isProcessing = false;
            flushResponses();
        }
        if (quota.isExceeded() && canRead() && bufferedBytes() > 0) {
            loop.backlog().add(this);
        }
        updateState();
    }

    private void updateState() {
        updateStage();
        connections.updateIdle(this, isIdle());
    }

    /**
     * Updates the stage and restarts its timer. One timer covers everything expected from the client: its startup,
     * the rest of a message and the reading of a response. It guards against connections that occupy a slot
     * without sending a complete request.
     */
    private void updateStage() {
        Stage next = disconnected ? Stage.REST : isWriting() || ending ? Stage.UNREAD : isAwaitingPlace ? Stage.PLACE
                : !isStarted() ? Stage.START
                : hasOpenRpc() ? Stage.ANSWER : bufferedBytes() > 0 ? Stage.HALF : Stage.REST;
        if (next != stage) {
            stage = next;
            stageSince = loop.clock();
            stageSelection = loop.selections();
            restartStageTimer();
            connections.updateAwaitingInput(this, next == Stage.START || next == Stage.HALF);
        }
        updateMemory();
    }

    private void restartStageTimer() {
        if (stageTimer != null) {
            stageTimer.cancel();
            stageTimer = null;
        }
        if (stage != Stage.REST && stage != Stage.ANSWER) {
            scheduleStageTimeout(stage == Stage.UNREAD || hasReceivedRequest ? stageSince : earliestAcceptedAt);
        }
    }

    /** Waits for this stage's timeout, then for the grace that lets a suspended agent read the input received meanwhile. */
    private void scheduleStageTimeout(long start) {
        timeoutStart = start;
        stageTimer = loop.schedule(start + STAGE_TIMEOUT - 2 * STAGE_GRACE,
                () -> stageTimer = loop.schedule(loop.now() + STAGE_GRACE, this::stageTimedOut));
    }

    private void stageTimedOut() {
        long extendedStart = Math.min(lastInputAt, stageSince + PARTIAL_REQUEST_TIMEOUT - STAGE_TIMEOUT);
        if (stage == Stage.HALF && hasReceivedRequest && extendedStart > timeoutStart) {
            scheduleStageTimeout(extendedStart);
            return;
        }
        connections.countTimedOut();
        terminate(timeoutResponse());
    }

    private void updateMemory() {
        if (disconnected) {
            // Nothing can be given up any more: the budget would ask for it again and again.
            memory.clear();
            return;
        }
        MemoryBudget.Use use = unreadBytes > 0 ? MemoryBudget.Use.UNREAD_RESPONSE
                : !hasOpenRpc() ? MemoryBudget.Use.PARTIAL_REQUEST
                : bufferedBytes() > 0 ? MemoryBudget.Use.QUEUED_INPUT : MemoryBudget.Use.OPEN_REQUEST;
        memory.set(use, heldInputBytes() + unreadBytes, loop.now());
    }

    /** Ends the connection, because the process holds too much for all connections together. */
    private void releaseMemory() {
        if (hasOpenRpc()) {
            // The RPC may have run, so that its answer must not promise the contrary.
            connections.countEvictedForMemory();
            failRpc();
            close();
        } else {
            connections.evictForMemory(this);
        }
    }

    final boolean hasReceivedRequest() {
        return hasReceivedRequest;
    }

    /** Marks that an RPC of this connection was accepted. */
    protected final void rpcOpened() {
        hasOpenedRpc = true;
        quota.rpcOpened();
    }

    final boolean hasOpenedRpc() {
        return hasOpenedRpc;
    }

    /** Whether the client has sent a request or has had enough time since it connected to send its first one. */
    final boolean hadTimeForFirstRpc() {
        return hasReceivedRequest || loop.now() >= firstRpcDeadline();
    }

    /** The current stage in lower case. */
    final String stageName() {
        return stage.name().toLowerCase(Locale.ROOT);
    }

    /** How long the connection has been open, in tenths of a millisecond. */
    public final long age() {
        return loop.clock() - openedAt;
    }

    /** The end of the time granted to a new connection for its first RPC. */
    final long firstRpcDeadline() {
        return openedAt + FIRST_RPC_TIMEOUT;
    }

    /**
     * Closes the connection between RPCs, unless the next one has already arrived: then that is read first. The output
     * ends in the same moment: a close that waited for the rest of the iteration would meet requests that arrive
     * meanwhile. Later input is left unread, so that the client can tell that it was not accepted. Returns whether the
     * connection was closed.
     */
    final boolean closeIdle() {
        ByteBuffer next = loop.readPending(session);
        if (next.hasRemaining()) {
            received(next);
            return false;
        }
        session.suspendRead();
        connections.recordShutdownEvent(ShutdownEvent.CLOSED, this);
        ending = true;
        discardInput();
        loop.closeAbruptly(session);
        updateStage();
        return true;
    }

    /** Sends a final response for an open RPC or a partial request, because the agent shuts down. */
    final void endForShutdown() {
        if (hasOpenRpc()) {
            failRpc();
        } else if (!isWriting() && !ending) {
            writeAndClose(shutdownResponse());
        }
    }

    /** Closes the connection at once; the response is sent first unless one is already being written. */
    final void terminate(ByteBuffer response) {
        if (stage == Stage.UNREAD) {
            session.closeNow();
        } else {
            writeAndClose(response);
        }
    }

    /**
     * Whether the awaited input would have been read by now if the client had sent it. However long an iteration takes,
     * input that arrives during it is read in the next one.
     */
    final boolean isOverdue() {
        return stageSince + STAGE_GRACE < loop.now() && stageSelection + 1 < loop.selections();
    }

    /** When the awaited input becomes overdue, on the loop's clock. */
    final long overdueAt() {
        return stageSince + STAGE_GRACE + 1;
    }

    /** Whether no input has been received from the client. */
    final boolean hasSentNothing() {
        return !isStarted() && !isWriting() && !ending && bufferedBytes() == 0;
    }

    /** Whether no RPC is open, nothing is being written and no partial request is buffered. */
    final boolean isIdle() {
        return isStarted() && !hasOpenRpc() && !isWriting() && !ending && bufferedBytes() == 0;
    }

    protected final void close() {
        connections.recordShutdownEvent(ShutdownEvent.CLOSED, this);
        flushResponses();
        ending = true;
        discardInput();
        session.closeOnFlush();
        updateStage();
    }

    protected final void closeNow() {
        ending = true;
        responses.clear();
        discardInput();
        session.closeNow();
    }

    /** Writes a response; while input is being processed, it is written together with those to the other messages. */
    protected final void write(ByteBuffer... parts) {
        if (disconnected) {
            return;
        }
        responses.addAll(Arrays.asList(parts));
        if (isProcessing) {
            quota.addResponse(GatheringBuffer.backingBytes(parts));
        } else {
            flushResponses();
        }
    }

    private void flushResponses() {
        if (responses.isEmpty() || disconnected) {
            return;
        }
        ByteBuffer[] parts = responses.toArray(new ByteBuffer[0]);
        responses.clear();
        pendingWrites++;
        unreadBytes += GatheringBuffer.backingBytes(parts);
        session.write(new GatheringBuffer(parts));
        updateStage();
    }

    protected final void writeAndClose(ByteBuffer response) {
        write(response);
        close();
    }
}
