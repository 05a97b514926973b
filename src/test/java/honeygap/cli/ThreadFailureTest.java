package honeygap.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import honeygap.net.Loop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a process that lives on, so that nobody starts it anew, after its event loop's thread has ended. */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ThreadFailureTest {

    /** A process whose event loop fails with each connection. */
    static final class FailingProcess {

        private FailingProcess() {
        }

        public static void main(String[] arguments) throws Exception {
            Loop loop = new Loop();
            loop.setThreadFailureListener(ThreadFailure::endProcess);
            loop.start();
            InetSocketAddress address = loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 10, 10, () -> {
                throw new OutOfMemoryError("for the test");
            });
            for (int i = 0; i < 10; i++) {
                new Socket(address.getAddress(), address.getPort()).getOutputStream().write('x');
                TimeUnit.MILLISECONDS.sleep(10);
            }
            TimeUnit.SECONDS.sleep(20);
        }
    }

    @Test
    void processEndsWithItsLoop() throws Exception {
        Process process = new ProcessBuilder(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m", "-cp", System.getProperty("java.class.path"), FailingProcess.class.getName()))
                .redirectErrorStream(true).start();
        String log = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(ThreadFailure.EXIT_CODE, process.waitFor(), log);
        assertTrue(log.contains("the event loop fails again and again"), log);
        assertTrue(log.contains("honeygap: a thread has failed, the process ends"), log);
    }
}
