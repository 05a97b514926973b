package honeygap.net.links;

import honeygap.fleet.Appliance;
import honeygap.fleet.Pick;
import honeygap.net.Call;
import honeygap.net.Loop;
import honeygap.net.Peer;
import honeygap.read.Malformed;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.IoSession;

/**
 * A connection to an appliance, with at most one pick on it. A pick whose last byte has been handed over may
 * have run, whatever comes after; one that has not never ran. What is said on it is the protocol's.
 */
public abstract class Link implements Peer {

    /** A second answer may come some milliseconds after the first: so long nothing is sent behind an answer, in tenths of one. */
    private static final long LATE_COPY = 200;

    protected final Links all;
    protected final Remote remote;
    protected IoSession session;
    /** The connection is up and its start is over. */
    protected boolean ready;
    protected boolean over;
    protected Call call;
    protected int index;
    /** When the pick on it times out. */
    protected long upTo;
    protected boolean handedOver;
    protected boolean probing;
    private ConnectFuture connecting;
    /** Whom it was opened to: the process that stood there then. */
    private InetSocketAddress address;
    private long startedAt;
    private long connectedAt;
    private Loop.Timer timer;
    private long restsSince;

    protected Link(Links all, Remote remote) {
        this.all = all;
        this.remote = remote;
    }

    /** The connection is up: what it begins with, or {@link #idle} where it begins with nothing. */
    protected abstract void begin();

    /** Writes the pick that it has taken on. */
    protected abstract void send();

    protected abstract void sendProbe();

    /** What has come in, as far as the connection is not over. */
    protected abstract void read(ByteBuffer bytes) throws Malformed;

    /** Bytes are kept that are no whole message yet. */
    protected abstract boolean isHalfRead();

    /** It rests from now on. */
    protected void rested() {
    }

    final Remote remote() {
        return remote;
    }

    /** Opens the connection where that has not been done. */
    final void connect(long within) {
        if (connecting == null) {
            due(all.loop.now() + within, this::late);
            address = remote.address;
            startedAt = remote.startedAt;
            connectedAt = all.loop.now();
            connecting = all.loop.connect(address, this);
        }
    }

    /** Whether it leads to the process that the list names now, and takes on RPCs. */
    final boolean isCurrent() {
        return remote.state == Appliance.UP && remote.startedAt == startedAt && address.equals(remote.address);
    }

    /** Takes a probe on instead of a pick. */
    final void probe() {
        probing = true;
        if (ready) {
            dueProbe();
        }
    }

    private void dueProbe() {
        due(all.loop.now() + all.connectWithin, this::late);
        sendProbe();
    }

    /** Takes a pick on, to be sent as soon as the connection is ready. */
    final void carry(Call call, int index, long within) {
        // One pick at a time, never on a connection that is over, nor for an RPC that has its answer.
        Loop.holds(!over && this.call == null && !probing && !call.isAnswered());
        this.call = call;
        this.index = index;
        upTo = all.loop.now() + within;
        handedOver = false;
        if (!ready) {
            return;
        }
        if (isUnclear() && !hasRested()) {
            due(Math.min(upTo, restsUpTo()), this::sendRested);
        } else {
            dueSend();
        }
    }

    /**
     * Whether an answer does not say what it answers. Guards against a second answer some milliseconds late: it would
     * be taken for that of a pick sent right behind the first. Such a pick waits for the rest of the pause.
     */
    protected boolean isUnclear() {
        return false;
    }

    private void sendRested() {
        if (all.loop.now() >= upTo) {
            late();
        } else if (call.closed || !isCurrent()) {
            settle(Pick.MOOT);
            idle();
        } else if (!isQuiet()) {
            end(Pick.MOOT);
        } else {
            dueSend();
        }
    }

    private void dueSend() {
        due(upTo, this::late);
        send();
    }

    @Override
    public final void opened(IoSession session) {
        this.session = session;
        if (over) {
            session.closeNow();
        } else {
            begin();
        }
    }

    @Override
    public final void unreachable() {
        end(Pick.CONNECT_FAILED);
    }

    @Override
    public final void notDialled() {
        end(Pick.MOOT);
    }

    @Override
    public final void written() {
        handedOver |= ready && call != null;
    }

    @Override
    public void closed() {
        end(handedOver ? Pick.RESET : Pick.CONNECT_FAILED);
    }

    private void late() {
        end(handedOver ? Pick.TIMEOUT : Pick.CONNECT_FAILED);
    }

    /** Stops waiting for the pick on it; one that was not handed over never ran. */
    final void cancel(Call call, int index) {
        if (this.call == call && this.index == index) {
            end(handedOver ? Pick.CANCELLED : Pick.MOOT);
        }
    }

    @Override
    public final void received(ByteBuffer bytes) {
        if (over) {
            return;
        }
        try {
            read(bytes);
        } catch (Malformed e) {
            unreadable(e);
            end(handedOver ? Pick.RESET : Pick.CONNECT_FAILED);
        }
    }

    /** An answer on it can't be read. */
    protected final void unreadable(Malformed why) {
        all.unreadable(call, index, remote, why.getMessage());
    }

    /**
     * Whether it still rests, with nothing come that nobody asked for, read or not. Guards against a second
     * copy or noise behind an answer, which would be taken for the answer of the next pick.
     */
    final boolean isQuiet() {
        return !isHalfRead() && all.loop.isQuiet(session);
    }

    final boolean hasRested() {
        return all.loop.now() >= restsUpTo();
    }

    private long restsUpTo() {
        return restsSince + Math.max(2 * all.tick, LATE_COPY);
    }

    /** Ready for a pick: the first, or the next. */
    protected final void idle() {
        if (call != null && ready) {
            // Ready again without an answer to what was asked.
            end(handedOver ? Pick.ERROR : Pick.CONNECT_FAILED);
            return;
        }
        probing &= !ready;
        ready = true;
        if (call != null && (call.closed || !isCurrent())) {
            // Guards against sending for an RPC that was answered, or left, while the connection came up; and to an
            // appliance that began to drain meanwhile, or left its address to another.
            settle(Pick.MOOT);
        }
        if (call != null) {
            dueSend();
        } else if (probing) {
            dueProbe();
        } else {
            due(all.loop.now() + all.idleFor, () -> end(Pick.CANCELLED));
            rested();
            // By the clock: a turn may have begun long before what was read in it.
            restsSince = all.loop.clock();
            all.rest(this);
        }
    }

    /** The pick on it has ended; what follows must come soon, or the connection is of no use. */
    protected final Call finish(int outcome) {
        due(all.loop.now() + all.connectWithin, () -> end(Pick.CANCELLED));
        return settle(outcome);
    }

    private Call settle(int outcome) {
        Call done = call;
        call = null;
        handedOver = false;
        done.picks.get(index).connectedAt = connectedAt;
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
    protected final void end(int outcome) {
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
