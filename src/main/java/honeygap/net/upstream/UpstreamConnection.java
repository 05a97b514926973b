package honeygap.net.upstream;

import honeygap.fleet.Appliance;
import honeygap.fleet.Pick;
import honeygap.net.Call;
import honeygap.net.Loop;
import honeygap.net.ConnectionHandler;
import honeygap.config.Malformed;
import honeygap.rules.memory.MemoryBudget;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.IoSession;

/**
 * A connection to an appliance that carries at most one pick at a time. Once the last byte of a pick has been written
 * to the system, the pick may have run, whatever happens later; before that it has certainly not run. Subclasses
 * implement the protocol.
 */
public abstract class UpstreamConnection implements ConnectionHandler {

    /**
     * The pause after an answer, in tenths of a millisecond: a duplicate of the answer may arrive some milliseconds
     * late. As answers do not identify their request, it would be taken for the answer to the next pick.
     */
    private static final long LATE_DUPLICATE = 200;

    protected final ConnectionPool pool;
    protected final RemoteAppliance appliance;
    protected IoSession session;
    /** The connection is established and the protocol's startup is complete. */
    protected boolean isReady;
    protected boolean isClosed;
    protected Call call;
    protected int pickIndex;
    /** When the current pick times out. */
    protected long timeoutAt;
    protected boolean isFullyWritten;
    protected boolean isProbing;
    /** It waits for a pick; kept by {@link IdleConnections}. */
    boolean isIdle;
    private ConnectFuture connectFuture;
    /** The address that was connected to, which the appliance's record may no longer have. */
    private InetSocketAddress address;
    private long processStartedAt;
    private long connectStartedAt;
    private Loop.Timer timer;
    private long idleSince;
    private final MemoryBudget.Account memory;

    protected UpstreamConnection(ConnectionPool pool, RemoteAppliance appliance) {
        this.pool = pool;
        this.appliance = appliance;
        memory = pool.loop.memory().open(this::releaseMemory);
    }

    /** The connection is established: begins the protocol's startup, or calls {@link #becomeIdle} if there is none. */
    protected abstract void startProtocol();

    /** Writes the request of the current pick. */
    protected abstract void sendRequest();

    protected abstract void sendProbe();

    /** Parses received bytes; stops when the connection is closed. */
    protected abstract void handleInput(ByteBuffer bytes) throws Malformed;

    /** Whether part of an incomplete message is buffered. */
    protected abstract boolean hasPartialMessage();

    /** How many bytes of memory the received input takes. */
    protected abstract long heldInputBytes();

    /** Called when the connection becomes idle. */
    protected void onIdle() {
    }

    final RemoteAppliance appliance() {
        return appliance;
    }

    /** Opens the connection unless that has been done. */
    final void connect(long timeout) {
        if (connectFuture == null) {
            setTimeout(pool.loop.now() + timeout, this::onTimeout);
            address = appliance.address;
            processStartedAt = appliance.startedAt;
            connectStartedAt = pool.loop.now();
            connectFuture = pool.loop.connect(address, this);
        }
    }

    /** Whether it is connected to the process that the list has now, and that process accepts RPCs. */
    final boolean isCurrent() {
        return appliance.state == Appliance.UP && appliance.startedAt == processStartedAt
                && address.equals(appliance.address);
    }

    /** Runs a probe instead of a pick. */
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

    /** Accepts a pick, to be sent as soon as the connection is ready. */
    final void execute(Call call, int pickIndex, long timeout) {
        // One pick at a time, never on a closed connection, nor for an RPC that has been answered.
        Loop.checkInvariant(!isClosed && this.call == null && !isProbing && !call.isAnswered());
        this.call = call;
        this.pickIndex = pickIndex;
        timeoutAt = pool.loop.now() + timeout;
        isFullyWritten = false;
        if (!isReady) {
            return;
        }
        if (!isPauseOver()) {
            setTimeout(Math.min(timeoutAt, pauseEndsAt()), () -> deferSending(true));
        } else {
            sendIfAllowed();
        }
    }

    /**
     * Sends the pick once all input that has been read is processed: it may have changed whether the pick is allowed.
     */
    private void deferSending(boolean hasRested) {
        Call waiting = call;
        int waitingIndex = pickIndex;
        pool.loop.defer(() -> {
            if (!isClosed && call == waiting && pickIndex == waitingIndex) {
                sendAfterWait(hasRested);
            }
        });
    }

