package honeygap.capture.message;

import java.util.function.Consumer;

/** What is said on one connection, byte for byte in order, made into RPCs. */
public interface Conversation {

    /** Bytes of the client or the server; a chunk behind a hole begins where a segment did. */
    void data(boolean isClient, byte[] bytes, long timestampNs);

    /** So many bytes of one side are missing. */
    void hole(boolean isClient, long length);

    /** Nothing more is said: what is open stays without an answer. */
    void over();

    /** Hears each RPC once, when its answer is whole or will not come. */
    interface Hearer extends Consumer<Spoken> {
    }
}
