package honeygap.net;

import java.nio.ByteBuffer;
import org.apache.mina.core.session.IoSession;

/** Handles the events of one connection. All methods are called on the loop's thread. */
public interface ConnectionHandler {

    /** The connection was established. */
    void opened(IoSession session);

    /** The connection could not be established. */
    void unreachable();

    /**
     * The connection could not be opened because of a failure on this machine, which says nothing about the remote
     * side.
     */
    default void connectFailedLocally() {
        unreachable();
    }

    /** Bytes were received; they are not overwritten later and may be retained. */
    void received(ByteBuffer bytes);

    /** The oldest unfinished write has been passed to the system completely. */
    void written();

    /** The connection was closed by either side; no event follows. */
    void closed();
}
