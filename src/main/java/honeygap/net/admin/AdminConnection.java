package honeygap.net.admin;

import honeygap.net.connections.ClientConnection;
import honeygap.net.http.Refusal;
import honeygap.net.http.RequestParser;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.tinylog.Logger;

/** A connection to the admin endpoint; its requests are processed one after another. */
final class AdminConnection extends ClientConnection {

    private final AdminEndpoint endpoint;
    private final RequestParser requests;
    private boolean hasSentRequest;
    /** Whether a request is being handled off the loop; the next one is read only after its response. */
    private boolean isResponsePending;
    /** The body of that request, which its handler keeps. */
    private int pendingBodyBytes;

    AdminConnection(AdminEndpoint endpoint) {
        super(endpoint.connections);
        this.endpoint = endpoint;
        requests = new RequestParser(endpoint.maxBodyBytes());
    }

    @Override
    protected boolean isStarted() {
        return hasSentRequest;
    }

    @Override
    protected boolean hasOpenRpc() {
        return isResponsePending;
    }

    @Override
    protected int bufferedBytes() {
        return requests.bufferedBytes();
    }

    @Override
    protected long heldInputBytes() {
        return requests.heldBytes() + (isResponsePending ? pendingBodyBytes : 0);
    }

    @Override
    protected void discardInput() {
        requests.clear();
    }

    @Override
    protected void buffer(ByteBuffer bytes) {
        requests.feed(bytes);
    }

    @Override
    protected void abandonRpc() {
    }

    @Override
    protected ByteBuffer timeoutResponse() {
        return response(408, "{\"error\":\"nothing whole has come in time\"}".getBytes(StandardCharsets.US_ASCII), false);
    }

    @Override
    protected ByteBuffer tooManyConnectionsResponse() {
        return response(503, "{\"error\":\"too many connections\"}".getBytes(StandardCharsets.US_ASCII), false);
    }

    @Override
    protected ByteBuffer outOfMemoryResponse() {
        return response(503, "{\"error\":\"too much is held for other requests\"}".getBytes(StandardCharsets.US_ASCII), false);
    }

    @Override
    protected ByteBuffer shutdownResponse() {
        return response(503, "{\"error\":\"shutting down\"}".getBytes(StandardCharsets.US_ASCII), false);
    }

    @Override
    protected void failRpc() {
        isResponsePending = false;
        writeAndClose(shutdownResponse());
    }

    @Override
    protected void processInput() {
        try {
            if (mayProcessNext() && requests.next()) {
                hasSentRequest = true;
                requestReceived();
                if (endpoint.connections.rejectsRequest(this)) {
                    writeAndClose(tooManyConnectionsResponse());
                } else if (endpoint.connections.lacksMemory()) {
                    writeAndClose(outOfMemoryResponse());
                } else {
                    handleRequest();
                }
            }
        } catch (Refusal e) {
            writeAndClose(response(e.status, errorBody(e), false));
        }
    }

    @Override
    protected void rejectQueuedInput() {
        isResponsePending = false;
        writeAndClose(response(413, "{\"error\":\"too much input at once\"}".getBytes(StandardCharsets.US_ASCII), false));
    }

    private byte[] errorBody(Refusal e) {
        try {
            return endpoint.error(e.getMessage());
        } catch (IOException failure) {
            return new byte[0];
        }
    }

    private void handleRequest() {
        int status = 200;
        byte[] body;
        try {
            if (!endpoint.isAuthorized(requests.field("authorization"))) {
                throw new Refusal(401, "token", "a token is wanted, and not this one");
            }
            AsyncHandler handler = endpoint.asyncHandler(requests.target());
            if (handler != null) {
                handleAsync(handler);
                return;
            }
            body = endpoint.respond(requests.method(), requests.target(), requests.body());
            requests.releaseBody();
        } catch (Refusal e) {
            status = e.status;
            body = errorBody(e);
        } catch (IOException e) {
            // The ledger cannot be written, so nothing was carried out.
            Logger.warn("cannot write the command ledger: {}", e.getMessage());
            status = 500;
            body = "{\"error\":\"the ledger can't be kept\"}".getBytes(StandardCharsets.US_ASCII);
        }
        sendResponse(status, body, requests.isKeepAlive());
    }

    private void sendResponse(int status, byte[] body, boolean keepAlive) {
        write(response(status, body, keepAlive));
        requests.releaseFields();
        if (!keepAlive) {
            close();
        }
    }

    private void handleAsync(AsyncHandler handler) {
        boolean keepAlive = requests.isKeepAlive();
        byte[] requestBody = requests.body();
        pendingBodyBytes = requestBody.length;
        requests.releaseBody();
        isResponsePending = true;
        handler.handle(requests.method(), requests.target(), requestBody, new AsyncHandler.Reply() {
            @Override
            public void reply(int status, byte[] body) {
                endpoint.runOnLoop(() -> {
                    if (isResponsePending) {
                        isResponsePending = false;
                        sendResponse(status, body, keepAlive);
                    }
                });
            }

            @Override
            public void refuse(Refusal refusal) {
                reply(refusal.status, errorBody(refusal));
            }
        });
    }

    private static ByteBuffer response(int status, byte[] body, boolean keepAlive) {
        byte[] head = ("HTTP/1.1 " + status + " x\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                + (keepAlive ? "" : "\r\nConnection: close") + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(head.length + body.length).put(head).put(body).flip();
    }
}
