package honeygap.capture.message;

import java.util.function.Consumer;

/** Decodes the in-order byte streams of one recorded connection into RPCs. */
public interface ConnectionDecoder {

    /** Handles bytes from the client or the server. After a gap, the next chunk starts at a TCP segment boundary. */
    void data(boolean isClient, byte[] bytes, long timestampNs);

    /** Handles a gap: {@code length} bytes from one side are missing from the capture. */
    void gap(boolean isClient, long length);

    /** Handles the end of the connection; RPCs without a response are reported as unanswered. */
    void connectionClosed();

    /** Receives each RPC exactly once, when its response is complete or can no longer arrive. */
    interface RpcListener extends Consumer<RecordedRpc> {
    }
}
