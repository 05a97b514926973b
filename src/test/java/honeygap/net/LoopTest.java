package honeygap.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.mina.core.session.IoSession;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LoopTest {

    /**
     * An exception or error in a handler is counted and closes its connection; the next connection is served and
     * timers keep running.
     */
    @ParameterizedTest
    @ValueSource(classes = {IllegalStateException.class, StackOverflowError.class, OutOfMemoryError.class})
    void faults(Class<? extends Throwable> kind) throws Exception {
        long faults = Loop.faultCount();
        Loop loop = new Loop();
        AtomicInteger connections = new AtomicInteger();
        loop.start(new Loop.Stepper() {
            @Override
            public void startIteration(long now) {
            }

            @Override
            public boolean step() {
                return false;
            }
        });
        assertTrue(timerFires(loop), "a timer before any connection");
        InetSocketAddress address = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10, 10,
                () -> new Echo(connections.getAndIncrement() == 0 ? kind : null));
        assertEquals(-1, echo(address));
        assertTrue(timerFires(loop), "a timer after the only connection");
        assertEquals('x', echo(address));
        assertEquals(faults + 1, Loop.faultCount());
        loop.close();
    }

    /**
     * Guards against a loop that lives on without its I/O processor: MINA lets an error that is thrown outside of the
     * handlers end it, and starts no other one.
     */
    @Test
    void errorOfTheProcessorEndsNoConnectionButItsOwn() throws Exception {
        Loop loop = new Loop();
        AtomicInteger connections = new AtomicInteger();
        loop.start();
        InetSocketAddress address = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10, 10, () -> {
            if (connections.getAndIncrement() == 1) {
                throw new OutOfMemoryError("for the test");
            }
            return new Echo(null);
        });
        try (Socket before = new Socket(address.getAddress(), address.getPort());
                Socket failing = new Socket(address.getAddress(), address.getPort())) {
            failing.getOutputStream().write('x');
            before.setSoTimeout(10_000);
            before.getOutputStream().write('x');
            assertEquals('x', before.getInputStream().read());
            assertEquals('x', echo(address));
        }
        loop.close();
    }

    /** Guards against a fault whose report fails as well, for want of memory, and then ends the loop's thread. */
    @Test
    void reportOfAFaultNeverFails() {
        long faults = Loop.faultCount();
        Loop.reportFault(new IllegalStateException() {

            private static final long serialVersionUID = 1;

            @Override
            public String getMessage() {
                throw new OutOfMemoryError("for the test");
            }
        });
        assertEquals(faults + 1, Loop.faultCount());
    }

    private static boolean timerFires(Loop loop) throws InterruptedException {
        CountDownLatch fired = new CountDownLatch(1);
        loop.post(() -> loop.schedule(loop.now() + 10, fired::countDown));
        return fired.await(10, TimeUnit.SECONDS);
    }

    private static int echo(InetSocketAddress address) throws Exception {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write('x');
            return socket.getInputStream().read();
        }
    }

    private static final class Echo implements ConnectionHandler {

        private final Class<? extends Throwable> fault;
        private IoSession session;

        Echo(Class<? extends Throwable> fault) {
            this.fault = fault;
        }

        @Override
        public void opened(IoSession session) {
            this.session = session;
        }

        @Override
        public void unreachable() {
        }

        @Override
        public void received(ByteBuffer bytes) {
            if (fault == IllegalStateException.class) {
                throw new IllegalStateException("for the test");
            }
            if (fault == StackOverflowError.class) {
                throw new StackOverflowError("for the test");
            }
            if (fault == OutOfMemoryError.class) {
                throw new OutOfMemoryError("for the test");
            }
            session.write(new GatheringBuffer(bytes));
        }

        @Override
        public void written() {
        }

        @Override
        public void closed() {
        }
    }
}
