package honeygap.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Supplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.AttributeKey;
import org.apache.mina.core.session.IoSession;

/** Passes MINA's session events to the handler of the connection. */
final class IoEventDispatcher extends IoHandlerAdapter {

    static final AttributeKey HANDLER = new AttributeKey(IoEventDispatcher.class, "peer");

    /** The number that identifies a connection to the traffic listener. */
    private static final AttributeKey CONNECTION_NUMBER = new AttributeKey(IoEventDispatcher.class, "number");

    private final Loop loop;
    private final Supplier<ConnectionHandler> handlerFactory;

    /** Sessions created without a handler get one from the factory. */
    IoEventDispatcher(Loop loop, Supplier<ConnectionHandler> handlerFactory) {
        this.loop = loop;
        this.handlerFactory = handlerFactory;
    }

    /** The number of a connection that is reported to the traffic listener; 0 for others. */
    static long connectionNumber(IoSession session) {
        return session.getAttribute(CONNECTION_NUMBER) instanceof Long number ? number : 0;
    }

    private static ConnectionHandler handler(IoSession session) {
        return (ConnectionHandler) session.getAttribute(HANDLER);
    }

    @Override
    public void sessionCreated(IoSession session) {
        if (handler(session) == null) {
            session.setAttribute(HANDLER, handlerFactory.get());
        }
    }

    @Override
    public void sessionOpened(IoSession session) {
        loop.turnStatistics.add(TurnStatistics.Activity.CONNECTION_OPENED);
        if (loop.trafficListener != null) {
            session.setAttribute(CONNECTION_NUMBER, ++loop.lastConnectionNumber);
            loop.trafficListener.opened(loop.lastConnectionNumber, session.getLocalAddress(),
                    session.getRemoteAddress(), handlerFactory != null);
        }
        runGuarded(session, () -> handler(session).opened(session));
        if (session.getService() instanceof Acceptor acceptor) {
            acceptor.onSessionOpened();
            ByteBuffer earlyInput = acceptor.takeEarlyInput(session);
            if (earlyInput != null) {
                received(session, earlyInput);
            }
        }
    }

    @Override
    public void messageReceived(IoSession session, Object message) {
        received(session, ((IoBuffer) message).buf());
    }

    private void received(IoSession session, ByteBuffer input) {
        loop.turnStatistics.add(TurnStatistics.Activity.READ);
        if (loop.trafficListener != null) {
            loop.trafficListener.received(connectionNumber(session), input);
        }
        runGuarded(session, () -> handler(session).received(input));
    }

    @Override
    public void messageSent(IoSession session, Object message) {
        runGuarded(session, handler(session)::written);
    }

    @Override
    public void sessionClosed(IoSession session) {
        loop.turnStatistics.add(TurnStatistics.Activity.CONNECTION_CLOSED);
        if (loop.trafficListener != null) {
            loop.trafficListener.closed(connectionNumber(session));
        }
        if (handler(session) != null) {
            Loop.runGuarded(handler(session)::closed);
        }
    }

    /** MINA's I/O thread would end on an Error: the connection that caused it is closed instead. */
    private static void runGuarded(IoSession session, Runnable callback) {
        if (!Loop.runGuarded(callback)) {
            session.closeNow();
        }
    }

    @Override
    public void exceptionCaught(IoSession session, Throwable cause) {
        if (!(cause instanceof IOException)) {
            Loop.reportFault(cause);
        }
        session.closeNow();
    }
}
