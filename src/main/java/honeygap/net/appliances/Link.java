package honeygap.net.appliances;

import honeygap.fleet.Pick;
import honeygap.net.Gathered;
import honeygap.net.Loop;
import honeygap.net.Peer;
import honeygap.net.clients.Call;
import honeygap.net.pg.Frames;
import honeygap.net.pg.Shapes;
import honeygap.net.pg.Words;
import honeygap.read.Malformed;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.IoSession;

/**
 * A connection to an appliance, with at most one pick on it. A pick whose last byte has been handed over may
 * have run, whatever comes after; one that has not never ran.
 */
final class Link implements Peer {

    private static final int LONGEST = 65536 + 4096;

    /** The types of messages that may come: as it starts, for a pick or probe, behind its answer, at rest. */
    private static final String STARTING = "RSKNEZ";
    private static final String ASKED = "TDCEISNZ";
    private static final String ANSWERED = "SNZ";
    private static final String RESTING = "SNA";

    private final Links all;
    private final Remote remote;
    private String expected = STARTING;
    private final Frames frames = new Frames(LONGEST);
    private ConnectFuture connecting;
    private IoSession session;
    private Loop.Timer timer;
    private boolean ready;
    private boolean over;

    private Call call;
    private int index;
    private long upTo;
    private boolean handedOver;
    private boolean probing;
    /** Slices of the answer as it comes: description, row, completion. */
    private final List<ByteBuffer> answer = new ArrayList<>(3);
    private boolean rowSeen;
    private long restsSince;

    Link(Links all, Remote remote) {
        this.all = all;
        this.remote = remote;
    }

    Remote remote() {
        return remote;
    }

    /** Opens the connection where that has not been done. */
    void connect(long within) {
        if (connecting == null) {
            due(all.loop.now() + within, this::late);
            connecting = all.loop.connect(remote.address, this);
        }
    }

    /** Takes a probe on instead of a pick. */
    void probe() {
        probing = true;
        if (ready) {
            sendProbe();
        }
    }

    private void sendProbe() {
        due(all.loop.now() + all.connectWithin, this::late);
        expected = ASKED;
        session.write(new Gathered(Words.query("SELECT 1")));
    }

    /** Takes a pick on, to be sent as soon as the connection is ready. */
    void carry(Call call, int index, long within) {
        // One pick at a time, never on a connection that is over, nor for an RPC that has its answer.
        Loop.holds(!over && this.call == null && !probing && !call.isAnswered());
        this.call = call;
        this.index = index;
        upTo = all.loop.now() + within;
        handedOver = false;
        if (ready) {
            send();
        }
    }

    private void send() {
        due(upTo, this::late);
        answer.clear();
        rowSeen = false;
        expected = ASKED;
        long left = Math.max(1, (upTo - all.loop.clock()) / 10);
        session.write(new Gathered(Words.query(call.before(), left, call.after())));
    }

    @Override
    public void opened(IoSession session) {
        this.session = session;
        if (over) {
            session.closeNow();
        } else {
            session.write(new Gathered(Words.startup()));
        }
    }

    @Override
    public void unreachable() {
        end(Pick.CONNECT_FAILED);
    }

    @Override
    public void written() {
        handedOver |= ready && call != null;
    }

    @Override
    public void closed() {
        end(handedOver ? Pick.RESET : Pick.CONNECT_FAILED);
    }

    private void late() {
        end(handedOver ? Pick.TIMEOUT : Pick.CONNECT_FAILED);
    }

    /** Stops waiting for the pick on it. */
    void cancel(Call call, int index) {
        if (this.call == call && this.index == index) {
            end(Pick.CANCELLED);
        }
    }

    @Override
    public void received(ByteBuffer bytes) {
        if (over) {
            return;
        }
        frames.feed(bytes);
        try {
            while (!over && frames.next()) {
                message();
            }
        } catch (Malformed e) {
            all.unreadable();
            end(handedOver ? Pick.RESET : Pick.CONNECT_FAILED);
        }
    }

    /**
     * Whether it still rests, with nothing come that nobody asked for, read or not. Guards against a second
     * copy or noise behind an answer, which would be taken for the answer of the next pick.
     */
    boolean isQuiet() {
        return frames.waiting() == 0 && all.loop.isQuiet(session);
    }

    boolean hasRested() {
        return all.loop.now() >= restsSince + 2 * all.tick;
    }

    private void message() throws Malformed {
        if (expected.indexOf(frames.type()) < 0) {
            throw new Malformed("a message that nobody waits for");
        }
        Shapes.check(frames.type(), frames.body());
        switch (frames.type()) {
            case 'T':
                answer.add(frames.whole());
                break;
            case 'D':
                rowSeen = true;
                answer.add(frames.whole());
                break;
            case 'C':
                answer.add(frames.whole());
                if (!probing) {
                    answered();
                }
                break;
            case 'E':
                if (!probing || !ready) {
                    refused(Words.field(frames.body(), 'C'));
                }
                break;
            case 'Z':
                idle();
                break;
            default:
                break;
        }
        if (answer.size() > 3) {
            throw new Malformed("more than one row");
        }
    }

    private void answered() throws Malformed {
        if (call == null || !handedOver || !rowSeen || answer.size() != 3) {
            throw new Malformed("no whole row");
        }
        Call done = finish(Pick.OK);
        done.answer(answer.toArray(new ByteBuffer[0]));
        answer.clear();
    }

    private void refused(String code) {
        int outcome = code.equals(Words.TOO_MANY) ? Pick.FULL
                : handedOver ? Pick.ERROR : Pick.CONNECT_FAILED;
        if (call == null || !ready) {
            end(outcome);
        } else {
            finish(outcome);
        }
    }

    /** Ready for a pick: the first, or the next. */
    private void idle() {
        if (call != null && ready) {
            // Ready again without an answer to what was asked.
            end(handedOver ? Pick.ERROR : Pick.CONNECT_FAILED);
            return;
        }
        probing &= !ready;
        ready = true;
        answer.clear();
        if (call != null && call.closed) {
            // Guards against sending for an RPC that was answered, or left, while the connection came up.
            settle(Pick.MOOT);
        }
        if (call != null) {
            send();
        } else if (probing) {
            sendProbe();
        } else {
            due(all.loop.now() + all.idleFor, () -> end(Pick.CANCELLED));
            expected = RESTING;
            restsSince = all.loop.now();
            all.rest(this);
        }
    }

    private Call finish(int outcome) {
        // What follows the answer must come soon, or the connection is of no use.
        due(all.loop.now() + all.connectWithin, () -> end(Pick.CANCELLED));
        expected = ANSWERED;
        return settle(outcome);
    }

    /** The pick on it has ended. */
    private Call settle(int outcome) {
        Call done = call;
        call = null;
        handedOver = false;
        all.ended(done, index, outcome);
        return done;
    }

    /** What becomes of it by then unless something else comes first. */
    private void due(long at, Runnable then) {
        if (timer != null) {
            timer.callOff();
        }
        timer = all.loop.at(at, then);
    }

    /** Closes the connection at once; a pick still on it ends so. */
    void end(int outcome) {
        if (over) {
            return;
        }
        over = true;
        timer.callOff();
        if (session != null) {
            all.loop.cut(session);
        } else if (connecting != null) {
            connecting.cancel();
        }
        all.gone(this);
        if (call != null) {
            settle(outcome);
        }
    }
}
