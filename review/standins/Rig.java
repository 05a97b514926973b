import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins of a small deployment on loopback: appliances, discovery, the release desk and clients, as the protocol page
 * describes them, and one agent in a process of its own, started by the run command of the deploy file.
 */
final class Rig implements Closeable {

    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final long STARTED = System.nanoTime();

    final Path root;
    final Path folder;
    final boolean trouble;
    private final PrintWriter record;
    final List<Closeable> open = new CopyOnWriteArrayList<>();

    /** The record goes to the case's folder, all other files to a temporary folder that is deleted at the end. */
    Rig(String caseNumber) throws IOException {
        root = Path.of(System.getProperty("review.root")).toAbsolutePath();
        trouble = !"0".equals(System.getenv("TROUBLE"));
        folder = Files.createTempDirectory("review-" + caseNumber + "-");
        record = new PrintWriter(Files.newBufferedWriter(root.resolve("review/" + caseNumber + "/record.txt")));
        note("case " + caseNumber + ", TROUBLE=" + (trouble ? 1 : 0));
    }

    private int agentPort;

    int agentPort() {
        return agentPort;
    }

    /** Milliseconds since the start of this program. */
    static double now() {
        return (System.nanoTime() - STARTED) / 1e6;
    }

    /** Writes a line to the record. */
    synchronized void note(String text) {
        record.printf("%10.1f %s%n", now(), text);
        record.flush();
    }

    /** Writes a line to the record and to standard output. */
    void say(String text) {
        note(text);
        System.out.println(text);
    }

    static void sleep(double ms) {
        try {
            TimeUnit.MICROSECONDS.sleep(Math.max(0, (long) (1000 * ms)));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    interface Task {
        void run() throws Exception;
    }

    /** Runs a task on a daemon thread; a closed connection ends it. */
    static Thread start(Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException e) {
                // The peer, or this program, has closed the connection.
            } catch (Exception e) {
                e.printStackTrace();
            }
        }, "stand-in", 1 << 18);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Serving {
        void serve(Socket socket) throws Exception;
    }

