package honeygap.lab.soak;

import honeygap.net.pg.Words;
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
import java.util.Random;
import java.util.function.BooleanSupplier;

/** One client of one agent: requests one after another, each on the connection that it has, or on a new one. */
final class SoakClient {

    private static final long PAUSE_MS = 40;
    private static final long LISTEN_MS = 8000;
    private static final int CONNECT_MS = 500;
    private static final long RECONNECT_PAUSE_MS = 100;
    private static final double LEAVES = 0.03;
    private static final long LEAVES_AFTER_MS = 15;
    private static final int KEYS = 200;
    /** One client of an agent sends as soon as it is answered, and one sends two requests at a time. */
    private static final int GREEDY = 1;
    private static final int PIPELINING = 2;
    /** Part of the new connections that say nothing for a while. */
    private static final double SILENT = 0.05;
    private static final int SILENT_MOST_MS = 2500;
    private static final double SHORTEST_PART_OF_DEADLINE = 0.3;

    private final int agent;
    private final int number;
    private final InetSocketAddress address;
    private final SoakRecord record;
    private final Random random;
    private final SoakLoad load;
    private final BooleanSupplier mayConnect;
    private Socket socket;
    private DataInputStream in;
    private long requests;

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

    /** Sends until then. */
    void runUntil(long end) throws InterruptedException {
        while (record.now() < end) {
            try {
                if (socket == null) {
                    connect(random.nextDouble() < SILENT ? random.nextInt(SILENT_MOST_MS) : 0);
                }
                send(number == PIPELINING ? 2 : 1);
                Thread.sleep(number == GREEDY ? 0 : 1 + random.nextInt((int) (2 * pauseMs())));
            } catch (IOException e) {
                hangUp();
                Thread.sleep(RECONNECT_PAUSE_MS);
            }
        }
        hangUp();
    }

    /** All clients of an agent together send alike, many or few. */
    private long pauseMs() {
        return PAUSE_MS * Math.max(1, load.clientsPerAgent() / SoakLoad.CLIENTS);
    }

    /** Connects, and says nothing for so long. */
    private void connect(long silentMs) throws IOException, InterruptedException {
        if (!mayConnect.getAsBoolean()) {
            throw new IOException("the front deals nobody to it now");
        }
        Socket fresh = new Socket();
        try {
            fresh.connect(address, CONNECT_MS);
            fresh.setTcpNoDelay(true);
            fresh.setSoTimeout((int) LISTEN_MS);
            in = new DataInputStream(fresh.getInputStream());
            Thread.sleep(silentMs);
            write(fresh, Words.startup());
            answer();
        } catch (IOException e) {
            fresh.close();
            throw e;
        }
        socket = fresh;
    }

