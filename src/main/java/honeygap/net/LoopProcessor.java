package honeygap.net;

import java.io.IOException;
import java.nio.channels.GatheringByteChannel;
import java.nio.channels.SelectionKey;
import java.util.concurrent.Executor;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/** The one processor of all sessions: before it waits for sockets, it lets the loop take its turn. */
public final class LoopProcessor extends NioProcessor {

    static final AttributeKey CHANNEL = new AttributeKey(LoopProcessor.class, "channel");

    private final Loop loop;

    /** The executor is the loop itself, by way of the pool that makes processors. */
    public LoopProcessor(Executor loop) {
        super(loop);
        this.loop = (Loop) loop;
        this.loop.processor = this;
    }

    /**
     * Comes back only with work: MINA takes short waits that bring nothing for a fault of the selector and
     * would register all sockets anew.
     */
    @Override
    protected int select(long timeout) throws Exception {
        while (true) {
            loop.runIteration();
            long wait = loop.millisUntilNextTimer();
            int ready = wakeupCalled.get() || wait <= 0 ? selector.selectNow() : selector.select(wait);
            if (ready > 0 || wakeupCalled.get()) {
                return ready;
            }
        }
    }

    /** On the loop's own thread a mark is enough. */
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
        super.init(session);
        // MINA keeps the channel to itself, and gathered writes need it.
        for (SelectionKey key : selector.keys()) {
            if (key.attachment() == session) {
                session.setAttribute(CHANNEL, key.channel());
            }
        }
    }

    @Override
    protected int write(NioSession session, IoBuffer bytes, int length) throws IOException {
        return bytes instanceof Gathered gathered
                ? gathered.writeTo((GatheringByteChannel) session.getAttribute(CHANNEL), loop.trafficListener, session)
                : super.write(session, bytes, length);
    }
}