    /** Listens on a free port and serves each connection on a thread of its own. */
    ServerSocket listen(Serving serving) throws IOException {
        ServerSocket server = new ServerSocket(0, 1024, LOOPBACK);
        open.add(server);
        start(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                start(() -> {
                    try (socket) {
                        serving.serve(socket);
                    } finally {
                        open.remove(socket);
                    }
                });
            }
        });
        return server;
    }

    /** A port that is free now, for the agent to listen on. */
    static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, LOOPBACK)) {
            return probe.getLocalPort();
        }
    }

    @Override
    public void close() throws IOException {
        for (Closeable each : open) {
            try {
                each.close();
            } catch (IOException e) {
                note("close: " + e.getMessage());
            }
        }
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
        record.close();
    }

    // ---------------------------------------------------------------- PostgreSQL wire protocol

    static byte[] message(char type, byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int length = 4;
        for (byte[] part : parts) {
            length += part.length;
        }
        if (type != 0) {
            out.write(type);
        }
        out.writeBytes(int32(length));
        for (byte[] part : parts) {
            out.writeBytes(part);
        }
        return out.toByteArray();
    }

    static byte[] int32(int value) {
        return new byte[] {(byte) (value >> 24), (byte) (value >> 16), (byte) (value >> 8), (byte) value};
    }

    static byte[] text(String value) {
        return (value + '\0').getBytes(StandardCharsets.UTF_8);
    }

    static byte[] join(byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            out.writeBytes(part);
        }
        return out.toByteArray();
    }

    static final byte[] STARTUP = message((char) 0, int32(196608), text("user\0backend\0database\0store\0"));
    static final byte[] READY = message('Z', new byte[] {'I'});
    static final byte[] WELCOME = join(message('R', int32(0)), message('S', text("server_version\00016.0")),
            message('K', int32(1), int32(1)), READY);

    static byte[] query(String sql) {
        return message('Q', text(sql));
    }

    static byte[] error(String code, String reason) {
        return join(message('E', text("SERROR"), text("C" + code), text("M" + reason), new byte[1]), READY);
    }

    /** An answer of one row with one binary value. */
    static byte[] row(byte[] value) {
        byte[] description = join(new byte[] {0, 1}, text("content"), int32(0), new byte[] {0, 0}, int32(17),
                new byte[] {(byte) 0xff, (byte) 0xff}, int32(-1), new byte[] {0, 1});
        return join(message('T', description), message('D', new byte[] {0, 1}, int32(value.length), value),
                message('C', text("SELECT 1")), READY);
    }

    record Frame(char type, byte[] body) {
        String string() {
            int end = body.length;
            while (end > 0 && body[end - 1] == 0) {
                end--;
            }
            return new String(body, 0, end, StandardCharsets.UTF_8);
        }

        /** The field of an error response with this letter. */
        String field(char letter) {
            for (String field : new String(body, StandardCharsets.UTF_8).split("\0")) {
                if (!field.isEmpty() && field.charAt(0) == letter) {
                    return field.substring(1);
                }
            }
            return "";
        }
    }

    static Frame read(DataInputStream in, boolean typed) throws IOException {
        char type = typed ? (char) in.readUnsignedByte() : 0;
        byte[] body = new byte[in.readInt() - 4];
        in.readFully(body);
        return new Frame(type, body);
    }

    // ---------------------------------------------------------------- appliances

    /** An attempt as an appliance received it: when its last byte had arrived. */
    record Attempt(double at, String id, String method, String name, long d, Appliance appliance, int build) {
    }

    final List<Attempt> attempts = new CopyOnWriteArrayList<>();
    private static final Pattern STATEMENT = Pattern.compile("(?s)^(SELECT|INSERT) .*?'([^']*)'.*/\\*(.*)\\*/\\s*$");

    static Map<String, String> comment(String sql) {
        Map<String, String> fields = new LinkedHashMap<>();
        Matcher matcher = STATEMENT.matcher(sql);
        if (matcher.matches()) {
            fields.put("name", matcher.group(2));
            for (String field : matcher.group(3).strip().split(",")) {
                int equals = field.indexOf('=');
                if (equals > 0) {
                    fields.put(field.substring(0, equals).strip(), field.substring(equals + 1).strip());
                }
            }
        }
        return fields;
    }

    /** An appliance that answers every statement with a value made for it. */
    final class Appliance {

        final String name;
        final String zone;
        final int build;
        final long sinceMs;
        final ServerSocket server;
        volatile String status = "SERVING";
        /** Time from a query's last byte to its answer. */
        volatile double workMs = 20;
        /** Until this time the process stands still: what arrives is looked at only then. */
        volatile double pausedUntil;
        /** It finishes the work that it has and turns away what is new. */
        volatile boolean isDraining;

        Appliance(String name, String zone, int build, long sinceMs) throws IOException {
            this.name = name;
            this.zone = zone;
            this.build = build;
            this.sinceMs = sinceMs;
            server = listen(this::serve);
        }

        void waitWhilePaused() {
            while (now() < pausedUntil) {
                sleep(pausedUntil - now());
            }
        }

        private void serve(Socket socket) throws IOException {
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 16));
            OutputStream out = socket.getOutputStream();
            read(in, false);
            waitWhilePaused();
            out.write(WELCOME);
            while (true) {
                Frame frame = read(in, true);
                if (frame.type() != 'Q') {
                    return;
                }
                String sql = frame.string();
                Map<String, String> fields = comment(sql);
                double at = now();
                if (fields.isEmpty()) {
                    waitWhilePaused();
                    out.write(sql.isBlank() ? join(message('I'), READY)
                            : sql.startsWith("SELECT 1") ? row("1".getBytes()) : error("42501", "no"));
                    continue;
                }
                waitWhilePaused();
                boolean refuses = isDraining;
                Attempt attempt = new Attempt(at, fields.get("id"), fields.get("c"), fields.get("name"),
                        (long) Double.parseDouble(fields.get("d")), this, build);
                attempts.add(attempt);
                note("attempt " + attempt.id + " " + attempt.method + " name=" + attempt.name + " d=" + attempt.d + " at "
                        + name + " build " + build + (refuses ? ", which drains and turns it away" : ""));
                if (refuses) {
                    out.write(error("53300", "draining"));
                    continue;
                }
                sleep(workMs);
                waitWhilePaused();
                byte[] value = ("made for " + attempt.id).getBytes(StandardCharsets.UTF_8);
                out.write(row(value));
                answered(attempt);
            }
        }

        String entry() {
            return String.format("{\"name\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"type\":\"m\",\"group\":1,"
                    + "\"status\":\"%s\",\"weight\":1.0,\"since_ms\":%d,\"release\":%d}", name, server.getLocalPort(), zone,
                    status, sinceMs, build);
        }
    }

    record Answer(double at, Attempt attempt) {
    }

    /** Good answers, at the time at which their last byte was written. */
    final List<Answer> answers = new CopyOnWriteArrayList<>();

    private void answered(Attempt attempt) {
        answers.add(new Answer(now(), attempt));
        note("answer  " + attempt.id + " name=" + attempt.name + " by " + attempt.appliance.name + " build " + attempt.build);
    }

    // ---------------------------------------------------------------- HTTP

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException();
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static byte[] chunk(String data) {
        return (Integer.toHexString(data.length()) + "\r\n" + data + "\r\n").getBytes(StandardCharsets.US_ASCII);
    }

    /** Discovery: each watch gets the changes after its version, and an empty line every two seconds. */
    final class Discovery {

        private final List<Appliance> listed = new ArrayList<>();
        private final Map<Appliance, Integer> versions = new LinkedHashMap<>();
        private final Map<OutputStream, Integer> watches = new ConcurrentHashMap<>();
        private final List<Socket> oldSockets = new CopyOnWriteArrayList<>();
        private int version = 10;
        final ServerSocket server;
        /** Until this time a call waits for two seconds in the queue and fails. */
        volatile double crowdedUntil;

        Discovery() throws IOException {
            server = listen(socket -> {
                oldSockets.add(socket);
                serve(socket);
            });
            start(() -> {
                while (true) {
                    sleep(2000);
                    for (OutputStream watch : watches.keySet()) {
                        write(watch, "\n");
                    }
                }
            });
        }

        /** After a move the old address takes no new connection and closes the open ones a little later. */
        void closeOldAddressLater(int ms) throws IOException {
            server.close();
            start(() -> {
                sleep(ms);
                for (Socket socket : oldSockets) {
                    socket.close();
                }
            });
        }

        /** Another address of the same discovery. */
        ServerSocket anotherAddress() throws IOException {
            return listen(this::serve);
        }

        synchronized String list(boolean whole, int after) {
            List<String> entries = new ArrayList<>();
            for (Appliance each : listed) {
                if (whole || versions.get(each) > after) {
                    entries.add(each.entry());
                }
            }
            return "{\"index\":" + version + ",\"snapshot\":" + whole + ",\"endpoints\":[" + String.join(",", entries) + "]}";
        }

        /** Lists an appliance anew, or its new state, and tells all watches. */
        synchronized void list(Appliance appliance) {
            if (!listed.contains(appliance)) {
                listed.add(appliance);
            }
            versions.put(appliance, ++version);
            note("discovery " + version + ": " + appliance.name + " " + appliance.status + " build " + appliance.build);
            watches.forEach((watch, told) -> {
                write(watch, list(false, told) + "\n");
                watches.replace(watch, version);
            });
        }

        private synchronized void write(OutputStream watch, String line) {
            try {
                watch.write(chunk(line));
            } catch (IOException e) {
                watches.remove(watch);
            }
        }

        private void serve(Socket socket) throws IOException {
            String head = readHead(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            note("call to discovery: " + head.lines().findFirst().orElse(""));
            if (now() < crowdedUntil) {
                sleep(2000);
                note("call to discovery fails with 503");
                out.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".getBytes());
                return;
            }
            if (!head.contains("stream=1")) {
                String body = list(true, 0);
                out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body).getBytes());
                return;
            }
            Matcher index = Pattern.compile("index=(\\d+)").matcher(head);
            int after = index.find() ? Integer.parseInt(index.group(1)) : 0;
            synchronized (this) {
                out.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
                write(out, list(false, after) + "\n");
                watches.put(out, version);
            }
            try {
                while (socket.getInputStream().read() >= 0) {
                    continue;
                }
            } finally {
                watches.remove(out);
            }
        }
    }

    /** The release desk: votes are counted, news goes to all bulletins at a change and every two seconds. */
    final class Desk {

        /** What is told: the state, or, while news is late, an earlier one. */
        private String news;
        private double since;
        private final List<OutputStream> bulletins = new CopyOnWriteArrayList<>();
        final List<String> votes = new CopyOnWriteArrayList<>();
        final ServerSocket server;
        /** The platform stands still: nothing is told and votes get no answer. */
        volatile boolean still;

        Desk(int build, int stage, String state, double cap) throws IOException {
            set(build, stage, state, cap, now() - 600_000);
            server = listen(this::serve);
            start(() -> {
                for (int second = 1; ; second++) {
                    sleep(1000);
                    if (!still) {
                        String event = second % 2 == 0 ? event() : ":\n\n";
                        bulletins.forEach(out -> write(out, event));
                    }
                }
            });
        }

        void set(int build, int stage, String state, double cap) {
            set(build, stage, state, cap, now());
        }

        /** From now on this is told; it stands so since the given time. */
        synchronized void set(int build, int stage, String state, double cap, double since) {
            news = "Revision=" + build + "&Wave=" + stage + "&State=" + state + "&MaxShare=" + cap;
            this.since = since;
            note("desk state " + news);
        }

        synchronized String fields() {
            return news + "&AgeMs=" + (long) (now() - since);
        }

        private String event() {
            return "event: progress\ndata: " + fields() + "\n\n";
        }

        /** Tells all bulletins the present state. */
        void tell() {
            note("desk tells " + fields());
            bulletins.forEach(out -> write(out, event()));
        }

        private synchronized void write(OutputStream out, String data) {
            try {
                out.write(chunk(data));
            } catch (IOException e) {
                bulletins.remove(out);
            }
        }

        private void serve(Socket socket) throws IOException {
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            while (true) {
                String head = readHead(in);
                if (head.startsWith("GET /bulletin")) {
                    out.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
                    while (still) {
                        sleep(50);
                    }
                    write(out, event());
                    bulletins.add(out);
                    while (in.read() >= 0) {
                        continue;
                    }
                    return;
                }
                Matcher length = Pattern.compile("(?i)content-length: *(\\d+)").matcher(head);
                String vote = length.find()
                        ? new String(in.readNBytes(Integer.parseInt(length.group(1))), StandardCharsets.US_ASCII) : "";
                votes.add(vote);
                note("vote " + vote);
                while (still) {
                    sleep(50);
                }
                Map<String, String> fields = new LinkedHashMap<>();
                for (String pair : fields().split("&")) {
                    fields.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
                }
                StringBuilder item = new StringBuilder();
                fields.forEach((name, value) -> item.append("<" + name + ">" + value + "</" + name + ">"));
                String body = "<?xml version=\"1.0\"?>\n<Response><entries><item>" + item + "</item></entries></Response>";
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/xml\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    // ---------------------------------------------------------------- the agent

    /** The settings of a small deployment, with the figures of the first brief; fields can be replaced by text. */
    static String settings() {
        return """
                {"TickNs": 5000000, "FleetSize": 3, "RegistryMode": "ask", "CountedBy": "work",
                 "Classes": [
                  {"Name": "trip-status", "AimNs": 1000000000, "GiveUpNs": 3000000000, "Effect": "read_like", "Worth": 3.0,
                   "KeyScope": "all", "WindowNs": 5000000000, "LateWorth": 0.2},
                  {"Name": "trip-book", "AimNs": 1500000000, "GiveUpNs": 5000000000, "Effect": "idempotency_key", "Worth": 5.0,
                   "KeyScope": "zone", "WindowNs": 10000000000, "LateWorth": 0.0},
                  {"Name": "crew-assign", "AimNs": 800000000, "GiveUpNs": 2000000000, "Effect": "non_idempotent", "Worth": 2.0,
                   "KeyScope": "all", "WindowNs": 5000000000, "LateWorth": 0.0}],
                 "Accounts": [{"Name": "bagmati-care", "QuotaPerS": 82.0, "Share": 0.58},
                  {"Name": "sagarmatha-ride", "QuotaPerS": 37.0, "Share": 0.26},
                  {"Name": "phewa-clinic", "QuotaPerS": 23.0, "Share": 0.16}],
                 "Ceilings": {"MaxAttempts": 5, "MaxOpen": 20000, "ConnectTimeoutNs": 250000000, "IdleCloseNs": 30000000000,
                  "RetryAfter": true, "MaxRetryAfterNs": 500000000, "Probing": true, "SecondCopies": false, "Cancel": true,
                  "Peers": false},
                 "Rules": {"AnswerSlackNs": 20000000, "MustAskInNs": 10000000000, "StopSendingWithinNs": 500000000,
                  "ColdFrom": 0.35, "WarmAfterNs": 4600000000, "FallMultiple": 2.5, "TipAfterNs": 1000000000},
                 "FamilyInfo": {"GateMode": "by_count", "AyesNeeded": 2, "NoesNeeded": 1, "VotesPerS": 30.0,
                  "VoteStandsNs": 6000000000, "SoakNs": 2000000000, "CallTimeoutNs": 2000000000, "ToldEveryNs": 2000000000,
                  "Caps": [0.042, 0.17, 0.56, 1.0], "Waves": [0.03, 0.12, 0.4, 1.0], "WindowNs": 2000000000,
                  "Uncounted": 1.0, "CapScope": "all", "KeysStay": true, "Shielded": 0, "Style": "replace"}}
                """;
    }

    /** One agent, started by the run command of the deploy file. */
    final class Agent implements Closeable {

        final int port = freePort();
        final Path config = folder.resolve("agent.json");
        final Path log = folder.resolve("agent.log");
        Process process;
        private final Path temporary = Files.createDirectories(folder.resolve("tmp"));

        Agent() throws IOException {
            agentPort = port;
        }

        /** Replaces the configuration file, in one step. */
        void configure(int discoveryPort, Discovery discovery, Desk desk, String settings, int sockets) throws IOException {
            String news = "{\"" + desk.fields().replace("&", ",\"").replace("=", "\":") + "}";
            news = news.replaceAll("\"State\":(\\w+)", "\"State\":\"$1\"");
            Path written = Files.writeString(folder.resolve("agent.json.new"), "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
                    + discoveryPort + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
                    + "\"memory_mb\":192,\"sockets\":" + sockets + "},\"rollouts\":{\"address\":\"127.0.0.1:"
                    + desk.server.getLocalPort() + "\",\"news\":" + news + "},\"known\":" + discovery.list(true, 0)
                    + ",\"settings\":" + settings + "}");
            Files.move(written, config, StandardCopyOption.ATOMIC_MOVE);
        }

        void start(Discovery discovery, Desk desk, String settings, int sockets) throws IOException {
            configure(discovery.server.getLocalPort(), discovery, desk, settings, sockets);
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"").matcher(Files.readString(root.resolve("deploy/balancer.toml")));
            if (!run.find()) {
                throw new IOException("no run command in the deploy file");
            }
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1)).directory(root.toFile())
                    .redirectErrorStream(true).redirectOutput(log.toFile());
            builder.environment().put("PROXY_CONFIG", config.toString());
            builder.environment().put("TMPDIR", temporary.toString());
            process = builder.start();
            open.add(this);
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
            for (double until = now() + 30_000; now() < until && process.isAlive(); sleep(50)) {
                try (Client client = new Client(port)) {
                    client.socket.setSoTimeout(1000);
                    client.socket.getOutputStream().write(query(""));
                    if (read(client.in, true).type() == 'I') {
                        note("agent is ready, process " + process.pid());
                        return;
                    }
                } catch (IOException e) {
                    // Not ready yet.
                }
            }
            throw new IOException("the agent did not become ready: " + Files.readString(log));
        }

        /** The largest resident memory of the process so far. */
        int peakMemoryKb() throws IOException {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith("VmHWM:")) {
                    return Integer.parseInt(line.replaceAll("\\D", ""));
                }
            }
            return 0;
        }

        void signal(String name) throws IOException {
            note("signal " + name);
            try {
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void close() throws IOException {
            boolean alive = process.isAlive();
            note("agent " + (alive ? "runs" : "has ended with " + process.exitValue()) + "; its log:");
            for (String line : Files.readAllLines(log)) {
                note("    | " + line);
            }
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    // ---------------------------------------------------------------- clients

    enum Ending { SERVED, REFUSED, FAILED, CLOSED, SILENT }

    record Outcome(String id, double sentAt, double endedAt, Ending ending, String detail) {
    }

    /** One client connection, which carries one request at a time. */
    static final class Client implements Closeable {

        final Socket socket;
        DataInputStream in;

        private Client(Socket socket) {
            this.socket = socket;
        }

        /** Connects and waits for the welcome. */
        Client(int port) throws IOException {
            this(new Socket());
            socket.setSoTimeout(5000);
            connect(port, new byte[0]);
            while (read(in, true).type() != 'Z') {
                continue;
            }
        }

        /** A client that connects with its first request. */
        static Client unopened() {
            return new Client(new Socket());
        }

        private void connect(int port, byte[] behindStartup) throws IOException {
            socket.connect(new InetSocketAddress(LOOPBACK, port), 5000);
            socket.setTcpNoDelay(true);
            in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            socket.getOutputStream().write(join(STARTUP, behindStartup));
        }

        /** Sends a statement, on a new connection right behind the startup, and waits so long for the final answer. */
        Outcome openAndAsk(int port, String id, String sql, int waitMs) {
            double sentAt = now();
            try {
                boolean isNew = in == null;
                if (isNew) {
                    connect(port, query(sql));
                } else {
                    socket.getOutputStream().write(query(sql));
                }
                Outcome outcome = null;
                String value = "";
                for (int readies = isNew ? 2 : 1; readies > 0;) {
                    socket.setSoTimeout(Math.max(1, (int) (sentAt + waitMs - now())));
                    Frame frame = read(in, true);
                    switch (frame.type()) {
                        case 'D' -> value = new String(frame.body(), 6, frame.body().length - 6, StandardCharsets.UTF_8);
                        case 'C' -> outcome = new Outcome(id, sentAt, now(), Ending.SERVED, value);
                        case 'E' -> outcome = new Outcome(id, sentAt, now(), frame.field('C').matches("53300|57P03")
                                ? Ending.REFUSED : Ending.FAILED, frame.field('C') + " " + frame.field('M'));
                        case 'Z' -> readies--;
                        default -> { }
                    }
                    if (frame.type() == 'E' && frame.field('S').equals("FATAL")) {
                        return outcome;
                    }
                }
                return outcome;
            } catch (java.net.SocketTimeoutException e) {
                return new Outcome(id, sentAt, now(), Ending.SILENT, "no answer in " + waitMs + " ms");
            } catch (IOException e) {
                return new Outcome(id, sentAt, now(), Ending.CLOSED, String.valueOf(e.getMessage()));
            }
        }

        Outcome ask(String id, String sql, int waitMs) {
            return openAndAsk(0, id, sql, waitMs);
        }

        void closeQuietly() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed.
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static String select(String id, String method, String name, int d) {
        return "SELECT content FROM kv WHERE name = '" + name + "' /* id=" + id + ",c=" + method + ",t=bagmati-care,d=" + d
                + " */";
    }
}