    /** Sends the pick after a wait, unless it has timed out or unexpected input has come on a rested connection. */
    private void sendAfterWait(boolean hasRested) {
        if (pool.loop.now() >= timeoutAt) {
            onTimeout();
        } else if (hasRested && !hasNoPendingInput()) {
            close(Pick.NOT_EXECUTED);
        } else {
            sendIfAllowed();
        }
    }

    /**
     * Sends the pick unless a rule forbids it by now, the RPC has been answered, or the connection is to a process that
     * the list no longer has.
     */
    private void sendIfAllowed() {
        if (!pool.beginSending(this, call, pickIndex)) {
            detachCall(Pick.NOT_EXECUTED);
            becomeIdle();
            return;
        }
        setTimeout(timeoutAt, this::onTimeout);
        call.requestBeingWritten(true);
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
        close(Pick.NOT_EXECUTED);
    }

    @Override
    public final void written() {
        if (isReady && call != null) {
            isFullyWritten = true;
            pool.reportWritten(call, pickIndex);
            call.requestBeingWritten(false);
        }
    }

    @Override
    public void closed() {
        close(isFullyWritten ? Pick.RESET : Pick.CONNECT_FAILED);
    }

    private void onTimeout() {
        close(isFullyWritten ? Pick.TIMEOUT : Pick.CONNECT_FAILED);
    }

    /** Stops waiting for a pick; a pick that was not fully written never ran. */
    final void cancel(Call call, int pickIndex) {
        if (this.call == call && this.pickIndex == pickIndex) {
            close(isFullyWritten ? Pick.CANCELLED : Pick.NOT_EXECUTED);
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
        if (!isClosed) {
            memory.set(MemoryBudget.Use.PARTIAL_RESPONSE, heldInputBytes(), pool.loop.now());
        }
    }

    /** Gives up a partially received answer, because the process holds too much for all connections together. */
    private void releaseMemory() {
        pool.countReleasedForMemory();
        close(isFullyWritten ? Pick.RESET : Pick.CONNECT_FAILED);
    }

    /** Reports that an answer could not be parsed. */
    protected final void reportMalformed(Malformed cause) {
        pool.reportMalformed(call, pickIndex, appliance, cause.getMessage());
    }

    /**
     * Whether the idle connection has no unexpected input, parsed or not. A duplicate or garbage after an answer
     * would be taken for the answer to the next pick.
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

    /** The connection is ready for its first or next pick. */
    protected final void becomeIdle() {
        if (call != null && isReady) {
            // The appliance is ready again without having answered the request.
            close(isFullyWritten ? Pick.ERROR : Pick.CONNECT_FAILED);
            return;
        }
        isProbing &= !isReady;
        isReady = true;
        if (call != null) {
            deferSending(false);
        } else if (isProbing) {
            sendProbeWithTimeout();
        } else {
            setTimeout(pool.loop.now() + pool.idleTimeout, () -> close(Pick.CANCELLED));
            onIdle();
            // The exact time: this iteration may have begun long before the input was read.
            idleSince = pool.loop.clock();
            pool.release(this);
        }
    }

    /** Ends the current pick. The appliance must become ready soon after, or the connection is closed. */
    protected final Call finishPick(int outcome) {
        setTimeout(pool.loop.now() + pool.connectTimeout, () -> close(Pick.CANCELLED));
        return detachCall(outcome);
    }

    private Call detachCall(int outcome) {
        Call done = call;
        call = null;
        isFullyWritten = false;
        done.requestBeingWritten(false);
        done.picks.get(pickIndex).connectedAt = connectStartedAt;
        pool.reportEnded(done, pickIndex, outcome);
        return done;
    }

    /** Sets what happens at a time unless another event replaces it first. */
    private void setTimeout(long time, Runnable action) {
        if (timer != null) {
            timer.cancel();
        }
        timer = pool.loop.schedule(time, action);
    }

    /** Closes the connection at once; a current pick ends with this outcome. */
    protected final void close(int outcome) {
        if (isClosed) {
            return;
        }
        isClosed = true;
        memory.clear();
        timer.cancel();
        if (session != null) {
            pool.loop.closeAbruptly(session);
        } else if (connectFuture != null) {
            connectFuture.cancel();
        }
        pool.remove(this);
        if (call != null) {
            detachCall(outcome);
        }
    }
}
