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
public abstract class UpstreamConnection implements Peer {

    /** A second answer may come some milliseconds after the first: so long nothing is sent behind an answer, in tenths of one. */
    private static final long LATE_DUPLICATE = 200;

    protected final ConnectionPool pool;
    protected final Remote appliance;
    protected IoSession session;
    /** The connection is up and its start is over. */
    protected boolean isReady;
    protected boolean isClosed;
    protected Call call;
    protected int pickIndex;
    /** When the pick on it times out. */
    protected long timeoutAt;
    protected boolean isFullyWritten;
    protected boolean isProbing;
    private ConnectFuture connectFuture;
    /** Whom it was opened to: the process that stood there then. */
    private InetSocketAddress address;
    private long processStartedAt;
    private long connectStartedAt;
    private Loop.Timer timer;
    private long idleSince;

    protected UpstreamConnection(ConnectionPool pool, Remote appliance) {
        this.pool = pool;
        this.appliance = appliance;
    }

    /** The connection is up: what it begins with, or {@link #becomeIdle} where it begins with nothing. */
    protected abstract void startProtocol();

    /** Writes the pick that it has taken on. */
    protected abstract void sendRequest();

    protected abstract void sendProbe();

    /** What has come in, as far as the connection is not over. */
    protected abstract void handleInput(ByteBuffer bytes) throws Malformed;

    /** Bytes are kept that are no whole message yet. */
    protected abstract boolean hasPartialMessage();

    /** It rests from now on. */
    protected void onIdle() {
    }

    final Remote appliance() {
        return appliance;
    }

    /** Opens the connection where that has not been done. */
    final void connect(long timeout) {
        if (connectFuture == null) {
            setTimeout(pool.loop.now() + timeout, this::onTimeout);
            address = appliance.address;
            processStartedAt = appliance.startedAt;
            connectStartedAt = pool.loop.now();
            connectFuture = pool.loop.connect(address, this);
        }
    }

    /** Whether it leads to the process that the list names now, and takes on RPCs. */
    final boolean isCurrent() {
        return appliance.state == Appliance.UP && appliance.startedAt == processStartedAt && address.equals(appliance.address);
    }

    /** Takes a probe on instead of a pick. */
    final void probe() {
        isProbing = true;
        if (isReady) {
            sendProbeWithTimeout();
        }
    }

    private void sendProbeWithTimeout() {
        setTimeout(pool.loop.now() + pool.connectTimeout, this::onTimeout);
        sendProbe();
    }

    /** Takes a pick on, to be sent as soon as the connection is ready. */
    final void execute(Call call, int pickIndex, long timeout) {
        // One pick at a time, never on a connection that is over, nor for an RPC that has its answer.
        Loop.holds(!isClosed && this.call == null && !isProbing && !call.isAnswered());
        this.call = call;
        this.pickIndex = pickIndex;
        timeoutAt = pool.loop.now() + timeout;
        isFullyWritten = false;
        if (!isReady) {
            return;
        }
        if (lacksAnswerIds() && !isPauseOver()) {
            setTimeout(Math.min(timeoutAt, pauseEndsAt()), this::sendAfterPause);
        } else {
            sendWithTimeout();
        }
    }

    /**
     * Whether an answer does not say what it answers. Guards against a second answer some milliseconds late: it would
     * be taken for that of a pick sent right behind the first. Such a pick waits for the rest of the pause.
     */
    protected boolean lacksAnswerIds() {
        return false;
    }

    private void sendAfterPause() {
        if (pool.loop.now() >= timeoutAt) {
            onTimeout();
        } else if (call.closed || !isCurrent()) {
            detachCall(Pick.MOOT);
            becomeIdle();
        } else if (!hasNoPendingInput()) {
            close(Pick.MOOT);
        } else {
            sendWithTimeout();
        }
    }

    private void sendWithTimeout() {
        setTimeout(timeoutAt, this::onTimeout);
        sendRequest();
    }

    @Override
    public final void opened(IoSession session) {
        this.session = session;
        if (isClosed) {
            session.closeNow();
        } else {
            startProtocol();
        }
    }

