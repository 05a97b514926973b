package honeygap.net;

import java.nio.ByteBuffer;
import org.apache.mina.core.session.IoSession;

/** One end of a connection, told by the loop what happens on it. All calls come on the loop's thread. */
public interface Peer {

    void opened(IoSession session);

    /** The connection never came up. */
    void unreachable();

    /** This machine could not begin to open it, which says nothing of the other side. */
    default void connectFailedLocally() {
        unreachable();
    }

    /** Bytes came in; they stay as they are and may be kept. */
    void received(ByteBuffer bytes);

    /** All bytes of the oldest unfinished write have been handed over. */
    void written();

    void closed();
}
