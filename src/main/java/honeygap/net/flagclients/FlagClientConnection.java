package honeygap.net.flagclients;

import honeygap.flags.EvaluationCoordinator;
import honeygap.flags.ServerAnswer;
import honeygap.net.connections.ClientConnection;
import honeygap.net.http.Refusal;
import honeygap.net.http.RequestParser;
import honeygap.net.ofrep.PendingEvaluation;
import honeygap.net.ofrep.OfrepJson;
import honeygap.net.ofrep.OfrepRequest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * An HTTP/1.1 connection of a flag client. Pipelined requests are accepted; they are processed one at a time, so
 * that responses are sent in the order of the requests.
 */
final class FlagClientConnection extends ClientConnection {

    private static final byte[] NO_BODY = {};

    private final FlagClients clients;
    private final RequestParser parser;
    private ClientEvaluation openEvaluation;
    private boolean continueSent;
    private boolean started;

    FlagClientConnection(FlagClients clients) {
        super(clients.connections);
        this.clients = clients;
        parser = new RequestParser(clients.maxBodyLength);
    }

    /** One evaluation of this client. */
    private final class ClientEvaluation extends PendingEvaluation {

        private final boolean isKeepAlive;

        ClientEvaluation(OfrepRequest request, long takenAt, long deadline, long knownVersion) {
            super(request, takenAt, deadline, knownVersion);
            isKeepAlive = parser.isKeepAlive();
        }

        @Override
        public void answer(ServerAnswer served, int origin) {
            FlagClientConnection.this.sendResponse(this, served, origin);
        }

        @Override
        public void pushBack(long retryAfter) {
            clients.countPushedBack();
            long delay = Math.max(retryAfter, clients.dispatcher.suggestedRetryAfter());
            finishEvaluation(this, 429, errorBody("GENERAL", "pushed back, trying again is harmless"),
                    "Retry-After: " + Math.max(1, (delay + 9_999) / 10_000) + "\r\n");
        }

        @Override
        public void abort() {
            finishEvaluation(this, 500, errorBody("GENERAL", "aborted"), "");
        }

        private byte[] errorBody(String code, String details) {
            return OfrepJson.error(query.flag, code, details);
        }
    }

    /** HTTP has no startup message, so that a connection is started by its first request. */
    @Override
    protected boolean isStarted() {
        return started;
    }

    @Override
    protected boolean hasOpenRpc() {
        return openEvaluation != null;
    }

    @Override
    protected int bufferedBytes() {
        return parser.bufferedBytes();
    }

    @Override
    protected long heldInputBytes() {
        return parser.heldBytes() + (openEvaluation == null ? 0 : openEvaluation.query.identity.length);
    }

    @Override
    protected void discardInput() {
        parser.clear();
    }

    @Override
    protected ByteBuffer timeoutResponse() {
        clients.countRejected("too slow");
        return createResponse(408, OfrepJson.error(null, null, "nothing whole has come in time"), "", false);
    }

    @Override
    protected ByteBuffer tooManyConnectionsResponse() {
        clients.countRejected("too many connections");
        return createResponse(503, OfrepJson.error(null, null, "too many connections"), "Retry-After: 1\r\n", false);
    }

    @Override
    protected ByteBuffer outOfMemoryResponse() {
        clients.countRejected("out of memory");
        return createResponse(503, OfrepJson.error(null, null, "too much is held for other requests"), "Retry-After: 1\r\n",
                false);
    }

    @Override
    protected ByteBuffer shutdownResponse() {
        clients.countRejected("shutting down");
        return createResponse(503, OfrepJson.error(null, null, "this agent is shutting down"), "Retry-After: 1\r\n",
                false);
    }

    @Override
    protected void failRpc() {
        ClientEvaluation abandoned = openEvaluation;
        clients.dispatcher.abandon(abandoned);
        abandoned.abort();
    }

    @Override
    protected void buffer(ByteBuffer bytes) {
        parser.feed(bytes);
    }

    @Override
    protected void abandonRpc() {
        if (openEvaluation != null) {
            ClientEvaluation abandoned = openEvaluation;
            closeEvaluation();
            clients.dispatcher.abandon(abandoned);
        }
    }

