package honeygap.net.clients;

import honeygap.net.Gathered;
import honeygap.net.Loop;
import honeygap.net.Peer;
import honeygap.net.pg.Frames;
import honeygap.net.pg.Query;
import honeygap.net.pg.Statement;
import honeygap.net.pg.Words;
import honeygap.read.Malformed;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import org.apache.mina.core.session.IoSession;

/** A client's connection: its RPCs one after another, each answered whole before the next is read. */
final class Client implements Peer, Query.Asker {

    /** A value of 64 KiB as hexadecimal digits, and the statement round it. */
    private static final int LONGEST = 2 * 65536 + 4096;
    private static final int LONGEST_STARTUP = 10_000;
    /** Whole messages that may wait behind an open RPC: clients ask one by one and open more when busy. */
    private static final int MOST_WAITING = 64;
    /** A client that can't be served is owed a word or a close by then after it came, or was answered. */
    private static final long OWED = 30_000;
    /** The same where it has asked before, or has much to send. */
    private static final long OWED_LATER = 2 * OWED;
    private static final long GRACE = OWED / 20;

    /** What a connection waits for. */
    private enum Stage { NEW, START, REST, HALF, ANSWER, UNREAD }

    private final Clients all;
    private final Frames frames = new Frames(LONGEST);
    private IoSession session;
    private boolean started;
    /** An answer of the agent's own, or of an RPC, is not yet handed over. */
    private boolean writing;
    private boolean ending;
    private boolean gone;
    private Query call;
    private Stage stage = Stage.NEW;
    private long cameAt;
    private long waitsSince;
    /** Kept by the one that closes clients idle for long. */
    long idleSince;
    private boolean hasAsked;
    /** Ends a stage that lasts for too long. */
    private Loop.Timer timer;

    Client(Clients all) {
        this.all = all;
    }

    @Override
    public void opened(IoSession session) {
        this.session = session;
        cameAt = all.loop.now();
        stage();
        all.came(this);
    }

    @Override
    public void unreachable() {
        gone = true;
    }

    @Override
    public void received(ByteBuffer bytes) {
        if (ending) {
            return;
        }
        frames.feed(bytes);
        advance();
        if (!ending && started && frames.waitsMoreThan(MOST_WAITING)) {
            turnDown("too many commands at once");
        }
        // Behind an open RPC no more is kept than one statement; what is half read is never that long.
        if (frames.waiting() > LONGEST && !ending) {
            session.suspendRead();
        }
    }

    @Override
    public void written() {
        if (writing) {
            writing = false;
            if (session.isReadSuspended()) {
                session.resumeRead();
            }
            advance();
        }
    }

    @Override
    public void closed() {
        gone = true;
        stage();
        all.went(this);
        leave();
    }

    /** Nobody waits for the open RPC any more. */
    private void leave() {
        if (call != null) {
            Query left = call;
            drop();
            all.left(left);
        }
    }

    /**
     * One timer for whatever is waited for from this client: its start, the rest of a message, the reading of
     * an answer. Guards against connections that say nothing, or half of something, and keep a place.
     */
    private void stage() {
        Stage next = gone ? Stage.REST : writing || ending ? Stage.UNREAD : !started ? Stage.START
                : call != null ? Stage.ANSWER : frames.waiting() > 0 ? Stage.HALF : Stage.REST;
        if (next == stage) {
            return;
        }
        stage = next;
        waitsSince = all.loop.now();
        if (timer != null) {
            timer.callOff();
            timer = null;
        }
        if (next != Stage.REST && next != Stage.ANSWER) {
            // An agent that stood still itself first reads what has come meanwhile.
            long from = next == Stage.UNREAD || hasAsked ? all.loop.now() : cameAt;
            timer = all.loop.at(from + (next == Stage.HALF && hasAsked ? OWED_LATER : OWED - 2 * GRACE),
                    () -> timer = all.loop.at(all.loop.now() + GRACE, this::tooLong));
        }
        all.waitsFor(this, next == Stage.START || next == Stage.HALF);
    }

    private void tooLong() {
        all.tooLong();
        drop(Words.fatal(Words.PROTOCOL, "nothing whole has come in time"));
    }

