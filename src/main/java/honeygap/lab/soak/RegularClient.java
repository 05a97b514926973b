package honeygap.lab.soak;

import honeygap.net.pg.PgMessages;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** A client that sends one request after another with pauses, and measures how each of them ends. */
final class RegularClient {

    private static final int CONNECT_TIMEOUT_MS = 2000;
    /** A request without a final answer for this long after its deadline is lost. */
    private static final int LOST_AFTER_MS = 500;
    private static final int PAUSE_MS = 20;

    private final InetSocketAddress address;
    private final String name;
    private final Map<SoakMethod, Long> deadlineMs;
    private final Random random;
    private final FloodMeasurement measurement;
    private Socket socket;
    private DataInputStream in;
    private long requests;

    RegularClient(InetSocketAddress address, String name, Map<SoakMethod, Long> deadlineMs, long seed,
            FloodMeasurement measurement) {
        this.address = address;
        this.name = name;
        this.deadlineMs = deadlineMs;
        this.measurement = measurement;
        random = new Random(seed);
    }

    /** Sends requests until the measurement is over. */
    void run(BooleanSupplier isOver) throws InterruptedException {
        while (!isOver.getAsBoolean()) {
            SoakMethod method = SoakMethod.values()[random.nextInt(SoakMethod.values().length)];
            request(method, deadlineMs.get(method));
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS + random.nextInt(PAUSE_MS));
        }
        disconnect();
    }

    private void request(SoakMethod method, long timeoutMs) {
        String id = name + "-" + requests++;
        ByteBuffer query = PgMessages.query("SELECT content FROM kv WHERE name = 'k" + random.nextInt(200) + "' /* id=" + id
                + ",c=" + method.label + ",t=acme,d=" + timeoutMs + ",k=" + id + " */");
        long startNs = System.nanoTime();
        FloodMeasurement.Ending ending = attempt(query, startNs, timeoutMs);
        if (ending == FloodMeasurement.Ending.CLOSED) {
            measurement.countResent();
            // A close may cross the request, which is then sent once more on a new connection.
            ending = attempt(query, startNs, timeoutMs);
        }
        measurement.record(ending, (System.nanoTime() - startNs) / 1_000_000, timeoutMs);
    }

    private FloodMeasurement.Ending attempt(ByteBuffer query, long startNs, long timeoutMs) {
        try {
            if (socket == null) {
                connect();
            }
            long elapsedMs = (System.nanoTime() - startNs) / 1_000_000;
            socket.setSoTimeout((int) Math.max(1, timeoutMs + LOST_AFTER_MS - elapsedMs));
            socket.getOutputStream().write(query.array(), query.arrayOffset() + query.position(), query.remaining());
            return readAnswer();
        } catch (SocketTimeoutException e) {
            disconnect();
            return FloodMeasurement.Ending.UNANSWERED;
        } catch (IOException e) {
            disconnect();
            return FloodMeasurement.Ending.CLOSED;
        }
    }

    private void connect() throws IOException {
        Socket connection = new Socket();
        connection.connect(address, CONNECT_TIMEOUT_MS);
        connection.setTcpNoDelay(true);
        connection.setSoTimeout(CONNECT_TIMEOUT_MS);
        in = new DataInputStream(connection.getInputStream());
        socket = connection;
        ByteBuffer startup = PgMessages.startupMessage();
        connection.getOutputStream().write(startup.array(), startup.arrayOffset() + startup.position(), startup.remaining());
        readAnswer();
    }

    private void disconnect() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // The connection is unusable either way.
        }
        socket = null;
    }

    /** Reads up to ReadyForQuery. */
    private FloodMeasurement.Ending readAnswer() throws IOException {
        FloodMeasurement.Ending ending = FloodMeasurement.Ending.FAILED;
        while (true) {
            char type = (char) in.readUnsignedByte();
            byte[] body = in.readNBytes(in.readInt() - 4);
            if (type == 'Z') {
                return ending;
            }
            if (type == 'D') {
                ending = FloodMeasurement.Ending.SERVED;
            } else if (type == 'E') {
                String fields = new String(body, StandardCharsets.US_ASCII);
                ending = fields.contains("\0C" + PgMessages.TOO_MANY_CONNECTIONS) ? FloodMeasurement.Ending.REFUSED
                        : FloodMeasurement.Ending.FAILED;
            }
        }
    }
}
