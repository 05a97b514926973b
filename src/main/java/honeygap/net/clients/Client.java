package honeygap.net.clients;

import honeygap.net.Gathered;
import honeygap.net.Peer;
import honeygap.net.pg.Frames;
import honeygap.net.pg.Statement;
import honeygap.net.pg.Words;
import honeygap.read.Malformed;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import org.apache.mina.core.session.IoSession;

/** A client's connection: its RPCs one after another, each answered whole before the next is read. */
final class Client implements Peer {

    /** A value of 64 KiB as hexadecimal digits, and the statement round it. */
    private static final int LONGEST = 2 * 65536 + 4096;
    private static final int LONGEST_STARTUP = 10_000;

    private final Clients all;
    private final Frames frames = new Frames(LONGEST);
    private IoSession session;
    private boolean started;
    /** An answer of the agent's own, or of an RPC, is not yet handed over. */
    private boolean writing;
    private boolean ending;
    private boolean gone;
    private Call call;

    Client(Clients all) {
        this.all = all;
    }

    @Override
    public void opened(IoSession session) {
        this.session = session;
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
        all.went(this);
        if (call != null) {
            Call left = call;
            drop();
            all.left(left);
        }
    }

    /** Nothing taken is open here, and nothing half read. */
    boolean isIdle() {
        return started && call == null && !writing && !ending && frames.waiting() == 0;
    }

    void close() {
        ending = true;
        session.closeOnFlush();
    }

    private void advance() {
        try {
            while (call == null && !writing && !ending && (started ? frames.next() : frames.nextUntyped())) {
                if (started) {
                    message();
                } else {
                    startup(frames.body());
                }
            }
        } catch (Malformed e) {
            turnDown(e.getMessage());
        }
        all.idle(this, isIdle());
    }

    private void startup(ByteBuffer body) throws Malformed {
        if (body.remaining() < 4 || body.remaining() > LONGEST_STARTUP) {
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
        if (!body.hasRemaining() || body.get(body.limit() - 1) != 0) {
            throw new Malformed("a query without an end");
        }
        Statement statement = all.statement;
        if (statement.read(body)) {
            call = all.taken(this, statement);
            if (call != null) {
                all.tell(call);
            } else {
                write(Words.error(Words.SYNTAX, "unknown method", 0));
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
            write(Words.error(Words.SYNTAX, "not a statement that is taken here", 0));
        }
    }

    void answer(ByteBuffer... row) {
        ByteBuffer[] parts = Arrays.copyOf(row, row.length + 1);
        parts[row.length] = Words.ready();
        finish(parts);
    }

    void pushBack(long stayAwayMs) {
        finish(Words.error(Words.TOO_MANY, "pushed back, trying again is harmless", stayAwayMs));
    }

    void abort() {
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
        call.client = null;
        call = null;
        all.closed();
    }

    private void write(ByteBuffer... parts) {
        if (!gone) {
            writing = true;
            session.write(new Gathered(parts));
        }
    }

    private void turnDown(String why) {
        all.malformed();
        end(Words.fatal(Words.PROTOCOL, why));
    }

    private void end(ByteBuffer last) {
        write(last);
        close();
    }
}
