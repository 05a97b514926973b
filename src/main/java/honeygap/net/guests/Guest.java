package honeygap.net.guests;

import honeygap.net.Gathered;
import honeygap.net.Loop;
import honeygap.net.Peer;
import honeygap.net.shutdown.ShutdownEvent;
import java.nio.ByteBuffer;
import java.util.Locale;
import org.apache.mina.core.session.IoSession;

/**
 * A client's connection, whatever it speaks: its stages and their timer, its place among the others, what is
 * written to it. RPCs come one after another, each answered whole before the next is read.
 */
public abstract class Guest implements Peer {

    /** A client that can't be served is owed a word or a close by then after it came, or was answered. */
    private static final long STAGE_TIMEOUT = 30_000;
    /** The same where it has asked before, or has much to send. */
    private static final long PARTIAL_REQUEST_TIMEOUT = 2 * STAGE_TIMEOUT;
    private static final long STAGE_GRACE = STAGE_TIMEOUT / 20;
    /** A connection that has just come is owed so long for its first RPC; its client may be held up as well. */
    private static final long FIRST_RPC_TIMEOUT = STAGE_TIMEOUT / 6;

    /** What a connection waits for. */
    private enum Stage { NEW, START, REST, HALF, ANSWER, UNREAD }

    private final Guests connections;
    private final Loop loop;
    private IoSession session;
    /** An answer of the agent's own, or of an RPC, is not yet handed over. */
    private boolean writing;
    private boolean ending;
    private boolean disconnected;
    private Stage stage = Stage.NEW;
    private long openedAt;
    private long earliestAcceptedAt;
    private long stageSince;
    /** Kept by the one that closes clients idle for long. */
    long idleSince;
    private boolean hasReceivedRequest;
    /** Ends a stage that lasts for too long. */
    private Loop.Timer stageTimer;

    protected Guest(Guests connections) {
        this.connections = connections;
        loop = connections.loop;
    }

    /** Whether it has said what a connection begins with. */
    protected abstract boolean isStarted();

    /** Whether an RPC of it is open. */
    protected abstract boolean isAsking();

    /** How many bytes are kept that wait to be read, or are half of a message. */
    protected abstract int waiting();

    /** Keeps what came in. */
    protected abstract void keep(ByteBuffer bytes);

    /** Reads what it can, as long as {@link #canRead}. */
    protected abstract void read();

    /** Nobody waits for the open RPC any more. */
    protected abstract void leave();

    /** The last word to a client of which nothing whole has come in time. */
    protected abstract ByteBuffer tooLongWord();

    /** The last word to a client that must make room. */
    protected abstract ByteBuffer tooManyWord();

    /** The last word to a client whose request has not come whole when the agent ends. */
    protected abstract ByteBuffer shutdownWord();

    /** Answers the open RPC as failed: whoever should have answered has not. */
    protected abstract void giveUp();

    /** How many bytes may wait behind an open RPC. */
    protected abstract int longest();

    protected final boolean canRead() {
        return !isAsking() && !writing && !ending;
    }

    protected final boolean isEnding() {
        return ending;
    }

    /** From now on it has longer for the rest of a message. */
    protected final void hasAsked() {
        hasReceivedRequest = true;
    }

    @Override
    public final void opened(IoSession session) {
        this.session = session;
        // It came at some time since the last turn began, which may be long ago where little came or the process stood still:
        // what it is owed in time counts from then, what it is given time for from now.
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
        keep(bytes);
        advance();
        // Behind an open RPC no more is kept than one message; what is half read is never that long.
        if (waiting() > longest() && !ending) {
            session.suspendRead();
        }
    }

    @Override
    public final void written() {
        if (writing) {
            writing = false;
            if (session.isReadSuspended()) {
                session.resumeRead();
            }
            advance();
        }
    }

    @Override
    public final void closed() {
        disconnected = true;
        updateStage();
        connections.remove(this);
        connections.connectionClosed();
        leave();
    }

