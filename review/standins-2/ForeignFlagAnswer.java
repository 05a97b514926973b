import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Flag servers send some answers a second time, some milliseconds late. */
final class ForeignFlagAnswer {

    private static final int SERVERS = 3;
    private static final int CLIENTS = 8;
    private static final long SERVICE_MS = 8;
    private static final double TWICE_SHARE = 0.1;
    private static final long LATE_MS = 5;
    private static final long RUN_MS = 15_000;
    private static final Pattern SUBJECT = Pattern.compile("\"targetingKey\":\"([^\"]*)\"");
    private static final Pattern VALUE = Pattern.compile("\"value\":\"([^\"]*)\"");

    private ForeignFlagAnswer() {
    }

    public static void main(String[] args) throws Exception {
        Bench.main(args, ForeignFlagAnswer::run);
    }

    private static int startServer(Bench bench, String name, boolean trouble) throws IOException {
        ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Bench.start(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Bench.start(() -> serve(bench, name, socket, trouble));
            }
        });
        return server.getLocalPort();
    }

    /** Answers one request after another; the value is the user that the request names. */
    private static void serve(Bench bench, String name, Socket socket, boolean trouble) throws IOException {
        Random random = new Random();
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                String[] request = Bench.readRequest(in);
                String path = request[0].split(" ")[1];
                Matcher subject = SUBJECT.matcher(request[1]);
                String user = subject.find() ? subject.group(1) : "";
                bench.note(name + " got " + path + " for " + user);
                Bench.sleep(SERVICE_MS);
                String body = "{\"key\":\"" + path.substring(path.lastIndexOf('/') + 1) + "\",\"value\":\"" + user
                        + "\",\"reason\":\"TARGETING_MATCH\",\"variant\":\"v\"}";
                byte[] answer = Bench.ascii("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body);
                out.write(answer);
                if (trouble && random.nextDouble() < TWICE_SHARE) {
                    Bench.sleep(LATE_MS);
                    bench.note(name + " sends the answer for " + user + " once more");
                    out.write(answer);
                }
            }
        }
    }

    private static boolean run(Bench bench, boolean trouble) throws Exception {
        StringBuilder servers = new StringBuilder();
        for (int i = 0; i < SERVERS; i++) {
            servers.append(i == 0 ? "" : ",").append("{\"name\":\"s").append(i).append("\",\"address\":\"127.0.0.1:")
                    .append(startServer(bench, "s" + i, trouble)).append("\",\"build\":1}");
        }
        int port = Bench.freePort();
        Path file = bench.folder.resolve("flags.json");
        Files.writeString(file, "{\"name\":\"flags\",\"listen\":\"127.0.0.1:" + port + "\",\"servers\":[" + servers + "]}");
        Process agent = bench.startAgent("agent", Map.of(), " --flags " + file);
        Bench.await("an open port", 20_000, () -> Bench.isOpen(port));
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger foreign = new AtomicInteger();
        AtomicInteger others = new AtomicInteger();
        long end = System.nanoTime() + RUN_MS * 1_000_000;
        List<Thread> threads = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            threads.add(Bench.start(() -> {
                try (Socket socket = new Socket("127.0.0.1", port)) {
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(5000);
                    InputStream in = new BufferedInputStream(socket.getInputStream());
                    for (int i = 0; System.nanoTime() < end; i++) {
                        String user = "user-" + client + "-" + i;
                        String body = "{\"context\":{\"targetingKey\":\"" + user + "\"}}";
                        socket.getOutputStream().write(Bench.ascii("POST /ofrep/v1/evaluate/flags/dispatch-desk HTTP/1.1\r\n"
                                + "Host: 127.0.0.1\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                                + "\r\n\r\n" + body));
                        String[] answer = Bench.readRequest(in);
                        Matcher value = VALUE.matcher(answer[1]);
                        String got = value.find() ? value.group(1) : "none";
                        bench.note("client asked for " + user + ": " + answer[0] + ", value " + got);
                        answered.addAndGet(answer[0].contains(" 200 ") ? 1 : 0);
                        others.addAndGet(answer[0].contains(" 200 ") ? 0 : 1);
                        if (answer[0].contains(" 200 ") && !got.equals(user)) {
                            foreign.incrementAndGet();
                            bench.note("FOREIGN: " + user + " got the answer for " + got);
                        }
                        Bench.sleep(3);
                    }
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join(RUN_MS + 10_000);
        }
        if (!agent.isAlive() || answered.get() < 100) {
            throw new Bench.CannotRun("the agent has answered " + answered + " evaluations only");
        }
        bench.say(foreign + " of " + answered + " answers were made for another user; " + others + " had another status");
        return foreign.get() == 0;
    }
}