    @Override
    protected void processInput() {
        try {
            while (mayProcessNext() && parser.next()) {
                started = true;
                requestReceived();
                continueSent = false;
                if (clients.connections.rejectsRequest(this)) {
                    writeAndClose(tooManyConnectionsResponse());
                } else if (clients.connections.lacksMemory()) {
                    writeAndClose(outOfMemoryResponse());
                } else {
                    handleRequest();
                }
            }
            if (canRead() && !continueSent && parser.expectsContinue()) {
                continueSent = true;
                write(ByteBuffer.wrap("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII)));
            }
        } catch (Refusal e) {
            // The start of the next request is unknown after a malformed one.
            clients.countRejected(e.kind);
            writeAndClose(createResponse(e.status, OfrepJson.error(null, null, e.getMessage()), "", false));
        }
    }

    @Override
    protected void rejectQueuedInput() {
        clients.countRejected("too much input at once");
        abandonRpc();
        writeAndClose(createResponse(413, OfrepJson.error(null, null, "too much input at once"), "", false));
    }

    /** Handles a complete request; rejecting it does not close the connection. */
    private void handleRequest() {
        String flag = null;
        try {
            String contentCoding = parser.field("content-encoding");
            if (contentCoding != null && !contentCoding.equalsIgnoreCase("identity")) {
                throw new Refusal(415, "other coding", "content-encoding " + contentCoding);
            }
            Paths.Route route = Paths.parse(parser.target());
            flag = route.flag();
            if (!parser.method().equals("POST")) {
                throw new Refusal(405, "other method", parser.method() + " is not taken here");
            }
            String contentType = parser.field("content-type");
            if (contentType != null && !contentType.toLowerCase(Locale.ROOT).startsWith("application/json")) {
                throw new Refusal(415, "other type", "content-type " + contentType);
            }
            openEvaluation = createEvaluation(route);
            parser.releaseBody();
            rpcOpened();
            clients.dispatcher.submit(openEvaluation, clients.tick);
        } catch (Refusal e) {
            clients.countRejected(e.kind);
            boolean hasErrorCode = e.status == 400;
            writeResponse(parser.isKeepAlive(), e.status,
                    OfrepJson.error(hasErrorCode ? flag : null, hasErrorCode ? e.kind : null, e.getMessage()),
                    e.status == 405 ? "Allow: POST\r\n" : "");
        }
    }

    private ClientEvaluation createEvaluation(Paths.Route route) throws Refusal {
        String token = parser.field("idempotency-key");
        boolean isTracking = route.isTracking();
        long targetingKeyHash = OfrepJson.targetingKeyHash(parser.body());
        long knownVersion = isTracking || route.flag() != null ? ServerAnswer.NO_VERSION
                : EntityTags.newestVersion(parser.field("if-none-match"));
        StringBuilder fields = new StringBuilder();
        appendField(fields, "Authorization", parser.field("authorization"));
        appendField(fields, "X-API-Key", parser.field("x-api-key"));
        if (isTracking && token != null) {
            if (token.isEmpty() || token.length() > 255) {
                throw new Refusal(400, "INVALID_CONTEXT", "field idempotency-key is empty or over 255 long");
            }
            appendField(fields, "Idempotency-Key", token);
        }
        OfrepRequest request = OfrepRequest.of(clients.method(route, token != null), route.flag(), targetingKeyHash,
                route.path(), fields.toString(), parser.body(), !isTracking);
        long now = clients.clock();
        return new ClientEvaluation(request, now,
                now + clients.timeout(request.method, parser.field("x-deadline-ms")), knownVersion);
    }

    private static void appendField(StringBuilder fields, String name, String value) {
        if (value != null) {
            fields.append(name).append(": ").append(value).append("\r\n");
        }
    }

    private void sendResponse(ClientEvaluation evaluation, ServerAnswer served, int origin) {
        if (evaluation.query.flag != null || !evaluation.query.isShareable || !served.isOk()) {
            byte[] body = origin == EvaluationCoordinator.FRESH ? served.body
                    : OfrepJson.withReason(served.body, false, reasonFor(origin));
            finishEvaluation(evaluation, served.status, body, "");
            return;
        }
        String tag = EntityTags.of(served);
        if (EntityTags.isListed(tag, parser.field("if-none-match"))) {
            finishEvaluation(evaluation, 304, NO_BODY, "ETag: " + tag + "\r\n");
        } else {
            byte[] body = origin == EvaluationCoordinator.FRESH ? served.body
                    : OfrepJson.withReason(served.body, true, reasonFor(origin));
            finishEvaluation(evaluation, 200, body, "ETag: " + tag + "\r\n");
        }
    }

    private static String reasonFor(int origin) {
        return origin == EvaluationCoordinator.CACHED ? "CACHED" : "STALE";
    }

    private void finishEvaluation(ClientEvaluation evaluation, int status, byte[] body, String fields) {
        if (openEvaluation == evaluation) {
            closeEvaluation();
            writeResponse(evaluation.isKeepAlive, status, body, fields);
        }
    }

    /** Detaches the open evaluation after it was answered or its client disconnected. */
    private void closeEvaluation() {
        openEvaluation.guard.cancel();
        openEvaluation = null;
    }

    private void writeResponse(boolean isKeepAlive, int status, byte[] body, String fields) {
        boolean keepsOpen = isKeepAlive && !clients.connections.isClosing();
        write(createResponse(status, body, fields, keepsOpen));
        parser.releaseFields();
        if (!keepsOpen) {
            close();
        }
    }

    /** Creates a complete response with status, fields and body. */
    private static ByteBuffer createResponse(int status, byte[] body, String fields, boolean keepsOpen) {
        boolean hasBody = status != 204 && status != 304;
        StringBuilder lines = new StringBuilder(160).append("HTTP/1.1 ").append(status).append(' ')
                .append(EntityTags.reasonPhrase(status)).append("\r\n");
        if (hasBody) {
            lines.append("Content-Type: application/json\r\nContent-Length: ").append(body.length).append("\r\n");
        }
        if (!keepsOpen) {
            lines.append("Connection: close\r\n");
        }
        byte[] head = lines.append(fields).append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer response = ByteBuffer.allocate(head.length + (hasBody ? body.length : 0));
        response.put(head);
        if (hasBody) {
            response.put(body);
        }
        return response.flip();
    }
}
