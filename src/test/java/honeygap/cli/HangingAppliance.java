package honeygap.cli;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;

/** An appliance that accepts every request and never responds. */
final class HangingAppliance implements AutoCloseable {

    private static final byte[] WELCOME = {'R', 0, 0, 0, 8, 0, 0, 0, 0, 'Z', 0, 0, 0, 5, 'I'};

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final Semaphore requests = new Semaphore(0);
    private final Queue<String> statements = new ConcurrentLinkedQueue<>();

    HangingAppliance() throws IOException {
        start(() -> {
            while (true) {
                Socket socket = server.accept();
                start(() -> serve(socket));
            }
        });
    }

    private interface Task {

        void run() throws IOException;
    }

    private static void start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // Closed by the agent or the test.
            }
        }, "hanging appliance");
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            in.readNBytes(in.readInt() - Integer.BYTES);
            socket.getOutputStream().write(WELCOME);
            while (in.read() >= 0) {
                statements.add(new String(in.readNBytes(in.readInt() - Integer.BYTES), StandardCharsets.UTF_8));
                requests.release();
            }
        }
    }

    int port() {
        return server.getLocalPort();
    }

    /** Waits until this many requests have been received since the last call. */
    void awaitRequests(int count) throws InterruptedException {
        requests.acquire(count);
    }

    /** Whether a request with this id has been received. */
    boolean hasReceived(String id) {
        return statements.stream().anyMatch(statement -> statement.contains("id=" + id + ","));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
