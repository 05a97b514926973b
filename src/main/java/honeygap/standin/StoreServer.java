package honeygap.standin;

import honeygap.capture.generator.TrafficGenerator;
import honeygap.net.pg.FrameDecoder;
import honeygap.net.pg.Statement;
import honeygap.net.pg.PgMessages;
import honeygap.config.Malformed;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicLong;

/** A fake appliance for trying out an agent: answers each statement with a value derived from its key. */
public final class StoreServer implements AutoCloseable {

    private final ServerSocket server;
    private final AtomicLong served = new AtomicLong();
    private volatile long delayMs;

    /** Starts the server; port 0 selects any free port. */
    public StoreServer(InetSocketAddress address) throws IOException {
        server = new ServerSocket();
        server.bind(address, 1024);
        startThread(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                startThread(() -> serve(socket));
            }
        });
    }

    private interface Task {
        void run() throws IOException, Malformed;
    }

    private static void startThread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | Malformed e) {
                // The peer closed the connection or sent malformed data.
            }
        }, "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    public long served() {
        return served.get();
    }

    public void setDelay(long ms) {
        delayMs = ms;
    }

    private void serve(Socket socket) throws IOException, Malformed {
        try (socket) {
            InputStream in = socket.getInputStream();
            FrameDecoder frames = new FrameDecoder(1 << 18);
            Statement statement = new Statement();
            byte[] buffer = new byte[1 << 14];
            boolean isStarted = false;
            for (int length = in.read(buffer); length > 0; length = in.read(buffer)) {
                frames.feed(ByteBuffer.wrap(buffer.clone(), 0, length));
                while (isStarted ? frames.next() : frames.nextUntyped(10_000)) {
                    if (!isStarted) {
                        isStarted = true;
                        write(socket, PgMessages.startupResponse());
                    } else if (frames.type() == 'Q') {
                        boolean isRead = statement.parse(frames.body());
                        sleep();
                        served.incrementAndGet();
                        write(socket, isRead ? TrafficGenerator.rowResponse(valueOf(statement.key())) : PgMessages.emptyQueryResponse());
                    }
                }
            }
        }
    }

    private static String valueOf(String key) {
        boolean isGeneratedKey = key.matches("[0-9a-f]{16}");
        return TrafficGenerator.value(key, isGeneratedKey ? 2 * TrafficGenerator.valueLength(key) : 32);
    }

    private void sleep() {
        try {
            Thread.sleep(delayMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void write(Socket socket, ByteBuffer bytes) throws IOException {
        byte[] copy = new byte[bytes.remaining()];
        bytes.duplicate().get(copy);
        socket.getOutputStream().write(copy);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
