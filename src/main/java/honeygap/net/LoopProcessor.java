package honeygap.net;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.GatheringByteChannel;
import java.util.concurrent.Executor;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.SocketSessions;

/** The I/O processor of all sessions. It runs an iteration of the loop before each wait for I/O. */
public final class LoopProcessor extends NioProcessor {

    static final AttributeKey CHANNEL = new AttributeKey(LoopProcessor.class, "channel");

    private final Loop loop;
    private boolean hasSkippedSelection;

    /** MINA's processor pool passes its executor, which is the loop. */
    public LoopProcessor(Executor loop) {
        super(loop);
        this.loop = (Loop) loop;
        this.loop.processor = this;
    }

    /**
     * Returns only when there is work: MINA takes short waits without events for a broken selector and would replace
     * it, registering all sockets anew. What the iteration has written is flushed before more input is read, so that
     * decisions don't wait behind it.
     */
    @Override
    protected int select(long timeout) throws Exception {
        while (true) {
            loop.runIteration();
            long wait = loop.millisUntilNextTimer();
            loop.turnStatistics.endTurn();
            hasSkippedSelection = wakeupCalled.get() && !hasSkippedSelection;
            if (hasSkippedSelection) {
                loop.turnStatistics.startTurn();
                return 0;
            }
            loop.beforeSelection();
            // Connections that an iteration ended by an error has left selected are not reported once more.
            boolean mustNotWait = wakeupCalled.get() || wait <= 0 || !selector.selectedKeys().isEmpty();
            int updated = mustNotWait ? selector.selectNow() : selector.select(wait);
            int ready = Math.max(updated, selector.selectedKeys().size());
            loop.turnStatistics.startTurn();
            if (ready > 0 || wakeupCalled.get()) {
                return ready;
            }
        }
    }

    /** On the loop's own thread setting the flag is sufficient. */
    @Override
    protected void wakeup() {
        if (loop.isLoopThread()) {
            wakeupCalled.set(true);
        } else {
            super.wakeup();
        }
    }

    void wake() {
        super.wakeup();
    }

    @Override
    protected void init(NioSession session) throws Exception {
        try {
            super.init(session);
        } catch (ClosedChannelException e) {
            loop.onClosedBeforeOpened(session);
            throw e;
        }
        // Gathering writes need the channel, which MINA does not expose.
        session.setAttribute(CHANNEL, SocketSessions.channel(session));
    }

    @Override
    protected int write(NioSession session, IoBuffer bytes, int length) throws IOException {
        loop.turnStatistics.add(TurnStatistics.Activity.WRITE);
        return bytes instanceof GatheringBuffer gathered
                ? gathered.writeTo((GatheringByteChannel) session.getAttribute(CHANNEL), loop.trafficListener, session)
                : super.write(session, bytes, length);
    }
}
