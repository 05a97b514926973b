import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A minimal environment on loopback for trying out one agent by hand. {@code java example/Toy.java} runs four appliances
 * of build 1, two of build 2, the discovery service and the release desk; {@code java example/Toy.java ask 200} sends the
 * agent that many requests and counts the responses. It is no benchmark.
 */
public class Toy {

    private static final int AGENT_PORT = 16432;
    private static final int DISCOVERY_PORT = 16500;
    private static final int DESK_PORT = 16400;
    private static final int FIRST_APPLIANCE_PORT = 16601;
    private static final int APPLIANCE_COUNT = 6;
    private static final int BUILD_1_COUNT = 4;
    private static final Map<Integer, Integer> SERVED_BY_BUILD = new ConcurrentHashMap<>();
    /** Time of the first RPC by {@link System#nanoTime}, when the rollout stage begins; 0 before. */
    private static volatile long stageStart;
    private static volatile boolean released;

    private interface ConnectionHandler {
        void handle(DataInputStream in, OutputStream out) throws Exception;
    }

    public static void main(String[] args) throws Exception {
        if (args.length > 0 && args[0].equals("ask")) {
            sendRequests(args.length > 1 ? Integer.parseInt(args[1]) : 10);
            return;
        }
        for (int i = 0; i < APPLIANCE_COUNT; i++) {
            int port = FIRST_APPLIANCE_PORT + i;
            listen(port, (in, out) -> serveAppliance(port, in, out));
        }
        listen(DISCOVERY_PORT, Toy::serveDiscovery);
        listen(DESK_PORT, Toy::serveDesk);
        System.out.println("appliances, list and desk are up; end with Ctrl-C");
        Thread.currentThread().join();
    }

