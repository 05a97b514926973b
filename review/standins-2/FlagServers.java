import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-ins of flag servers, which answer every evaluation and every event, and a client of the flag API. */
final class FlagServers {

    /** A request at a server. */
    record Got(String server, String line, double atMs) { }

    private final Bench bench;
    /** From when a server, by name, turns away new work, in ms since the case began. */
    final Map<String, Double> turnsAwayFrom = new ConcurrentHashMap<>();
    final List<Got> got = Collections.synchronizedList(new ArrayList<>());

    FlagServers(Bench bench) {
        this.bench = bench;
    }

    /** Starts a server; returns its port. */
    int start(String name) throws IOException {
        ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Bench.start(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Bench.start(() -> serve(name, socket));
            }
        });
        return server.getLocalPort();
    }

    private void serve(String name, Socket socket) throws IOException {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                String[] request = Bench.readRequest(in);
                String path = request[0].split(" ")[1];
                got.add(new Got(name, path, bench.ms()));
                if (bench.ms() > turnsAwayFrom.getOrDefault(name, Double.MAX_VALUE)) {
                    bench.note(name + " got " + path + " and turns it away: draining");
                    String error = "{\"errorCode\":\"GENERAL\",\"errorDetails\":\"draining\"}";
                    out.write(Bench.ascii("HTTP/1.1 503 Draining\r\nContent-Type: application/json\r\nConnection: close\r\n"
                            + "Content-Length: " + error.length() + "\r\n\r\n" + error));
                    return;
                }
                bench.note(name + " got " + path + " and carries it out");
                Bench.sleep(5);
                String body = "{\"key\":\"" + path.substring(path.lastIndexOf('/') + 1)
                        + "\",\"value\":true,\"reason\":\"STATIC\",\"variant\":\"on\",\"metadata\":{\"version\":\"1\"}}";
                out.write(Bench.ascii("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body));
            }
        }
    }

    /** Sends an evaluation; returns the status, or 0 if there was no answer. */
    int evaluate(int port, String flag, String subject) {
        return post(port, "/ofrep/v1/evaluate/flags/" + flag, subject);
    }

    /** Sends an event that must not run twice; returns the status, or 0 if there was no answer. */
    int track(int port, String subject) {
        return post(port, "/ofrep/v1/track", subject);
    }

    /** Posts on a connection of its own. */
    private int post(int port, String path, String subject) {
        String body = "{\"context\":{\"targetingKey\":\"" + subject + "\"}}";
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(5000);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
            socket.getOutputStream().write(Bench.ascii("POST " + path + " HTTP/1.1\r\n"
                    + "Host: 127.0.0.1:" + port + "\r\nContent-Type: application/json\r\nConnection: close\r\n"
                    + "Content-Length: " + body.length() + "\r\n\r\n" + body));
            String line = Bench.readRequest(new BufferedInputStream(socket.getInputStream()))[0];
            bench.note("flag client: " + path + " for " + subject + ": " + line);
            return Integer.parseInt(line.split(" ")[1]);
        } catch (IOException e) {
            bench.note("flag client: " + path + " for " + subject + ": no answer, " + e.getMessage());
            return 0;
        }
    }
}