    protected final void advance() {
        read();
        updateStage();
        connections.updateIdle(this, isIdle());
    }

    /**
     * One timer for whatever is waited for from this client: its start, the rest of a message, the reading of
     * an answer. Guards against connections that say nothing, or half of something, and keep a place.
     */
    private void updateStage() {
        Stage next = disconnected ? Stage.REST : writing || ending ? Stage.UNREAD : !isStarted() ? Stage.START
                : isAsking() ? Stage.ANSWER : waiting() > 0 ? Stage.HALF : Stage.REST;
        if (next == stage) {
            return;
        }
        stage = next;
        stageSince = loop.clock();
        if (stageTimer != null) {
            stageTimer.callOff();
            stageTimer = null;
        }
        if (next != Stage.REST && next != Stage.ANSWER) {
            // An agent that stood still itself first reads what has come meanwhile.
            long start = next == Stage.UNREAD || hasReceivedRequest ? loop.clock() : earliestAcceptedAt;
            stageTimer = loop.at(start + (next == Stage.HALF && hasReceivedRequest ? PARTIAL_REQUEST_TIMEOUT : STAGE_TIMEOUT - 2 * STAGE_GRACE),
                    () -> stageTimer = loop.at(loop.now() + STAGE_GRACE, this::stageTimedOut));
        }
        connections.updateAwaitingInput(this, next == Stage.START || next == Stage.HALF);
    }

    private void stageTimedOut() {
        connections.countTimedOut();
        terminate(tooLongWord());
    }

    final boolean hasReceivedRequest() {
        return hasReceivedRequest;
    }

    /** It has asked, or has had time to: one that has just come sends its first RPC yet. */
    final boolean hadTimeForFirstRpc() {
        return hasReceivedRequest || loop.now() >= firstRpcDeadline();
    }

    /** What it waits for, in small letters. */
    final String stageName() {
        return stage.name().toLowerCase(Locale.ROOT);
    }

    /** For how long its connection has been here. */
    public final long age() {
        return loop.clock() - openedAt;
    }

    /** When at the latest it has had its turn. */
    final long firstRpcDeadline() {
        return openedAt + FIRST_RPC_TIMEOUT;
    }

    /**
     * Closes between RPCs, unless the next one has come: then that is read first. What comes later is left unread, so
     * that the client knows it was not taken. Guards against an RPC that comes as the agent closes: read and dropped,
     * it would be lost. Whether it was closed.
     */
    final boolean closeIdle() {
        ByteBuffer next = loop.unread(session);
        if (next.hasRemaining()) {
            received(next);
            return false;
        }
        session.suspendRead();
        close();
        return true;
    }

    /** The agent ends: whatever is open or half read gets its last word now. */
    final void endForShutdown() {
        if (isAsking()) {
            giveUp();
        } else if (!writing && !ending) {
            end(shutdownWord());
        }
    }

    /** Closes at once, with a last word where none is on its way. */
    final void terminate(ByteBuffer response) {
        if (stage == Stage.UNREAD) {
            session.closeNow();
        } else {
            end(response);
        }
    }

    /** What is waited for could have been read by now. */
    final boolean isOverdue() {
        return stageSince + STAGE_GRACE < loop.now();
    }

    /** Nothing has come from it yet that is kept. */
    final boolean hasSentNothing() {
        return !isStarted() && !writing && !ending && waiting() == 0;
    }

    /** Nothing taken is open here, and nothing half read. */
    final boolean isIdle() {
        return isStarted() && !isAsking() && !writing && !ending && waiting() == 0;
    }

    protected final void close() {
        connections.recordShutdownEvent(ShutdownEvent.CLOSED, this);
        ending = true;
        session.closeOnFlush();
        updateStage();
    }

    protected final void closeNow() {
        ending = true;
        session.closeNow();
    }

    protected final void write(ByteBuffer... parts) {
        if (!disconnected) {
            writing = true;
            session.write(new Gathered(parts));
        }
    }

    protected final void end(ByteBuffer response) {
        write(response);
        close();
    }
}
