package honeygap.lab;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Chooses ports for processes that listen later. */
public final class LoopbackPorts {

    /** Below the ports that Linux gives to outgoing connections, which could take the port meanwhile. */
    private static final int FIRST_PORT = 12_000;
    private static final int PORT_COUNT = 20_000;
    private static final int MAX_ATTEMPTS = 100;

    private LoopbackPorts() {
    }

    /** An address on which nobody listens. */
    public static InetSocketAddress unusedAddress() throws IOException {
        for (int attempt = 1; ; attempt++) {
            int port = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORT_COUNT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return (InetSocketAddress) socket.getLocalSocketAddress();
            } catch (IOException e) {
                if (attempt == MAX_ATTEMPTS) {
                    throw e;
                }
            }
        }
    }
}
