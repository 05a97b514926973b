package honeygap.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The system's call for a new connection fails for a moment, in the ways that Linux documents. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class AcceptorTest {

    private static final String[] FAILURES = {"Too many open files in system", "Software caused connection abort",
        "No buffer space available", "Protocol error"};

    private static final class Welcome implements Peer {

        @Override
        public void opened(IoSession session) {
            session.write(new Gathered(ByteBuffer.wrap(new byte[] {'x'})));
        }

        @Override
        public void unreachable() {
        }

        @Override
        public void received(ByteBuffer bytes) {
        }

        @Override
        public void written() {
        }

        @Override
        public void closed() {
        }
    }

    /** Ten failures in a row keep a client waiting for a fraction of the second that one of them did. */
    @Test
    void failsForAMoment() throws Exception {
        Loop loop = new Loop();
        AtomicInteger calls = new AtomicInteger();
        int failing = 10;
        loop.start();
        InetSocketAddress at = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10,
                (executor, pool) -> new Acceptor(loop, executor, pool, 10) {
                    @Override
                    NioSession acceptFromSystem(IoProcessor<NioSession> processor, ServerSocketChannel handle) throws Exception {
                        int call = calls.getAndIncrement();
                        if (call < failing) {
                            throw new SocketException(FAILURES[call % FAILURES.length]);
                        }
                        return super.acceptFromSystem(processor, handle);
                    }
                }, Welcome::new);
        long from = System.nanoTime();
        assertEquals('x', hear(at));
        long tookMs = (System.nanoTime() - from) / 1_000_000;
        assertEquals(failing, loop.acceptFailures());
        assertTrue(tookMs < 1000, "served after " + tookMs + " ms");
        loop.end();
    }

    /** Places come back when connections have gone: more clients than places, one after another, are all served. */
    @Test
    void placesComeBack() throws Exception {
        Loop loop = new Loop();
        loop.start();
        InetSocketAddress at = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10, 2,
                Welcome::new);
        for (int i = 0; i < 20; i++) {
            assertEquals('x', hear(at), "client " + i);
        }
        loop.end();
    }

    private static int hear(InetSocketAddress at) throws IOException {
        try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
            socket.setSoTimeout(20_000);
            return socket.getInputStream().read();
        }
    }
}