    /** Closes at once, with a last word where none is on its way. */
    void drop(ByteBuffer last) {
        if (stage == Stage.UNREAD) {
            session.closeNow();
        } else {
            end(last);
        }
    }

    /** What is waited for could have been read by now. */
    boolean isLate() {
        return waitsSince + GRACE < all.loop.now();
    }

    /** Nothing taken is open here, and nothing half read. */
    boolean isIdle() {
        return started && call == null && !writing && !ending && frames.waiting() == 0;
    }

    void close() {
        ending = true;
        session.closeOnFlush();
        stage();
    }

    private void advance() {
        try {
            while (call == null && !writing && !ending
                    && (started ? frames.next() : frames.nextUntyped(LONGEST_STARTUP))) {
                if (started) {
                    message();
                } else {
                    startup(frames.body());
                }
            }
        } catch (Malformed e) {
            turnDown(e.getMessage());
        }
        stage();
        all.idle(this, isIdle());
    }

    private void startup(ByteBuffer body) throws Malformed {
        if (body.remaining() < 4) {
            throw new Malformed("a startup of length " + body.remaining());
        }
        switch (body.getInt(0)) {
            case Words.TLS:
            case Words.GSS:
                write(Words.noTls());
                break;
            case Words.VERSION:
                started = true;
                if (all.isFull()) {
                    end(Words.fatal(Words.TOO_MANY, "too many connections"));
                } else {
                    write(Words.welcome());
                }
                break;
            case Words.CANCEL:
                ending = true;
                session.closeNow();
                break;
            default:
                throw new Malformed("an unknown protocol version");
        }
    }

    private void message() throws Malformed {
        switch (frames.type()) {
            case 'Q':
                query(frames.body());
                break;
            case 'X':
                ending = true;
                session.closeNow();
                break;
            default:
                throw new Malformed("only simple queries are taken");
        }
    }

    private void query(ByteBuffer body) throws Malformed {
        hasAsked = true;
        if (!body.hasRemaining() || body.get(body.limit() - 1) != 0) {
            throw new Malformed("a query without an end");
        }
        Statement statement = all.statement;
        if (statement.read(body)) {
            call = all.taken(this, statement);
            if (call != null) {
                all.tell(call);
            } else {
                write(Words.error(Words.SYNTAX, "unknown method, or an id that is open", 0));
            }
            return;
        }
        String words = body.remaining() > 64 ? "?"
                : StandardCharsets.UTF_8.decode(body.duplicate()).toString()
                .replace('\0', ' ').replace(';', ' ').strip().toUpperCase(Locale.ROOT);
        String first = words.split("\\s", 2)[0];
        if (words.isEmpty()) {
            write(Words.emptyQuery());
        } else if (first.equals("SET") || first.equals("RESET") || first.equals("DISCARD")) {
            write(Words.set());
        } else {
            all.unknown();
            write(Words.error(Words.SYNTAX, "not a statement that is taken here", 0));
        }
    }

    @Override
    public void answer(ByteBuffer... row) {
        ByteBuffer[] parts = Arrays.copyOf(row, row.length + 1);
        parts[row.length] = Words.ready();
        finish(parts);
    }

    @Override
    public void pushBack(long stayAwayMs) {
        all.pushedBack();
        finish(Words.error(Words.TOO_MANY, "pushed back, trying again is harmless", stayAwayMs));
    }

    @Override
    public void abort() {
        finish(Words.error(Words.GIVEN_UP, "aborted", 0));
    }

    private void finish(ByteBuffer... parts) {
        drop();
        write(parts);
        if (all.isLeaving()) {
            close();
        }
    }

    /** Parts from the RPC: it is answered, or nobody waits any more. */
    private void drop() {
        call.guard.callOff();
        call.forget();
        all.closed(call);
        call = null;
    }

    private void write(ByteBuffer... parts) {
        if (!gone) {
            writing = true;
            session.write(new Gathered(parts));
        }
    }

    /** What follows can't be read: the last word is also the answer to an RPC that is open here. */
    private void turnDown(String why) {
        all.malformed();
        leave();
        end(Words.fatal(Words.PROTOCOL, why));
    }

    private void end(ByteBuffer last) {
        write(last);
        close();
    }
}
