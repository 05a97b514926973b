package honeygap.capture.message;

import honeygap.capture.stream.Reassembly;
import java.util.Map;
import java.util.TreeMap;

/** Chooses a protocol decoder for each connection by its first bytes, and forwards the RPCs that all of them decode. */
public final class Conversations implements Reassembly.Listener {

    private final Conversation.Hearer listener;
    private final Map<String, Long> problemCounts = new TreeMap<>();
    private long rpcCount;
    private long connectionCount;

    public Conversations(Conversation.Hearer listener) {
        this.listener = listener;
    }

    /** Numbers of decoding problems, by kind. */
    public Map<String, Long> counts() {
        return problemCounts;
    }

    public long heard() {
        return rpcCount;
    }

    public long connections() {
        return connectionCount;
    }

    @Override
    public void opened(Reassembly.Flow flow, long timestampNs) {
        connectionCount++;
    }

    private Conversation decoderFor(Reassembly.Flow flow, boolean isClient, byte[] bytes) {
        if (flow.attachment == null && isClient) {
            boolean isHttp = HttpConversation.isRequest(bytes);
            if (!isHttp && !flow.isFromStart && !PgConversation.isStatement(bytes)) {
                problemCounts.merge("chunks of nothing known", 1L, Long::sum);
                return null;
            }
            flow.attachment = isHttp
                    ? new HttpConversation(flow.isFromStart, () -> newRpc(flow), this::rpcDecoded, problemCounts)
                    : new PgConversation(flow.isFromStart, () -> newRpc(flow), this::rpcDecoded, problemCounts);
        }
        return (Conversation) flow.attachment;
    }

    private Spoken newRpc(Reassembly.Flow flow) {
        Spoken rpc = new Spoken();
        rpc.connection = flow.number;
        rpc.client = flow.client;
        rpc.server = flow.server;
        return rpc;
    }

    private void rpcDecoded(Spoken rpc) {
        rpcCount++;
        listener.accept(rpc);
    }

    @Override
    public void data(Reassembly.Flow flow, boolean isClient, byte[] bytes, long timestampNs) {
        Conversation decoder = decoderFor(flow, isClient, bytes);
        if (decoder != null) {
            decoder.data(isClient, bytes, timestampNs);
        }
    }

    @Override
    public void hole(Reassembly.Flow flow, boolean isClient, long length, long timestampNs) {
        if (flow.attachment != null) {
            ((Conversation) flow.attachment).hole(isClient, length);
        } else {
            // The connection's first bytes are missing: neither the protocol nor the position in it is known.
            problemCounts.merge("beginnings missing", 1L, Long::sum);
            flow.attachment = new UnidentifiedProtocolDecoder(flow);
        }
    }

    /** Skips data until a chunk identifies the protocol by starting a request or a statement. */
    private final class UnidentifiedProtocolDecoder implements Conversation {

        private final Reassembly.Flow flow;

        UnidentifiedProtocolDecoder(Reassembly.Flow flow) {
            this.flow = flow;
        }

        @Override
        public void data(boolean isClient, byte[] bytes, long timestampNs) {
            if (isClient && (HttpConversation.isRequest(bytes) || PgConversation.isStatement(bytes))) {
                Conversation decoder = HttpConversation.isRequest(bytes)
                        ? new HttpConversation(false, () -> newRpc(flow), Conversations.this::rpcDecoded, problemCounts)
                        : new PgConversation(false, () -> newRpc(flow), Conversations.this::rpcDecoded, problemCounts);
                flow.attachment = decoder;
                decoder.data(true, bytes, timestampNs);
            }
        }

        @Override
        public void hole(boolean isClient, long length) {
        }

        @Override
        public void over() {
        }
    }

    @Override
    public void closed(Reassembly.Flow flow, Reassembly.End end, long timestampNs) {
        if (flow.attachment != null) {
            ((Conversation) flow.attachment).over();
        }
    }
}
