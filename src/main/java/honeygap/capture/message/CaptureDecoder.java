package honeygap.capture.message;

import honeygap.capture.stream.Reassembly;
import java.util.Map;
import java.util.TreeMap;

/** Chooses a protocol decoder for each connection by its first bytes, and forwards the RPCs that all of them decode. */
public final class CaptureDecoder implements Reassembly.Listener {

    private final ConnectionDecoder.RpcListener listener;
    private final Map<String, Long> problemCounts = new TreeMap<>();
    private long rpcCount;
    private long connectionCount;

    public CaptureDecoder(ConnectionDecoder.RpcListener listener) {
        this.listener = listener;
    }

    /** Numbers of decoding problems, by kind. */
    public Map<String, Long> problemCounts() {
        return problemCounts;
    }

    public long rpcCount() {
        return rpcCount;
    }

    public long connectionCount() {
        return connectionCount;
    }

    @Override
    public void opened(Reassembly.Flow flow, long timestampNs) {
        connectionCount++;
    }

    private ConnectionDecoder decoderFor(Reassembly.Flow flow, boolean isClient, byte[] bytes) {
        if (flow.attachment == null && isClient) {
            boolean isHttp = HttpConnectionDecoder.isRequest(bytes);
            if (!isHttp && !flow.isFromStart && !PgConnectionDecoder.isStatement(bytes)) {
                problemCounts.merge("chunks of nothing known", 1L, Long::sum);
                return null;
            }
            flow.attachment = isHttp
                    ? new HttpConnectionDecoder(flow.isFromStart, () -> newRpc(flow), this::rpcDecoded, problemCounts)
                    : new PgConnectionDecoder(flow.isFromStart, () -> newRpc(flow), this::rpcDecoded, problemCounts);
        }
        return (ConnectionDecoder) flow.attachment;
    }

    private RecordedRpc newRpc(Reassembly.Flow flow) {
        RecordedRpc rpc = new RecordedRpc();
        rpc.connection = flow.number;
        rpc.client = flow.client;
        rpc.server = flow.server;
        return rpc;
    }

    private void rpcDecoded(RecordedRpc rpc) {
        rpcCount++;
        listener.accept(rpc);
    }

    @Override
    public void data(Reassembly.Flow flow, boolean isClient, byte[] bytes, long timestampNs) {
        ConnectionDecoder decoder = decoderFor(flow, isClient, bytes);
        if (decoder != null) {
            decoder.data(isClient, bytes, timestampNs);
        }
    }

    @Override
    public void hole(Reassembly.Flow flow, boolean isClient, long length, long timestampNs) {
        if (flow.attachment != null) {
            ((ConnectionDecoder) flow.attachment).gap(isClient, length);
        } else {
            // The connection's first bytes are missing: neither the protocol nor the position in it is known.
            problemCounts.merge("beginnings missing", 1L, Long::sum);
            flow.attachment = new UnidentifiedProtocolDecoder(flow);
        }
    }

    /** Skips data until a chunk identifies the protocol by starting a request or a statement. */
    private final class UnidentifiedProtocolDecoder implements ConnectionDecoder {

        private final Reassembly.Flow flow;

        UnidentifiedProtocolDecoder(Reassembly.Flow flow) {
            this.flow = flow;
        }

        @Override
        public void data(boolean isClient, byte[] bytes, long timestampNs) {
            if (isClient && (HttpConnectionDecoder.isRequest(bytes) || PgConnectionDecoder.isStatement(bytes))) {
                ConnectionDecoder decoder = HttpConnectionDecoder.isRequest(bytes)
                        ? new HttpConnectionDecoder(false, () -> newRpc(flow), CaptureDecoder.this::rpcDecoded, problemCounts)
                        : new PgConnectionDecoder(false, () -> newRpc(flow), CaptureDecoder.this::rpcDecoded, problemCounts);
                flow.attachment = decoder;
                decoder.data(true, bytes, timestampNs);
            }
        }

        @Override
        public void gap(boolean isClient, long length) {
        }

        @Override
        public void connectionClosed() {
        }
    }

    @Override
    public void closed(Reassembly.Flow flow, Reassembly.End end, long timestampNs) {
        if (flow.attachment != null) {
            ((ConnectionDecoder) flow.attachment).connectionClosed();
        }
    }
}
