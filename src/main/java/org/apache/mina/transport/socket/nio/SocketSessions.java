package org.apache.mina.transport.socket.nio;

import java.nio.channels.SocketChannel;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.service.IoService;

/** Gives access to what MINA keeps in its package: sessions for channels that were accepted elsewhere. */
public final class SocketSessions {

    private SocketSessions() {
    }

    /** Creates the session of an accepted channel. */
    public static NioSession create(IoService service, IoProcessor<NioSession> processor, SocketChannel channel) {
        return new NioSocketSession(service, processor, channel);
    }

    /** The channel of a socket session. */
    public static SocketChannel channel(NioSession session) {
        return (SocketChannel) session.getChannel();
    }
}
