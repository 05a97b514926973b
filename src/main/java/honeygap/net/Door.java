package honeygap.net;

import java.io.IOException;
import java.util.function.Supplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;

/** Hands what MINA reports of a session to the peer at its end. */
final class Door extends IoHandlerAdapter {

    static final AttributeKey PEER = new AttributeKey(Door.class, "peer");

    /** The number of a connection for whoever listens in. */
    private static final AttributeKey NUMBER = new AttributeKey(Door.class, "number");

    private final Loop loop;
    private final Supplier<Peer> comers;

    /** Sessions that come without a peer get one from here. */
    Door(Loop loop, Supplier<Peer> comers) {
        this.loop = loop;
        this.comers = comers;
    }

    /** The number of a connection that is listened in on; 0 for others. */
    static long number(IoSession session) {
        return session.getAttribute(NUMBER) instanceof Long number ? number : 0;
    }

    private static Peer peer(IoSession session) {
        return (Peer) session.getAttribute(PEER);
    }

    @Override
    public void sessionCreated(IoSession session) {
        if (peer(session) == null) {
            session.setAttribute(PEER, comers.get());
        }
    }

    @Override
    public void sessionOpened(IoSession session) {
        if (loop.tap != null) {
            session.setAttribute(NUMBER, ++loop.tapped);
            loop.tap.opened(loop.tapped, session.getLocalAddress(), session.getRemoteAddress(), comers != null);
        }
        guarded(session, () -> peer(session).opened(session));
        if (session.getService() instanceof Acceptor acceptor) {
            acceptor.seen();
        }
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
        if (loop.tap != null) {
            loop.tap.received(number(session), ((IoBuffer) message).buf());
        }
        guarded(session, () -> peer(session).received(((IoBuffer) message).buf()));
    }

    @Override
    public void messageSent(IoSession session, Object message) {
        guarded(session, peer(session)::written);
    }

    @Override
    public void sessionClosed(IoSession session) {
        if (loop.tap != null) {
            loop.tap.closed(number(session));
        }
        if (peer(session) != null) {
            Loop.guarded(peer(session)::closed);
        }
    }

    /** MINA lets an Error end its thread: a connection that brings one is closed instead. */
    private static void guarded(IoSession session, Runnable told) {
        if (!Loop.guarded(told)) {
            session.closeNow();
        }
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
        if (!(cause instanceof IOException)) {
            Loop.fault(cause);
        }
        session.closeNow();
    }
}
