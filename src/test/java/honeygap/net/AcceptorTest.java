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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.SocketSessions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The accept system call fails temporarily, with the errors that Linux documents. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class AcceptorTest {

    private static final String[] FAILURES = {"Too many open files in system", "Software caused connection abort",
        "No buffer space available", "Protocol error"};

    private static final class Greeter implements ConnectionHandler {

        @Override
        public void opened(IoSession session) {
            session.write(new GatheringBuffer(ByteBuffer.wrap(new byte[] {'x'})));
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

    /** Ten failures in a row delay a client by a fraction of the second that MINA pauses after a single one. */
    @Test
    void acceptCallFailsTemporarily() throws Exception {
        Loop loop = new Loop();
        AtomicInteger calls = new AtomicInteger();
        int failures = 10;
        loop.start();
        InetSocketAddress address = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10,
                (executor, pool) -> new Acceptor(loop, executor, pool, 10) {
                    @Override
                    NioSession acceptFromSystem(IoProcessor<NioSession> processor, ServerSocketChannel handle)
                            throws Exception {
                        int call = calls.getAndIncrement();
                        if (call < failures) {
                            throw new SocketException(FAILURES[call % FAILURES.length]);
                        }
                        return super.acceptFromSystem(processor, handle);
                    }
                }, Greeter::new);
        long start = System.nanoTime();
        assertEquals('x', readByte(address));
        long tookMs = (System.nanoTime() - start) / 1_000_000;
        assertEquals(failures, loop.acceptFailures());
        assertTrue(tookMs < 1000, "served after " + tookMs + " ms");
        loop.close();
    }

    /** Slots are released when connections close: more clients than slots, one after another, are all served. */
    @Test
    void slotsAreReleased() throws Exception {
        Loop loop = new Loop();
        loop.start();
        InetSocketAddress address = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10, 2,
                Greeter::new);
        for (int i = 0; i < 20; i++) {
            assertEquals('x', readByte(address), "client " + i);
        }
        loop.close();
    }

    /** A connection that was closed before the loop opened it is counted, is no internal fault, and keeps no slot. */
    @Test
    void connectionIsClosedBeforeItIsOpened() throws Exception {
        Loop loop = new Loop();
        long faults = Loop.faultCount();
        AtomicInteger calls = new AtomicInteger();
        loop.start();
        InetSocketAddress address = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10,
                (executor, pool) -> new Acceptor(loop, executor, pool, 1) {
                    @Override
                    NioSession acceptFromSystem(IoProcessor<NioSession> processor, ServerSocketChannel handle)
                            throws Exception {
                        NioSession session = super.acceptFromSystem(processor, handle);
                        if (calls.getAndIncrement() == 0) {
                            SocketSessions.channel(session).close();
                        }
                        return session;
                    }
                }, Greeter::new);
        assertEquals(-1, readByte(address));
        assertEquals('x', readByte(address));
        assertEquals(1, loop.closedBeforeOpened());
        assertEquals(0, loop.acceptedNotOpened());
        assertEquals(faults, Loop.faultCount());
        loop.close();
    }

    /** Connections that were reset while they waited in the accept queue take no slot from those behind them. */
    @Test
    void resetConnectionsTakeNoSlot() throws Exception {
        Loop loop = new Loop();
        loop.start();
        CountDownLatch resume = new CountDownLatch(1);
        InetSocketAddress address = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 100,
                (executor, pool) -> new Acceptor(loop, executor, pool, 1) {
                    @Override
                    NioSession acceptFromSystem(IoProcessor<NioSession> processor, ServerSocketChannel handle)
                            throws Exception {
                        resume.await();
                        return super.acceptFromSystem(processor, handle);
                    }
                }, Greeter::new);
        for (int i = 0; i < 50; i++) {
            Socket reset = new Socket(address.getAddress(), address.getPort());
            reset.setSoLinger(true, 0);
            reset.close();
        }
        resume.countDown();
        assertEquals('x', readByte(address));
        assertEquals(50, loop.closedBeforeAccepted());
        loop.close();
    }

    private static int readByte(InetSocketAddress address) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(20_000);
            return socket.getInputStream().read();
        }
    }
}
