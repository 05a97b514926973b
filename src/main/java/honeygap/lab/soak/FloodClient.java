package honeygap.lab.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** A client that sends input of one kind at full speed and connects again whenever the agent closes its connection. */
final class FloodClient {

    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int SEND_BUFFER_BYTES = 16_384;
    private static final long RECONNECT_PAUSE_MS = 2;
    private static final long STOPPED_MS = 1000;

    private final FloodKind kind;
    private final InetSocketAddress address;
    private final String name;
    private final BooleanSupplier isOver;
    private long writes;

    /**
     * A client of this kind.
     *
     * @param isOver whether the client has to stop
     */
    FloodClient(FloodKind kind, InetSocketAddress address, String name, BooleanSupplier isOver) {
        this.kind = kind;
        this.address = address;
        this.name = name;
        this.isOver = isOver;
    }

    /** Sends until the flood is over; returns how many writes were made. */
    long run() throws InterruptedException {
        while (!isOver.getAsBoolean()) {
            try (Socket socket = new Socket()) {
                socket.setSendBufferSize(SEND_BUFFER_BYTES);
                socket.connect(address, CONNECT_TIMEOUT_MS);
                socket.setTcpNoDelay(true);
                use(socket);
            } catch (IOException e) {
                // The agent has closed the connection, or accepts none at present.
                TimeUnit.MILLISECONDS.sleep(RECONNECT_PAUSE_MS);
            }
        }
        return writes;
    }

    private void use(Socket socket) throws IOException, InterruptedException {
        if (kind == FloodKind.RESETS) {
            socket.setSoLinger(true, 0);
            writes++;
            return;
        }
        if (kind.readsAnswers) {
            StandInThread.start("answers of " + name, () -> discardAnswers(socket));
        }
        socket.getOutputStream().write(kind.opening());
        if (kind == FloodKind.PARTIAL_STATEMENTS) {
            socket.getOutputStream().write(kind.bytes(name, writes++));
            TimeUnit.MILLISECONDS.sleep(STOPPED_MS);
            return;
        }
        while (!isOver.getAsBoolean()) {
            write(socket, kind.bytes(name, writes++));
        }
    }

    private void write(Socket socket, byte[] bytes) throws IOException {
        if (kind != FloodKind.SINGLE_BYTES) {
            socket.getOutputStream().write(bytes);
            return;
        }
        for (byte next : bytes) {
            socket.getOutputStream().write(next);
        }
    }

    private static void discardAnswers(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        byte[] buffer = new byte[SEND_BUFFER_BYTES];
        while (in.read(buffer) >= 0) {
            continue;
        }
    }
}
