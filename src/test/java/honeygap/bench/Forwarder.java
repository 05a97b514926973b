package honeygap.bench;

import honeygap.net.GatheringBuffer;
import honeygap.net.Loop;
import honeygap.net.ConnectionHandler;
import honeygap.net.http.ResponseParser;
import honeygap.net.http.Refusal;
import honeygap.net.http.RequestParser;
import honeygap.config.Malformed;
import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.apache.mina.core.session.IoSession;

/**
 * Baseline proxy: forwards each request to a random server and returns its response, with the agent's event loop and
 * parsers but without decisions, body checks, deadlines or retries.
 */
public final class Forwarder {

    private final Loop loop = new Loop();
    private final SplittableRandom random = new SplittableRandom(1);
    private final List<InetSocketAddress> servers = new ArrayList<>();
    private final List<ArrayDeque<ServerConnection>> idle = new ArrayList<>();

    public static void main(String[] args) throws Exception {
        new Forwarder().run(args);
    }

    private void run(String[] args) throws Exception {
        for (int i = 1; i < args.length; i++) {
            servers.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(args[i])));
            idle.add(new ArrayDeque<>());
        }
        loop.start();
        loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(args[0])), 1024, 1024,
                ClientConnection::new);
        Thread.currentThread().join();
    }

    private final class ClientConnection implements ConnectionHandler {

        private final RequestParser requestParser = new RequestParser(65_536);
        private IoSession session;

        @Override
        public void opened(IoSession session) {
            this.session = session;
        }

        @Override
        public void unreachable() {
        }

        @Override
        public void received(ByteBuffer bytes) {
            requestParser.feed(bytes);
            try {
                if (requestParser.next()) {
                    int serverIndex = random.nextInt(servers.size());
                    ServerConnection connection = idle.get(serverIndex).pollLast();
                    if (connection == null) {
                        connection = new ServerConnection(serverIndex);
                        loop.connect(servers.get(serverIndex), connection);
                    }
                    connection.forward(this, ("POST " + requestParser.target() + " HTTP/1.1\r\nHost: x\r\nContent-Length: "
                            + requestParser.body().length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII),
                            requestParser.body());
                }
            } catch (Refusal e) {
                session.closeNow();
            }
        }

        void respond(int status, byte[] body) {
            session.write(new GatheringBuffer(ByteBuffer.wrap(("HTTP/1.1 " + status + " x\r\nContent-Length: " + body.length
                    + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII)), ByteBuffer.wrap(body)));
        }

        @Override
        public void written() {
        }

        @Override
        public void closed() {
        }
    }

    private final class ServerConnection implements ConnectionHandler, ResponseParser.Handler {

        private final int serverIndex;
        private final ResponseParser responseParser = new ResponseParser(this);
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private IoSession session;
        private ClientConnection client;
        private ByteBuffer[] request;
        private int status;

        ServerConnection(int serverIndex) {
            this.serverIndex = serverIndex;
        }

        void forward(ClientConnection client, byte[] head, byte[] requestBody) {
            this.client = client;
            request = new ByteBuffer[] {ByteBuffer.wrap(head), ByteBuffer.wrap(requestBody)};
            if (session != null) {
                session.write(new GatheringBuffer(request));
            }
        }

        @Override
        public void opened(IoSession session) {
            this.session = session;
            session.write(new GatheringBuffer(request));
        }

        @Override
        public void unreachable() {
            client.session.closeNow();
        }

        @Override
        public void received(ByteBuffer bytes) {
            try {
                responseParser.feed(bytes);
            } catch (Malformed e) {
                session.closeNow();
            }
        }

        @Override
        public void onHeadComplete(int status) {
            this.status = status;
        }

        @Override
        public void onData(ByteBuffer bytes) {
            while (bytes.hasRemaining()) {
                body.write(bytes.get());
            }
        }

        @Override
        public void onComplete() {
            byte[] whole = body.toByteArray();
            body.reset();
            idle.get(serverIndex).addLast(this);
            client.respond(status, whole);
        }

        @Override
        public void written() {
        }

        @Override
        public void closed() {
            idle.get(serverIndex).remove(this);
        }
    }
}
