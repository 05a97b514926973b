package honeygap.lab.soak;

import honeygap.net.pg.PgMessages;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;

/** A client of one agent that sends requests sequentially, reusing its connection while that is open. */
final class SoakClient {

    private static final long PAUSE_MS = 40;
    private static final long READ_TIMEOUT_MS = 8000;
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final long RECONNECT_PAUSE_MS = 100;
    private static final double DISCONNECT_PROBABILITY = 0.03;
    private static final long MAX_DISCONNECT_DELAY_MS = 15;
    /** Probability that a client sends several large requests in line and closes its connection. */
    private static final double LEAVE_IN_LINE_PROBABILITY = 0.01;
    private static final int REQUESTS_LEFT_IN_LINE = 4;
    private static final int VALUE_LEFT_IN_LINE_BYTES = 8192;
    private static final int MAX_LEAVE_DELAY_MS = 150;
    private static final long RETURN_DELAY_MS = 20;
    private static final int KEYS = 200;
    /** Number of the client that sends its next request without a pause. */
    private static final int GREEDY_CLIENT = 1;
    /** Number of the client that pipelines two requests. */
    private static final int PIPELINING_CLIENT = 2;
    /** Probability that a new connection stays silent for a while before its startup message. */
    private static final double SILENT_PROBABILITY = 0.05;
    private static final int MAX_SILENCE_MS = 2500;
    private static final double MIN_DEADLINE_FRACTION = 0.3;

    private final int agent;
    private final int number;
    private final InetSocketAddress address;
    private final SoakRecord record;
    private final Random random;
    private final SoakLoad load;
    private final BooleanSupplier mayConnect;
    private Socket socket;
    private DataInputStream in;
    private long nextRequest;

    SoakClient(int agent, int number, InetSocketAddress address, SoakRecord record, SoakPlan plan,
            BooleanSupplier mayConnect) {
        this.agent = agent;
        this.number = number;
        this.address = address;
        this.record = record;
        load = plan.load();
        this.mayConnect = mayConnect;
        random = new Random(plan.seed() * 1_000_003 + agent * 1009L + number);
    }

    /** Sends requests until the given time. */
    void runUntil(long endTime) throws InterruptedException {
        while (record.now() < endTime) {
            try {
                if (socket == null) {
                    connect(random.nextDouble() < SILENT_PROBABILITY ? random.nextInt(MAX_SILENCE_MS) : 0);
                }
                send(number == PIPELINING_CLIENT ? 2 : 1);
                Thread.sleep(number == GREEDY_CLIENT ? 0 : 1 + random.nextInt((int) (2 * pauseMs())));
            } catch (IOException e) {
                disconnect();
                Thread.sleep(RECONNECT_PAUSE_MS);
            }
        }
        disconnect();
    }

    /** The pause grows with the number of clients, so that the total rate per agent stays about the same. */
    private long pauseMs() {
        return PAUSE_MS * Math.max(1, load.clientsPerAgent() / SoakLoad.CLIENTS_PER_AGENT);
    }