    private void hangUp() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // It is over all the same.
        }
        socket = null;
    }

    private static void write(Socket to, ByteBuffer words) throws IOException {
        byte[] bytes = new byte[words.remaining()];
        words.duplicate().get(bytes);
        OutputStream out = to.getOutputStream();
        out.write(bytes);
    }

    /** One request that has no answer yet. */
    private record Request(String id, ByteBuffer query, long giveUpAt) { }

    private Request next() {
        SoakMethod method = SoakMethod.values()[random.nextInt(SoakMethod.values().length)];
        String id = String.format("%02x-%x-%x", agent, number, requests++);
        String key = "k" + random.nextInt(KEYS);
        double part = SHORTEST_PART_OF_DEADLINE + (1 - SHORTEST_PART_OF_DEADLINE) * random.nextDouble();
        long timeMs = (long) (part * load.deadlineMs().get(method));
        long at = record.now();
        record.sent.put(id, new SoakRecord.Sent(id, agent, method, at, timeMs));
        return new Request(id, Words.query("SELECT content FROM kv WHERE name = '" + key + "' /* id=" + id + ",c=" + method.word
                + ",t=acme,d=" + timeMs + ",k=" + key + " */"), at + timeMs);
    }

    /** Sends so many requests, one right behind the other, and hears their answers. */
    private void send(int many) throws IOException, InterruptedException {
        ArrayDeque<Request> open = new ArrayDeque<>();
        for (int i = 0; i < many; i++) {
            open.add(next());
        }
        if (many == 1 && random.nextDouble() < LEAVES) {
            write(socket, open.peek().query());
            leave(open.peek().id());
            return;
        }
        try {
            for (Request request : open) {
                write(socket, request.query());
            }
            while (!open.isEmpty()) {
                hear(open.peek().id());
                open.remove();
                if (!open.isEmpty()) {
                    record.sent.computeIfPresent(open.peek().id(), (id, sent) -> sent.from(record.now()));
                }
            }
        } catch (IOException e) {
            hangUp();
            for (Request request : open) {
                sendAgain(request);
            }
        }
    }

    /** A close that crosses a request which was not read: it is sent once more, on a new connection. */
    private void sendAgain(Request request) throws InterruptedException {
        hangUp();
        try {
            if (record.now() > request.giveUpAt()) {
                throw new IOException("nobody waits any more");
            }
            connect(0);
        } catch (IOException e) {
            record.ended.add(new SoakRecord.Ended(request.id(), SoakRecord.Ending.CLOSED, record.now(), ""));
            return;
        }
        record.sentAgain.put(request.id(), new SoakRecord.SentAgain(request.id(), record.now()));
        try {
            write(socket, request.query());
            hear(request.id());
        } catch (IOException e) {
            hangUp();
            record.ended.add(new SoakRecord.Ended(request.id(), SoakRecord.Ending.UNANSWERED, record.now(), ""));
        }
    }

    private void leave(String id) throws InterruptedException {
        Thread.sleep(random.nextInt((int) LEAVES_AFTER_MS));
        hangUp();
        record.left.put(id, new SoakRecord.Left(id, record.now()));
    }

    private void hear(String id) throws IOException {
        String heard = answer();
        SoakRecord.Ending ending = heard.startsWith("D") ? SoakRecord.Ending.SERVED
                : heard.equals("E" + Words.TOO_MANY) ? SoakRecord.Ending.REFUSED : SoakRecord.Ending.FAILED;
        record.ended.add(new SoakRecord.Ended(id, ending, record.now(), heard.substring(1)));
    }

    /** Up to ready: D and the value, or E and the code. */
    private String answer() throws IOException {
        String heard = "";
        while (true) {
            char type = (char) in.readUnsignedByte();
            byte[] body = in.readNBytes(in.readInt() - 4);
            if (type == 'Z') {
                return heard;
            }
            if (type == 'D') {
                heard += "D" + new String(body, 6, body.length - 6, StandardCharsets.US_ASCII);
            } else if (type == 'E') {
                String words = new String(body, StandardCharsets.US_ASCII);
                heard += "E" + words.substring(words.indexOf("\0C") + 2).split("\0", 2)[0];
            }
        }
    }

    /** A client that stops in the middle of a request and stays; how long it waited for an error or a close, in milliseconds. */
    static long halfRequest(InetSocketAddress address) throws IOException {
        try (Socket half = new Socket(InetAddress.getLoopbackAddress(), address.getPort())) {
            half.setSoTimeout((int) LISTEN_MS);
            write(half, Words.startup());
            ByteBuffer query = Words.query("SELECT content FROM kv WHERE name = 'half' /* id=half,c=read,t=acme,d=900 */");
            write(half, query.slice(0, query.remaining() / 2));
            long from = System.nanoTime();
            awaitClose(half);
            return (System.nanoTime() - from) / 1_000_000;
        }
    }

    private static void awaitClose(Socket half) throws IOException {
        byte[] rest = new byte[4096];
        try {
            while (half.getInputStream().read(rest) >= 0) {
                continue;
            }
        } catch (SocketException e) {
            // A reset is a close as well.
        }
    }
}
