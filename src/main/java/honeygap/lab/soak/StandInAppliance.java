package honeygap.lab.soak;

import honeygap.capture.generator.TrafficGenerator;
import honeygap.net.pg.FrameDecoder;
import honeygap.net.pg.Statement;
import honeygap.net.pg.PgMessages;
import honeygap.config.Malformed;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in for an appliance that records the requests that it receives and applies the faults of the run. */
final class StandInAppliance implements AutoCloseable {

    private static final long WORK_MS = 10;
    private static final long REPEAT_DELAY_MS = 5;
    private static final long MAX_REPEAT_DELAY_MS = 10;
    private static final int BACKLOG = 512;
    /** Error code with which a draining appliance answers a probe. */
    private static final String SQLSTATE_CANNOT_CONNECT_NOW = "57P03";

    final int number;
    final int zone;
    private final SoakRecord record;
    private final InetSocketAddress address;
    private final Set<FaultKind> faults = EnumSet.noneOf(FaultKind.class);
    private final Set<Socket> openConnections = ConcurrentHashMap.newKeySet();
    /** Time of the last answer by idempotency key; repeats within the window have no effect. */
    private final Map<String, Long> answeredKeys = new ConcurrentHashMap<>();
    private ServerSocket server;
    private volatile int restarts;
    private volatile boolean isDraining;
    volatile int build;
    /** Wall-clock time of the process start in milliseconds; 0 if it started long before the run. */
    volatile long sinceMs;

    StandInAppliance(int number, int zone, int build, SoakRecord record) throws IOException {
        this.number = number;
        this.zone = zone;
        this.build = build;
        this.record = record;
        server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        address = (InetSocketAddress) server.getLocalSocketAddress();
        startAccepting(server, restarts);
    }

    InetSocketAddress address() {
        return address;
    }

    private void startAccepting(ServerSocket listener, int processRestarts) {
        StandInThread.start("appliance " + number, () -> {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                openConnections.add(socket);
                StandInThread.start("appliance " + number, () -> {
                    try (socket) {
                        readRequests(socket, processRestarts);
                    } catch (Malformed e) {
                        throw new IOException(e);
                    } finally {
                        openConnections.remove(socket);
                    }
                });
            }
        });
    }

    synchronized void setFault(FaultKind kind, boolean isOn) {
        if (isOn) {
            faults.add(kind);
        } else {
            faults.remove(kind);
        }
    }

    private synchronized boolean hasFault(FaultKind kind) {
        return faults.contains(kind);
    }

    void drain() {
        isDraining = true;
    }

    /** Simulates the end of the process: nothing listens at its address any more. */
    void stop() throws IOException {
        server.close();
        closeConnections();
    }

    void closeConnections() throws IOException {
        for (Socket socket : Set.copyOf(openConnections)) {
            socket.close();
        }
    }

    /** Simulates the start of another process at the same address. */
    void restart(int newBuild, long wallMs) throws IOException {
        build = newBuild;
        sinceMs = wallMs;
        isDraining = false;
        answeredKeys.clear();
        restarts++;
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(address, BACKLOG);
        startAccepting(server, restarts);
    }

    private void readRequests(Socket socket, int processRestarts) throws IOException, Malformed, InterruptedException {
        InputStream in = socket.getInputStream();
        FrameDecoder frames = new FrameDecoder(1 << 18);
        byte[] buffer = new byte[1 << 14];
        boolean isStarted = false;
        long firstByteAt = record.now();
        for (int count = in.read(buffer); count > 0; count = in.read(buffer)) {
            long readAt = record.now();
            firstByteAt = frames.bufferedBytes() == 0 ? readAt : firstByteAt;
            frames.feed(ByteBuffer.wrap(buffer.clone(), 0, count));
            while (isStarted ? frames.next() : frames.nextUntyped(10_000)) {
                if (!isStarted) {
                    isStarted = true;
                    write(socket, PgMessages.startupResponse());
                } else if (frames.type() == 'Q' && !handleRequest(socket, frames.body(), processRestarts, firstByteAt)) {
                    return;
                }
            }
        }
    }

    /** Handles one request; returns false when the connection has to be closed. */
    private boolean handleRequest(Socket socket, ByteBuffer body, int processRestarts, long firstByteAt)
            throws IOException, InterruptedException {
        Statement statement = new Statement();
        if (!statement.parse(body)) {
            write(socket, isDraining ? PgMessages.error(SQLSTATE_CANNOT_CONNECT_NOW, "draining", 0) : TrafficGenerator.rowResponse("1"));
            return true;
        }
        boolean refuses = isDraining || hasFault(FaultKind.APPLIANCE_REFUSES);
        SoakMethod method = SoakMethod.ofLabel(statement.method());
        boolean isKnown = method == SoakMethod.BOOK && isAnswered(statement.key());
        record.arrivals.add(new SoakRecord.Arrival(statement.id(), number, processRestarts, build, zone, firstByteAt,
                record.now(), statement.timeoutMs(), !refuses && !isKnown));
        if (refuses) {
            write(socket, PgMessages.error(PgMessages.TOO_MANY_CONNECTIONS, "no place", 0));
            return true;
        }
        if (hasFault(FaultKind.APPLIANCE_RESETS)) {
            socket.setSoLinger(true, 0);
            return false;
        }
        if (hasFault(FaultKind.APPLIANCE_HANGS)) {
            socket.getInputStream().read();
            return false;
        }
        Thread.sleep(WORK_MS);
        answeredKeys.put(statement.key(), record.now());
        writeAnswer(socket, TrafficGenerator.rowResponse(statement.id()));
        return true;
    }

    private boolean isAnswered(String key) {
        Long at = answeredKeys.get(key);
        return at != null && record.now() < at + SoakMethod.TOKEN_WINDOW_MS;
    }

    private void writeAnswer(Socket socket, ByteBuffer row) throws IOException, InterruptedException {
        if (hasFault(FaultKind.APPLIANCE_DRIBBLES)) {
            byte[] bytes = bytes(row);
            for (int i = 0; i < bytes.length; i += 16) {
                socket.getOutputStream().write(bytes, i, Math.min(16, bytes.length - i));
                Thread.sleep(1);
            }
            return;
        }
        write(socket, row);
        if (hasFault(FaultKind.APPLIANCE_REPEATS)) {
            long wroteAt = record.now();
            Thread.sleep(REPEAT_DELAY_MS);
            // Skips the repeat if this thread was woken too late, since the repeat must follow within milliseconds.
            if (record.now() <= wroteAt + MAX_REPEAT_DELAY_MS) {
                write(socket, row);
            }
        }
    }

    private static byte[] bytes(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.duplicate().get(bytes);
        return bytes;
    }

    private static void write(Socket socket, ByteBuffer buffer) throws IOException {
        socket.getOutputStream().write(bytes(buffer));
    }

    @Override
    public void close() throws IOException {
        stop();
    }
}