    @Override
    public final void unreachable() {
        close(Pick.CONNECT_FAILED);
    }

    @Override
    public final void connectFailedLocally() {
        close(Pick.MOOT);
    }

    @Override
    public final void written() {
        isFullyWritten |= isReady && call != null;
    }

    @Override
    public void closed() {
        close(isFullyWritten ? Pick.RESET : Pick.CONNECT_FAILED);
    }

    private void onTimeout() {
        close(isFullyWritten ? Pick.TIMEOUT : Pick.CONNECT_FAILED);
    }

    /** Stops waiting for the pick on it; one that was not handed over never ran. */
    final void cancel(Call call, int pickIndex) {
        if (this.call == call && this.pickIndex == pickIndex) {
            close(isFullyWritten ? Pick.CANCELLED : Pick.MOOT);
        }
    }

    @Override
    public final void received(ByteBuffer bytes) {
        if (isClosed) {
            return;
        }
        try {
            handleInput(bytes);
        } catch (Malformed e) {
            reportMalformed(e);
            close(isFullyWritten ? Pick.RESET : Pick.CONNECT_FAILED);
        }
    }

    /** An answer on it can't be read. */
    protected final void reportMalformed(Malformed cause) {
        pool.reportMalformed(call, pickIndex, appliance, cause.getMessage());
    }

    /**
     * Whether it still rests, with nothing come that nobody asked for, read or not. Guards against a second
     * copy or noise behind an answer, which would be taken for the answer of the next pick.
     */
    final boolean hasNoPendingInput() {
        return !hasPartialMessage() && pool.loop.hasNoPendingInput(session);
    }

    final boolean isPauseOver() {
        return pool.loop.now() >= pauseEndsAt();
    }

    private long pauseEndsAt() {
        return idleSince + Math.max(2 * pool.tick, LATE_DUPLICATE);
    }

    /** Ready for a pick: the first, or the next. */
    protected final void becomeIdle() {
        if (call != null && isReady) {
            // Ready again without an answer to what was asked.
            close(isFullyWritten ? Pick.ERROR : Pick.CONNECT_FAILED);
            return;
        }
        isProbing &= !isReady;
        isReady = true;
        if (call != null && (call.closed || !isCurrent())) {
            // Guards against sending for an RPC that was answered, or left, while the connection came up; and to an
            // appliance that began to drain meanwhile, or left its address to another.
            detachCall(Pick.MOOT);
        }
        if (call != null) {
            sendWithTimeout();
        } else if (isProbing) {
            sendProbeWithTimeout();
        } else {
            setTimeout(pool.loop.now() + pool.idleTimeout, () -> close(Pick.CANCELLED));
            onIdle();
            // By the clock: a turn may have begun long before what was read in it.
            idleSince = pool.loop.clock();
            pool.release(this);
        }
    }

    /** The pick on it has ended; what follows must come soon, or the connection is of no use. */
    protected final Call finishPick(int outcome) {
        setTimeout(pool.loop.now() + pool.connectTimeout, () -> close(Pick.CANCELLED));
        return detachCall(outcome);
    }

    private Call detachCall(int outcome) {
        Call done = call;
        call = null;
        isFullyWritten = false;
        done.picks.get(pickIndex).connectedAt = connectStartedAt;
        pool.reportEnded(done, pickIndex, outcome);
        return done;
    }

    /** What becomes of it by then unless something else comes first. */
    private void setTimeout(long time, Runnable action) {
        if (timer != null) {
            timer.callOff();
        }
        timer = pool.loop.at(time, action);
    }

    /** Closes the connection at once; a pick still on it ends so. */
    protected final void close(int outcome) {
        if (isClosed) {
            return;
        }
        isClosed = true;
        timer.callOff();
        if (session != null) {
            pool.loop.cut(session);
        } else if (connectFuture != null) {
            connectFuture.cancel();
        }
        pool.remove(this);
        if (call != null) {
            detachCall(outcome);
        }
    }
}