    private static void listen(int port, ConnectionHandler handler) throws IOException {
        ServerSocket server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        startThread(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                startThread(() -> {
                    try (socket) {
                        handler.handle(new DataInputStream(socket.getInputStream()), socket.getOutputStream());
                    }
                });
            }
        });
    }

    private interface Task {
        void run() throws Exception;
    }

    private static void startThread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The peer closed the connection.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static byte[] message(char type, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
        return ByteBuffer.allocate(5 + bytes.length).put((byte) type).putInt(4
                + bytes.length).put(bytes).array();
    }

    private static int build(int port) {
        return port < FIRST_APPLIANCE_PORT + BUILD_1_COUNT ? 1 : 2;
    }

    private static void serveAppliance(int port, DataInputStream in, OutputStream out) throws Exception {
        in.readNBytes(in.readInt() - 4);
        out.write(message('R', "\0\0\0\0"));
        out.write(message('Z', "I"));
        while (in.readUnsignedByte() == 'Q') {
            in.readNBytes(in.readInt() - 4);
            Thread.sleep(20);
            stageStart = stageStart == 0 ? System.nanoTime() : stageStart;
            SERVED_BY_BUILD.merge(build(port), 1, Integer::sum);
            String value = "build " + build(port) + " at " + port;
            out.write(message('T', "\0\1content\0\0\0\0\0\0\0\0\0\0\21\377\377\377\377\377\377\0\1"));
            out.write(message('D', "\0\1\0\0\0" + (char) value.length() + value));
            out.write(message('C', "SELECT 1\0"));
            out.write(message('Z', "I"));
        }
    }

    private static String readRequest(DataInputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) in.readUnsignedByte());
        }
        int at = head.indexOf("Content-Length: ");
        int length = at < 0 ? 0 : Integer.parseInt(head.substring(at + 16, head.indexOf("\r", at)));
        return head + new String(in.readNBytes(length), StandardCharsets.US_ASCII);
    }

    private static void writeChunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.write((Integer.toHexString(bytes.length) + "\r\n" + text
                + "\r\n").getBytes(StandardCharsets.UTF_8));
    }

    private static void serveDiscovery(DataInputStream in, OutputStream out) throws Exception {
        readRequest(in);
        StringBuilder entries = new StringBuilder();
        for (int i = 0; i < APPLIANCE_COUNT; i++) {
            int port = FIRST_APPLIANCE_PORT + i;
            entries.append(i == 0 ? ""
                    : ",").append("{\"name\":\"toy-").append(port).append("\",\"address\":\"127.0.0.1:")
                    .append(port).append("\",\"zone\":\"here\",\"group\":0,\"status\":\"SERVING\",\"since_ms\":0,")
                    .append("\"release\":").append(build(port)).append('}');
        }
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        writeChunk(out, "{\"index\":1,\"snapshot\":true,\"endpoints\":[" + entries + "]}\n");
        while (true) {
            Thread.sleep(2000);
            writeChunk(out, "\n");
        }
    }

    private static void serveDesk(DataInputStream in, OutputStream out) throws Exception {
        String request = readRequest(in);
        if (request.startsWith("GET")) {
            out.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
            while (true) {
                // Sent repeatedly until the first RPC arrives, because the stage has not begun before.
                writeChunk(out, "event: progress\ndata: Revision=2&Wave=0&State=" + state() + "&MaxShare=0.5&AgeMs="
                        + ageMs() + "\n\n");
                while (stageStart != 0) {
                    Thread.sleep(1000);
                    writeChunk(out, ":\n\n");
                }
                Thread.sleep(200);
            }
        }
        StringBuilder served = new StringBuilder();
        SERVED_BY_BUILD.forEach((build, count) -> served.append(", build ").append(build).append(" has served ").append(count));
        System.out.println("a vote: " + request.substring(request.lastIndexOf('\n') + 1) + served);
        // There is one stage; an agent votes "on" after it has run for fifteen seconds, which releases build 2.
        released |= request.endsWith("Decision=on");
        String body = "<?xml version=\"1.0\"?>\n<Response><entries><item><Revision>2</Revision><Wave>0</Wave>"
                + "<State>" + state() + "</State><MaxShare>0.5</MaxShare><AgeMs>" + ageMs()
                + "</AgeMs></item></entries></Response>";
        out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII));
    }

    private static String state() {
        return released ? "Healthy" : "Progressing";
    }

    private static long ageMs() {
        return stageStart == 0 ? 0 : (System.nanoTime() - stageStart) / 1_000_000;
    }

    private static void sendRequests(int count) throws Exception {
        Map<String, Integer> responses = new TreeMap<>();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), AGENT_PORT)) {
            socket.setTcpNoDelay(true);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            byte[] pairs = "user\0backend\0database\0store\0\0".getBytes(StandardCharsets.US_ASCII);
            out.write(ByteBuffer.allocate(8 + pairs.length).putInt(8
                    + pairs.length).putInt(196608).put(pairs).array());
            readResponse(in);
            for (int i = 0; i < count; i++) {
                out.write(message('Q', "SELECT content FROM kv WHERE name = 'key" + i + "' /* id=toy" + i
                        + ",c=look,t=acme,d=500 */\0"));
                responses.merge(readResponse(in), 1, Integer::sum);
            }
        } catch (EOFException e) {
            System.out.println("the agent has closed the connection");
        }
        responses.forEach((response, times) -> System.out.println(times + " x " + response));
    }

    /** Reads up to the ready message; returns the value or the error code. */
    private static String readResponse(DataInputStream in) throws IOException {
        String response = "";
        while (true) {
            char type = (char) in.readUnsignedByte();
            String body = new String(in.readNBytes(in.readInt() - 4), StandardCharsets.ISO_8859_1);
            if (type == 'Z') {
                return response;
            }
            if (type == 'D') {
                response = body.substring(6);
            } else if (type == 'E') {
                response = "error " + body.substring(body.indexOf("\0C") + 2, body.indexOf("\0M"));
            }
        }
    }
}