    /** Connects and stays silent for the given time before the startup message. */
    private void connect(long silentMs) throws IOException, InterruptedException {
        if (!mayConnect.getAsBoolean()) {
            throw new IOException("agent does not get new connections at present");
        }
        Socket connection = new Socket();
        try {
            connection.connect(address, CONNECT_TIMEOUT_MS);
            connection.setTcpNoDelay(true);
            connection.setSoTimeout((int) READ_TIMEOUT_MS);
            in = new DataInputStream(connection.getInputStream());
            Thread.sleep(silentMs);
            write(connection, PgMessages.startupMessage());
            readAnswer();
        } catch (IOException e) {
            connection.close();
            throw e;
        }
        socket = connection;
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

    private static void write(Socket target, ByteBuffer message) throws IOException {
        byte[] bytes = new byte[message.remaining()];
        message.duplicate().get(bytes);
        OutputStream out = target.getOutputStream();
        out.write(bytes);
    }

    /** A request without an answer so far. */
    private record Request(String id, ByteBuffer query, long deadline) { }

    private Request createRequest() {
        return createRequest(0);
    }

    private Request createRequest(int valueBytes) {
        SoakMethod method = SoakMethod.values()[random.nextInt(SoakMethod.values().length)];
        String id = String.format("%02x-%x-%x", agent, number, nextRequest++);
        String key = "k" + random.nextInt(KEYS);
        double fraction = MIN_DEADLINE_FRACTION + (1 - MIN_DEADLINE_FRACTION) * random.nextDouble();
        long timeMs = (long) (fraction * load.deadlineMs().get(method));
        long now = record.now();
        record.sent.put(id, new SoakRecord.SentRequest(id, agent, method, now, timeMs));
        String statement = valueBytes == 0 ? "SELECT content FROM kv WHERE name = '" + key + "'"
                : "INSERT INTO kv (name, content) VALUES ('" + key + "', '\\x" + "61".repeat(valueBytes) + "') RETURNING content";
        return new Request(id, PgMessages.query(statement + " /* id=" + id + ",c="
                + method.label + ",t=acme,d=" + timeMs + ",k=" + key + " */"), now + timeMs);
    }

    /** Sends the given number of requests back to back and reads their answers. */
    private void send(int count) throws IOException, InterruptedException {
        if (random.nextDouble() < LEAVE_IN_LINE_PROBABILITY) {
            leaveInLine();
            return;
        }
        ArrayDeque<Request> unanswered = new ArrayDeque<>();
        for (int i = 0; i < count; i++) {
            unanswered.add(createRequest());
        }
        if (count == 1 && random.nextDouble() < DISCONNECT_PROBABILITY) {
            write(socket, unanswered.peek().query());
            disconnectEarly(unanswered.peek().id());
            return;
        }
        try {
            for (Request request : unanswered) {
                write(socket, request.query());
            }
            while (!unanswered.isEmpty()) {
                recordAnswer(unanswered.peek().id());
                unanswered.remove();
                if (!unanswered.isEmpty()) {
                    record.sent.computeIfPresent(unanswered.peek().id(), (id, sent) -> sent.withSentAt(record.now()));
                }
            }
        } catch (IOException e) {
            disconnect();
            for (Request request : unanswered) {
                resend(request);
            }
        }
    }

    /**
     * Resends a request once on a new connection; the agent may have closed the old one before it read the request.
     */
    private void resend(Request request) throws InterruptedException {
        disconnect();
        try {
            if (record.now() > request.deadline()) {
                throw new IOException("deadline of the request has passed");
            }
            connect(0);
        } catch (IOException e) {
            record.completions.add(new SoakRecord.Completion(request.id(), SoakRecord.Ending.CLOSED, record.now(), ""));
            return;
        }
        record.resends.put(request.id(), new SoakRecord.Resend(request.id(), record.now()));
        try {
            write(socket, request.query());
            recordAnswer(request.id());
        } catch (IOException e) {
            disconnect();
            record.completions.add(new SoakRecord.Completion(request.id(), SoakRecord.Ending.UNANSWERED, record.now(),
                    ""));
        }
    }

    /** Sends large requests in line, closes the connection, and comes again with the first of them. */
    private void leaveInLine() throws IOException, InterruptedException {
        Request first = createRequest(VALUE_LEFT_IN_LINE_BYTES);
        List<Request> requests = new ArrayList<>(List.of(first));
        for (int i = 1; i < REQUESTS_LEFT_IN_LINE; i++) {
            requests.add(createRequest(VALUE_LEFT_IN_LINE_BYTES));
        }
        try {
            for (Request request : requests) {
                write(socket, request.query());
            }
            Thread.sleep(random.nextInt(MAX_LEAVE_DELAY_MS));
        } finally {
            disconnect();
            for (Request request : requests) {
                record.disconnects.put(request.id(), new SoakRecord.Disconnect(request.id(), record.now()));
            }
        }
        Thread.sleep(RETURN_DELAY_MS);
        connect(0);
        record.resends.put(first.id(), new SoakRecord.Resend(first.id(), record.now()));
        write(socket, first.query());
        readAnswer();
    }

    private void disconnectEarly(String id) throws InterruptedException {
        Thread.sleep(random.nextInt((int) MAX_DISCONNECT_DELAY_MS));
        disconnect();
        record.disconnects.put(id, new SoakRecord.Disconnect(id, record.now()));
    }

    private void recordAnswer(String id) throws IOException {
        String answer = readAnswer();
        SoakRecord.Ending ending = answer.startsWith("D") ? SoakRecord.Ending.SERVED
                : answer.equals("E" + PgMessages.TOO_MANY_CONNECTIONS) ? SoakRecord.Ending.REFUSED : SoakRecord.Ending.FAILED;
        record.completions.add(new SoakRecord.Completion(id, ending, record.now(), answer.substring(1)));
    }

    /** Reads up to ReadyForQuery; returns D and the value, or E and the SQLSTATE code. */
    private String readAnswer() throws IOException {
        String answer = "";
        while (true) {
            char type = (char) in.readUnsignedByte();
            byte[] body = in.readNBytes(in.readInt() - 4);
            if (type == 'Z') {
                return answer;
            }
            if (type == 'D') {
                answer += "D" + new String(body, 6, body.length - 6, StandardCharsets.US_ASCII);
            } else if (type == 'E') {
                String fields = new String(body, StandardCharsets.US_ASCII);
                answer += "E" + fields.substring(fields.indexOf("\0C") + 2).split("\0", 2)[0];
            }
        }
    }

    /** Sends half a request and returns how many milliseconds pass until the agent closes the connection. */
    static long sendIncompleteRequest(InetSocketAddress address) throws IOException {
        try (Socket connection = new Socket(InetAddress.getLoopbackAddress(), address.getPort())) {
            connection.setSoTimeout((int) READ_TIMEOUT_MS);
            write(connection, PgMessages.startupMessage());
            ByteBuffer query = PgMessages.query("SELECT content FROM kv WHERE name = 'half' /* id=half,c=read,t=acme,d=900 */");
            write(connection, query.slice(0, query.remaining() / 2));
            long startNs = System.nanoTime();
            awaitClose(connection);
            return (System.nanoTime() - startNs) / 1_000_000;
        }
    }

    private static void awaitClose(Socket connection) throws IOException {
        byte[] buffer = new byte[4096];
        try {
            while (connection.getInputStream().read(buffer) >= 0) {
                continue;
            }
        } catch (SocketException e) {
            // A reset counts as a close.
        }
    }
}
