package honeygap.net.clients;

import honeygap.net.guests.Guest;
import honeygap.net.pg.Frames;
import honeygap.net.pg.Query;
import honeygap.net.pg.Statement;
import honeygap.net.pg.Words;
import honeygap.net.shutdown.ShutdownEvent;
import honeygap.read.Malformed;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;

/** A client that speaks PostgreSQL's wire protocol. */
final class Client extends Guest implements Query.Asker {

    /** A value of 64 KiB as hexadecimal digits, and the statement round it. */
    private static final int LONGEST = 2 * 65536 + 4096;
    private static final int LONGEST_STARTUP = 10_000;
    /** Whole messages that may wait behind an open RPC: clients ask one by one and open more when busy. */
    private static final int MOST_WAITING = 64;

    private final Clients all;
    private final Frames frames = new Frames(LONGEST);
    private boolean started;
    private Query call;

    Client(Clients all) {
        super(all.guests);
        this.all = all;
    }

    @Override
    protected boolean isStarted() {
        return started;
    }

    @Override
    protected boolean isAsking() {
        return call != null;
    }

    @Override
    protected int waiting() {
        return frames.waiting();
    }

    @Override
    protected int longest() {
        return LONGEST;
    }

    @Override
    protected ByteBuffer tooLongWord() {
        return Words.fatal(Words.PROTOCOL, "nothing whole has come in time");
    }

    @Override
    protected ByteBuffer tooManyWord() {
        return Words.fatal(Words.TOO_MANY, "too many connections");
    }

    @Override
    protected ByteBuffer shutdownWord() {
        return Words.fatal(Words.SHUTTING_DOWN, "this agent is shutting down, trying again is harmless");
    }

    @Override
    protected void giveUp() {
        all.rescue(call);
    }

    @Override
    protected void keep(ByteBuffer bytes) {
        frames.feed(bytes);
    }

    @Override
    protected void leave() {
        if (call != null) {
            Query left = call;
            all.shutdown(ShutdownEvent.ABANDONED, left, this);
            drop();
            all.left(left);
        }
    }

    @Override
    protected void read() {
        try {
            while (canRead() && (started ? frames.next() : frames.nextUntyped(LONGEST_STARTUP))) {
                if (started) {
                    message();
                } else {
                    startup(frames.body());
                }
            }
        } catch (Malformed e) {
            turnDown(e.getMessage());
        }
        if (!isEnding() && started && frames.waitsMoreThan(MOST_WAITING)) {
            turnDown("too many commands at once");
        }
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
                if (all.guests.isFull()) {
                    end(tooManyWord());
                } else {
                    write(Words.welcome());
                }
                break;
            case Words.CANCEL:
                closeNow();
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
                closeNow();
                break;
            default:
                throw new Malformed("only simple queries are taken");
        }
    }

    private void query(ByteBuffer body) throws Malformed {
        hasAsked();
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
        all.shutdown(ShutdownEvent.SERVED, call, this);
        ByteBuffer[] parts = Arrays.copyOf(row, row.length + 1);
        parts[row.length] = Words.ready();
        finish(parts);
    }

    @Override
    public void pushBack(long stayAwayMs) {
        all.shutdown(ShutdownEvent.REFUSED, call, this);
        all.givenUp(call);
        all.pushedBack();
        finish(Words.error(Words.TOO_MANY, "pushed back, trying again is harmless", stayAwayMs));
    }

    @Override
    public void abort() {
        all.shutdown(ShutdownEvent.FAILED, call, this);
        all.givenUp(call);
        finish(Words.error(Words.GIVEN_UP, "aborted", 0));
    }

    private void finish(ByteBuffer... parts) {
        drop();
        write(parts);
    }

    /** Parts from the RPC: it is answered, or nobody waits any more. */
    private void drop() {
        call.guard.callOff();
        call.forget();
        all.closed(call);
        call = null;
    }

    /** What follows can't be read: the last word is also the answer to an RPC that is open here. */
    private void turnDown(String why) {
        all.malformed();
        leave();
        end(Words.fatal(Words.PROTOCOL, why));
    }
}
