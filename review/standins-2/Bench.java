import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the cases of the second review share: processes of the program, started with the commands of the deploy file;
 * stand-ins of appliances, discovery and release desk; a client; and the record. All addresses are on loopback.
 */
final class Bench implements AutoCloseable {

    /** The case could not run. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        CannotRun(String message) {
            super(message);
        }
    }

    interface Case {
        /** Returns whether the rule held. */
        boolean run(Bench bench, boolean trouble) throws Exception;
    }

    private static final long LIMIT_MS = 110_000;

    final Path folder;
    private final long startNanos = System.nanoTime();
    private final List<String> record = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();

    private Bench() throws IOException {
        folder = Files.createTempDirectory("honeygap-review");
    }

    /** Runs a case: exit code 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void main(String[] args, Case body) throws IOException {
        Path recordFile = Path.of(args[0]).resolve("record.txt");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Bench bench = new Bench();
        Thread watchdog = new Thread(() -> {
            sleep(LIMIT_MS);
            bench.note("the case took too long");
            bench.end(recordFile, 2);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        Runtime.getRuntime().addShutdownHook(new Thread(bench::close));
        int code;
        try {
            bench.note("trouble: " + (trouble ? "yes" : "no"));
            code = body.run(bench, trouble) ? 0 : 1;
        } catch (Exception e) {
            bench.note("could not run: " + e);
            e.printStackTrace();
            code = 2;
        }
        bench.end(recordFile, code);
    }

    private synchronized void end(Path recordFile, int code) {
        note("exit code " + code + (code == 0 ? ", the rule held" : code == 1 ? ", the rule was broken" : ""));
        close();
        try {
            synchronized (record) {
                Files.write(recordFile, record);
            }
        } catch (IOException e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(code);
    }

    /** Milliseconds since the case began. */
    double ms() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    /** Writes a line into the record; what is said on standard output as well begins with a mark. */
    void note(String text) {
        String line = String.format("%10.1f ms  %s", ms(), text);
        synchronized (record) {
            record.add(line);
        }
    }

    void say(String text) {
        note(text);
        System.out.println(text);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The peer has closed the connection.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    // Processes.

    /** The command under this name in the deploy file. */
    static String deployCommand(String name) throws IOException {
        Matcher line = Pattern.compile("(?m)^" + name + " = \"(.*?)\"(?:\\s*#.*)?$")
                .matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!line.find()) {
            throw new CannotRun("no command " + name + " in the deploy file");
        }
        return line.group(1);
    }

    /** Starts an agent with the deploy file's command and further options. */
    Process startAgent(String name, Map<String, String> environment, String options) throws IOException {
        return startProcess(name, deployCommand("run") + options, environment);
    }

    /** Starts a subcommand of the program. */
    Process startProgram(String name, String arguments) throws IOException {
        return startProcess(name, "exec java -jar target/honeygap.jar " + arguments, Map.of());
    }

    private Process startProcess(String name, String command, Map<String, String> environment) throws IOException {
        // A shell that ignores SIGHUP, as under nohup, would hand that down to the agent.
        List<String> line = new ArrayList<>(List.of("/bin/sh", "-c", command));
        if (hasDefaultSignals()) {
            line.addAll(0, List.of("env", "--default-signal=HUP"));
        }
        ProcessBuilder builder = new ProcessBuilder(line);
        builder.environment().remove("PROXY_CONFIG");
        builder.environment().putAll(environment);
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), name + ".log")));
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        note(name + " started as process " + process.pid());
        return process;
    }

    private static boolean hasDefaultSignals() throws IOException {
        try {
            return new ProcessBuilder("env", "--default-signal=HUP", "true").redirectErrorStream(true).start().waitFor() == 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Sends a signal to a process of this case. */
    void signal(Process process, String signal) throws IOException, InterruptedException {
        note("signal " + signal + " to process " + process.pid());
        if (new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor() != 0) {
            throw new CannotRun("the signal could not be sent");
        }
    }

    /** Runs a subcommand to its end; returns its output, the last line of which is its exit code. */
    String runProgram(String arguments) throws IOException, InterruptedException {
        note("runs: " + arguments);
        Process process = new ProcessBuilder("/bin/sh", "-c", "exec java -jar target/honeygap.jar " + arguments)
                .redirectErrorStream(true).start();
        synchronized (processes) {
            processes.add(process);
        }
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        int code = process.waitFor();
        output.lines().forEach(line -> note("  | " + line));
        note("  exit code " + code);
        return output + code;
    }

    String log(String name) throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    /** Waits for a condition; the case cannot run if it does not come about. */
    static void await(String what, long withinMs, Condition condition) throws Exception {
        long end = System.nanoTime() + withinMs * 1_000_000;
        while (!condition.holds()) {
            if (System.nanoTime() > end) {
                throw new CannotRun(what + " did not come about");
            }
            sleep(20);
        }
    }

    static boolean isOpen(int port) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 200);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() {
        synchronized (processes) {
            for (Process process : processes) {
                process.descendants().forEach(ProcessHandle::destroyForcibly);
                process.destroyForcibly();
            }
            for (Process process : processes) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            processes.clear();
        }
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException | java.io.UncheckedIOException e) {
            // Gone already.
        }
    }

    // Messages of PostgreSQL's protocol.

    static byte[] message(char type, byte... body) {
        return ByteBuffer.allocate(5 + body.length).put((byte) type).putInt(4 + body.length).put(body).array();
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] join(byte[]... parts) {
        int length = 0;
        for (byte[] part : parts) {
            length += part.length;
        }
        ByteBuffer all = ByteBuffer.allocate(length);
        for (byte[] part : parts) {
            all.put(part);
        }
        return all.array();
    }

    private static byte[] row(String value) {
        byte[] bytes = ascii(value);
        byte[] description = join(new byte[] {0, 1}, ascii("content"), new byte[] {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17,
            -1, -1, -1, -1, -1, -1, 0, 1});
        byte[] data = ByteBuffer.allocate(6 + bytes.length).putShort((short) 1).putInt(bytes.length).put(bytes).array();
        return join(message('T', description), message('D', data), message('C', ascii("SELECT 1\0")),
                message('Z', (byte) 'I'));
    }

    private static String field(String statement, String name) {
        Matcher field = Pattern.compile("[ ,]" + name + "=([^ ,]*)").matcher(statement);
        return field.find() ? field.group(1) : "";
    }

    // Appliances.


    /** A stand-in appliance. Connections come up late where {@link #lateness} says so. */
    final class Appliance {

        final String name;
        final int build;
        final int port;
        private final ServerSocket server;
        private final long serviceMs;
        /** From when it turns away new work, since it drains; in ms since the case began. */
        volatile double turnsAwayFromMs = Double.MAX_VALUE;

        Appliance(String name, int build, long serviceMs) throws IOException {
            this.name = name;
            this.build = build;
            this.serviceMs = serviceMs;
            server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
            port = server.getLocalPort();
            Bench.start(() -> {
                while (true) {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    Bench.start(() -> serve(socket));
                }
            });
        }

        private void serve(Socket socket) throws IOException {
            try (socket) {
                DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
                OutputStream out = socket.getOutputStream();
                in.readNBytes(in.readInt() - 4);
                long late = lateness.ms(this, connections.incrementAndGet());
                sleep(late);
                out.write(join(message('R', new byte[4]), message('Z', (byte) 'I')));
                while (true) {
                    int type = in.readUnsignedByte();
                    byte[] body = in.readNBytes(in.readInt() - 4);
                    if (type != 'Q') {
                        return;
                    }
                    double arrivedMs = ms();
                    String text = new String(body, 0, body.length - 1, StandardCharsets.ISO_8859_1);
                    if (!text.contains("/*")) {
                        out.write(text.isBlank() ? join(message('I'), message('Z', (byte) 'I'))
                                : row("1"));
                        continue;
                    }
                    String id = field(text, "id");
                    String key = text.substring(text.indexOf('\'') + 1, text.indexOf('\'', text.indexOf('\'') + 1));
                    arrivals.add(new Arrival(this, id, key, arrivedMs));
                    if (arrivedMs > turnsAwayFromMs) {
                        note(name + " (build " + build + ") got " + id + " and turns it away: draining");
                        out.write(join(message('E', ascii("SERROR\0VERROR\0C53300\0Mdraining\0\0")),
                                message('Z', (byte) 'I')));
                        continue;
                    }
                    note(name + " (build " + build + ") got " + id + ", key " + key + ", on a connection "
                            + late + " ms late");
                    sleep(serviceMs);
                    out.write(row("value of " + id));
                    answers.add(new Arrival(this, id, key, ms()));
                }
            }
        }

        /** Its entry in the list. */
        String entry(String status, long sinceMs) {
            return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"teku\",\"type\":\"m\","
                    + "\"group\":0,\"status\":\"" + status + "\",\"weight\":1.0,\"since_ms\":" + sinceMs
                    + ",\"release\":" + build + "}";
        }
    }

    /** How late, in ms, a connection to an appliance comes up; connections are counted from 1. */
    interface Lateness {
        long ms(Appliance appliance, int connection);
    }

    /** A statement at an appliance, or the moment at which it has written its answer. */
    record Arrival(Appliance appliance, String id, String key, double atMs) { }

    volatile Lateness lateness = (appliance, connection) -> 0;
    final AtomicInteger connections = new AtomicInteger();
    final List<Arrival> arrivals = java.util.Collections.synchronizedList(new ArrayList<>());
    final List<Arrival> answers = java.util.Collections.synchronizedList(new ArrayList<>());

    // HTTP, as far as discovery and the desk need it.

    /** Reads a request: its first line, and its body in the second place. */
    static String[] readRequest(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException();
            }
            head.append((char) next);
        }
        Matcher length = Pattern.compile("(?i)content-length: *([0-9]+)").matcher(head);
        byte[] body = in.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
        return new String[] {head.substring(0, head.indexOf("\r\n")), new String(body, StandardCharsets.ISO_8859_1)};
    }

    static void writeChunk(OutputStream out, String text) throws IOException {
        out.write(ascii(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
    }

    /** Discovery: a list with changes, told on watches. */
    final class Discovery {

        final int port;
        private final Map<String, String> entries = new ConcurrentHashMap<>();
        private final List<String> changes = new ArrayList<>();
        private int index = 1;
        /**
         * While it is set, calls for a watch wait too long and end with status 503. Calls of others for the whole list,
         * which stand before them, are answered in their turn.
         */
        volatile boolean crowded;
        /** Calls for a watch. */
        final AtomicInteger calls = new AtomicInteger();

        private final ServerSocket server;

        Discovery() throws IOException {
            server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
            port = server.getLocalPort();
            Bench.start(() -> {
                while (true) {
                    Socket socket = server.accept();
                    Bench.start(() -> {
                        try (socket) {
                            serve(socket);
                        }
                    });
                }
            });
        }

        synchronized void list(String name, String entry) {
            index++;
            entries.put(name, entry);
            changes.add("{\"index\":" + index + ",\"snapshot\":false,\"endpoints\":[" + entry + "]}\n");
            note("discovery at port " + port + " has version " + index + ": " + entry);
        }

        synchronized String whole() {
            return "{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":["
                    + String.join(",", new java.util.TreeMap<>(entries).values()) + "]}";
        }

        private synchronized List<String> changesFrom(int position) {
            return new ArrayList<>(changes.subList(position, changes.size()));
        }

        private void serve(Socket socket) throws IOException {
            OutputStream out = socket.getOutputStream();
            String line = readRequest(socket.getInputStream())[0];
            calls.addAndGet(line.contains("stream=1") ? 1 : 0);
            if (crowded) {
                sleep(500);
            }
            if (crowded && line.contains("stream=1")) {
                note("discovery at port " + port + " answers 503 to: " + line);
                out.write(ascii("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"));
                return;
            }
            note("discovery at port " + port + " takes: " + line);
            String list;
            int position;
            synchronized (this) {
                list = whole() + "\n";
                position = changes.size();
            }
            if (!line.contains("stream=1")) {
                out.write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list));
                return;
            }
            out.write(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
            writeChunk(out, list);
            long signAt = System.nanoTime();
            while (!isClosed) {
                for (String change : changesFrom(position)) {
                    writeChunk(out, change);
                    position++;
                    signAt = System.nanoTime();
                }
                if (System.nanoTime() - signAt > 2_000_000_000L) {
                    writeChunk(out, "\n");
                    signAt = System.nanoTime();
                }
                sleep(10);
            }
        }

        private volatile boolean isClosed;

        /** Asks for the whole list as another agent would, once each two seconds, for some time. */
        void askAsAnother(long forMs) throws IOException {
            for (long end = System.nanoTime() + forMs * 1_000_000; System.nanoTime() < end; sleep(2000)) {
                try (Socket socket = new Socket("127.0.0.1", port)) {
                    socket.getOutputStream().write(ascii("GET /registry/instances HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n"));
                    String[] answer = readRequest(socket.getInputStream());
                    note("another agent asks discovery at port " + port + ": " + answer[0] + ", "
                            + (answer[1].contains("DRAINING") ? "with" : "without") + " the drain");
                }
            }
        }

        /** It has moved: its watches end, and it takes no new connections. */
        void close() throws IOException {
            isClosed = true;
            server.close();
            note("discovery at port " + port + " has ended");
        }
    }

    /** The release desk: tells one state, and takes votes without acting on them. */
    final class Desk {

        final int port;
        private volatile String state;
        private volatile long sinceNanos = System.nanoTime();
        private volatile int version;

        Desk(String state) throws IOException {
            this.state = state;
            ServerSocket server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
            port = server.getLocalPort();
            Bench.start(() -> {
                while (true) {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    Bench.start(() -> {
                        try (socket) {
                            serve(socket);
                        }
                    });
                }
            });
        }

        /** The newest build's state, as REVISION/WAVE/STATE/SHARE. */
        void tell(String newState) {
            sinceNanos = System.nanoTime();
            state = newState;
            version++;
        }

        private long ageMs() {
            return (System.nanoTime() - sinceNanos) / 1_000_000;
        }

        private void serve(Socket socket) throws IOException {
            OutputStream out = socket.getOutputStream();
            String[] request = readRequest(socket.getInputStream());
            if (request[0].startsWith("GET /bulletin")) {
                out.write(ascii("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
                int told = -1;
                long toldNanos = 0;
                long signNanos = System.nanoTime();
                while (true) {
                    long now = System.nanoTime();
                    if (told != version || now - toldNanos > 2_000_000_000L) {
                        told = version;
                        toldNanos = now;
                        String[] s = state.split("/");
                        writeChunk(out, "event: progress\ndata: Revision=" + s[0] + "&Wave=" + s[1] + "&State=" + s[2]
                                + "&MaxShare=" + s[3] + "&AgeMs=" + ageMs() + "\n\n");
                        toldMs.putIfAbsent(s[2], ms());
                        note("the desk has told " + state);
                    }
                    if (now - signNanos > 1_000_000_000L) {
                        signNanos = now;
                        writeChunk(out, ":\n");
                    }
                    sleep(2);
                }
            }
            String[] s = state.split("/");
            String body = "<?xml version=\"1.0\"?>\n<Response><entries><item><Revision>" + s[0] + "</Revision><Wave>"
                    + s[1] + "</Wave><State>" + s[2] + "</State><MaxShare>" + s[3] + "</MaxShare><AgeMs>" + ageMs()
                    + "</AgeMs></item></entries></Response>";
            note("a vote: " + request[1] + ", answered with " + state);
            out.write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
        }

        /** When a state was first written to an agent. */
        private final Map<String, Double> toldMs = new ConcurrentHashMap<>();

        double firstToldMs(String stateName) {
            return toldMs.getOrDefault(stateName, 0.0);
        }
    }

    // Clients.

    /** A client's connection: one RPC at a time. */
    final class Client {

        private final Socket socket = new Socket();
        private final DataInputStream in;
        private final OutputStream out;

        Client(int port) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
            socket.setSoTimeout(20_000);
            in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            out = socket.getOutputStream();
            byte[] pairs = ascii("user\0backend\0database\0store\0\0");
            out.write(ByteBuffer.allocate(8 + pairs.length).putInt(8 + pairs.length).putInt(196608).put(pairs).array());
            read();
        }

        /** Sends an RPC; returns "value ..." or "error CODE". */
        String ask(String method, String id, String key, long deadlineMs) throws IOException {
            note("client sends " + id + ", " + method + ", key " + key);
            out.write(message('Q', ascii("SELECT content FROM kv WHERE name = '" + key + "' /* id=" + id + ",c=" + method
                    + ",t=acme,d=" + deadlineMs + " */\0")));
            String answer = read();
            note("client has the answer to " + id + ": " + answer);
            return answer;
        }

        /** An empty query, as the front sends it to an agent that has started. */
        void askEmpty() throws IOException {
            out.write(message('Q', (byte) 0));
            read();
        }

        private String read() throws IOException {
            String answer = "";
            while (true) {
                char type = (char) in.readUnsignedByte();
                String body = new String(in.readNBytes(in.readInt() - 4), StandardCharsets.ISO_8859_1);
                if (type == 'Z') {
                    return answer;
                }
                if (type == 'D') {
                    answer = body.substring(6);
                } else if (type == 'E') {
                    Matcher code = Pattern.compile("\0C([^\0]*)").matcher("\0" + body);
                    answer = "error " + (code.find() ? code.group(1) : "?");
                }
            }
        }

        void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // Closed already.
            }
        }
    }

    /** Waits until an agent has answered an empty query. */
    void awaitReady(int port) throws Exception {
        await("an answer of the agent at port " + port, 20_000, () -> {
            try {
                Client client = new Client(port);
                client.askEmpty();
                client.close();
                return true;
            } catch (IOException e) {
                return false;
            }
        });
        note("the agent at port " + port + " answers");
    }
}
