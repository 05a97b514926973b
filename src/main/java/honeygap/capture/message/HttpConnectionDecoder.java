package honeygap.capture.message;

import honeygap.net.http.ResponseParser;
import honeygap.net.http.Refusal;
import honeygap.net.http.RequestParser;
import honeygap.net.ofrep.OfrepJson;
import honeygap.config.Malformed;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Decodes the flag API over HTTP/1.1 with the agent's own parsers. After a gap, the client stream resynchronizes at a
 * chunk that starts with a request line, the server stream at a chunk that starts with a status line while exactly
 * one request is pending.
 */
public final class HttpConnectionDecoder implements ConnectionDecoder, ResponseParser.Handler {

    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int MAX_PENDING_RPCS = 256;
    private static final String FLAGS_PATH = "/ofrep/v1/evaluate/flags";

    private final Supplier<RecordedRpc> rpcFactory;
    private final RpcListener listener;
    private final Map<String, Long> counts;
    private RequestParser requestParser = new RequestParser(MAX_BODY_BYTES);
    private ResponseParser responseParser = new ResponseParser(this);
    private boolean clientOutOfSync;
    /**
     * The next chunk directly follows a gap. Reassembly delayed it by an unknown time, so it can't be used to
     * resynchronize.
     */
    private boolean clientDelayed;
    private boolean serverDelayed;
    private boolean serverOutOfSync;
    private final ArrayDeque<RecordedRpc> pendingRpcs = new ArrayDeque<>();
    private final ByteArrayOutputStream responseBody = new ByteArrayOutputStream();
    private int status;
    private long lastChunkNs;

    public HttpConnectionDecoder(boolean isFromStart, Supplier<RecordedRpc> rpcFactory, RpcListener listener,
            Map<String, Long> counts) {
        this.rpcFactory = rpcFactory;
        this.listener = listener;
        this.counts = counts;
        clientOutOfSync = serverOutOfSync = !isFromStart;
    }

    private void count(String kind) {
        counts.merge(kind, 1L, Long::sum);
    }

    /** Whether a chunk starts with an HTTP/1.1 request line. */
    public static boolean isRequest(byte[] bytes) {
        return startsWith(bytes, "POST /") || startsWith(bytes, "GET /") || startsWith(bytes, "PUT /")
                || startsWith(bytes, "HEAD /") || startsWith(bytes, "OPTIONS ") || startsWith(bytes, "DELETE /");
    }

