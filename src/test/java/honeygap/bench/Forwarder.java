package honeygap.bench;

import honeygap.net.Gathered;
import honeygap.net.Loop;
import honeygap.net.Peer;
import honeygap.net.http.Answers;
import honeygap.net.http.Refusal;
import honeygap.net.http.Requests;
import honeygap.read.Malformed;
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
 * The baseline: hands each request to a server chosen at random and its answer back, on the same loop and with
 * the same parsers, with no decisions, no checks of bodies, no deadlines and no second tries.
 */
public final class Forwarder {

    private final Loop loop = new Loop();
    private final SplittableRandom random = new SplittableRandom(1);
    private final List<InetSocketAddress> servers = new ArrayList<>();
    private final List<ArrayDeque<Back>> idle = new ArrayList<>();

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
                Front::new);
        Thread.currentThread().join();
    }

    private final class Front implements Peer {

        private final Requests requests = new Requests(65_536);
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
            requests.feed(bytes);
            try {
                if (requests.next()) {
                    int at = random.nextInt(servers.size());
                    Back back = idle.get(at).pollLast();
                    if (back == null) {
                        back = new Back(at);
                        loop.connect(servers.get(at), back);
                    }
                    back.carry(this, ("POST " + requests.target() + " HTTP/1.1\r\nHost: x\r\nContent-Length: "
                            + requests.body().length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII),
                            requests.body());
                }
            } catch (Refusal e) {
                session.closeNow();
            }
        }

        void answer(int status, byte[] body) {
            session.write(new Gathered(ByteBuffer.wrap(("HTTP/1.1 " + status + " x\r\nContent-Length: " + body.length
                    + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII)), ByteBuffer.wrap(body)));
        }

        @Override
        public void written() {
        }

        @Override
        public void closed() {
        }
    }

    private final class Back implements Peer, Answers.Reader {

        private final int at;
        private final Answers answers = new Answers(this);
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private IoSession session;
        private Front front;
        private ByteBuffer[] waiting;
        private int status;

        Back(int at) {
            this.at = at;
        }

        void carry(Front front, byte[] head, byte[] request) {
            this.front = front;
            waiting = new ByteBuffer[] {ByteBuffer.wrap(head), ByteBuffer.wrap(request)};
            if (session != null) {
                session.write(new Gathered(waiting));
            }
        }

        @Override
        public void opened(IoSession session) {
            this.session = session;
            session.write(new Gathered(waiting));
        }

        @Override
        public void unreachable() {
            front.session.closeNow();
        }

        @Override
        public void received(ByteBuffer bytes) {
            try {
                answers.feed(bytes);
            } catch (Malformed e) {
                session.closeNow();
            }
        }

        @Override
        public void head(int status) {
            this.status = status;
        }

        @Override
        public void data(ByteBuffer bytes) {
            while (bytes.hasRemaining()) {
                body.write(bytes.get());
            }
        }

        @Override
        public void end() {
            byte[] whole = body.toByteArray();
            body.reset();
            idle.get(at).addLast(this);
            front.answer(status, whole);
        }

        @Override
        public void written() {
        }

        @Override
        public void closed() {
            idle.get(at).remove(this);
        }
    }
}