    private static boolean startsWith(byte[] bytes, String prefix) {
        for (int i = 0; i < prefix.length(); i++) {
            if (i >= bytes.length || bytes[i] != prefix.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void data(boolean isClient, byte[] bytes, long timestampNs) {
        lastChunkNs = timestampNs;
        try {
            if (isClient) {
                readClient(bytes, timestampNs);
            } else {
                readServer(bytes);
            }
        } catch (Malformed e) {
            count(isClient ? "spoilt requests" : "spoilt answers");
            loseSync(isClient);
        }
    }

    private void readClient(byte[] bytes, long timestampNs) throws Refusal {
        if (clientOutOfSync) {
            boolean wasDelayed = clientDelayed;
            clientDelayed = false;
            if (wasDelayed || !isRequest(bytes)) {
                count("chunks passed over");
                return;
            }
            clientOutOfSync = false;
            requestParser = new RequestParser(MAX_BODY_BYTES);
            abortPendingRpcs();
        }
        requestParser.feed(ByteBuffer.wrap(bytes));
        while (requestParser.next()) {
            if (serverOutOfSync) {
                abortPendingRpcs();
            }
            if (pendingRpcs.size() >= MAX_PENDING_RPCS) {
                count("too many open");
                abortPendingRpcs();
            }
            pendingRpcs.add(newRpc(timestampNs));
        }
    }

    private RecordedRpc newRpc(long timestampNs) {
        RecordedRpc rpc = rpcFactory.get();
        rpc.protocol = "http";
        rpc.requestTimeNs = timestampNs;
        String target = requestParser.target();
        boolean isTracking = target.startsWith("/ofrep/v1/track");
        rpc.method = target.equals(FLAGS_PATH) ? "all" : target.startsWith(FLAGS_PATH + "/") ? "one"
                : isTracking ? requestParser.field("idempotency-key") != null ? "tracked" : "track"
                : requestParser.method() + " " + target;
        rpc.isReadOnly = target.startsWith(FLAGS_PATH);
        rpc.tenant = target.startsWith(FLAGS_PATH + "/") ? target.substring(FLAGS_PATH.length() + 1) : "";
        rpc.request = serializeRequest();
        try {
            long subject = OfrepJson.targetingKeyHash(requestParser.body());
            rpc.key = subject == 0 ? "" : Long.toHexString(subject);
        } catch (Refusal e) {
            count("bodies without a context");
        }
        return rpc;
    }

    /** Serializes the request for replay: request line, relevant header fields, and the body with a content length. */
    private byte[] serializeRequest() {
        StringBuilder head = new StringBuilder(requestParser.method() + " " + requestParser.target() + " HTTP/1.1\r\n");
        for (String name : new String[] {"host", "content-type", "authorization", "x-api-key", "idempotency-key",
            "if-none-match", "x-deadline-ms"}) {
            if (requestParser.field(name) != null) {
                head.append(name).append(": ").append(requestParser.field(name)).append("\r\n");
            }
        }
        head.append("content-length: ").append(requestParser.body().length).append("\r\n\r\n");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        bytes.writeBytes(requestParser.body());
        return bytes.toByteArray();
    }

    private void readServer(byte[] bytes) throws Malformed {
        if (serverOutOfSync) {
            boolean wasDelayed = serverDelayed;
            serverDelayed = false;
            if (wasDelayed || clientOutOfSync || pendingRpcs.size() != 1 || !startsWith(bytes, "HTTP/1.")) {
                count("chunks passed over");
                return;
            }
            serverOutOfSync = false;
            responseParser = new ResponseParser(this);
            responseBody.reset();
        }
        responseParser.feed(ByteBuffer.wrap(bytes));
    }

    @Override
    public void onHeadComplete(int status) {
        this.status = status;
    }

    @Override
    public void onData(ByteBuffer bytes) throws Malformed {
        if (responseBody.size() + bytes.remaining() > MAX_BODY_BYTES) {
            throw new Malformed("response body exceeds the maximum size");
        }
        while (bytes.hasRemaining()) {
            responseBody.write(bytes.get());
        }
    }

    @Override
    public void onComplete() {
        RecordedRpc rpc = pendingRpcs.poll();
        if (rpc != null) {
            rpc.durationNs = Math.max(0, lastChunkNs - rpc.requestTimeNs);
            rpc.code = Integer.toString(status);
            rpc.outcome = RecordedRpc.Outcome.ofHttpStatus(status);
            rpc.response = responseBody.toByteArray();
            listener.accept(rpc);
        }
        responseBody.reset();
    }

    @Override
    public void gap(boolean isClient, long length) {
        count("holes in conversations");
        clientDelayed |= isClient;
        serverDelayed |= !isClient;
        loseSync(isClient);
    }

    private void loseSync(boolean isClient) {
        clientOutOfSync |= isClient;
        serverOutOfSync = true;
        abortPendingRpcs();
    }

    private void abortPendingRpcs() {
        for (RecordedRpc rpc : pendingRpcs) {
            rpc.outcome = RecordedRpc.Outcome.torn;
            listener.accept(rpc);
        }
        pendingRpcs.clear();
        responseBody.reset();
    }

    @Override
    public void connectionClosed() {
        for (RecordedRpc rpc : pendingRpcs) {
            rpc.outcome = RecordedRpc.Outcome.open;
            listener.accept(rpc);
        }
        pendingRpcs.clear();
    }
}
