package honeygap.cli;

import honeygap.lab.LoopbackPorts;
import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** An agent in a separate process whose log is read line by line; for tests. */
final class AgentProcess implements AutoCloseable {

    private final Process process;
    private final BufferedReader lines;
    final List<String> log = new ArrayList<>();

    /** Starts the agent; the prefix is shell code to run before it in the same process, and may be empty. */
    AgentProcess(Path config, String shellPrefix) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        process = new ProcessBuilder(List.of("bash", "-c", shellPrefix + " exec \"$0\" -Xmx64m -XX:+UseSerialGC"
                + " -XX:TieredStopAtLevel=1 -cp \"$1\" honeygap.cli.Start serve --config \"$2\"", java,
                System.getProperty("java.class.path"), config.toString())).redirectErrorStream(true).start();
        lines = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Reads the log up to the next line that contains the text; null at the end of the log. */
    String readUntil(String part) throws IOException {
        String line = lines.readLine();
        while (line != null) {
            log.add(line);
            if (line.contains(part)) {
                return line;
            }
            line = lines.readLine();
        }
        return null;
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(pid())).start().waitFor();
    }

    /** Sends SIGKILL. */
    void kill() {
        // Process.destroyForcibly would close the output stream, and the log has to stay readable.
        process.toHandle().destroyForcibly();
    }

    /** Reads the rest of the log, waits for the end of the process and returns its exit code. */
    int awaitExit() throws IOException, InterruptedException {
        readUntil("\0");
        if (!process.waitFor(20, TimeUnit.SECONDS)) {
            throw new IOException("the agent process did not exit");
        }
        return process.exitValue();
    }

    /** The number of open file descriptors. */
    long descriptors() throws IOException {
        try (var descriptors = Files.list(Path.of("/proc/" + pid() + "/fd"))) {
            return descriptors.count();
        }
    }

    /** A port that is free at the moment. */
    static int freePort() throws IOException {
        return LoopbackPorts.unusedAddress().getPort();
    }

    /** Settings with one appliance and one method; discovery and desk share an address. */
    static String config(int port, int appliance, int list, int sockets) {
        return config(port, List.of(appliance), list, sockets, 3000);
    }

    /** Settings with an appliance at each of these ports and this deadline of the method. */
    static String config(int port, List<Integer> appliances, int list, int sockets, int deadlineMs) {
        List<String> entries = new ArrayList<>();
        for (int appliance : appliances) {
            entries.add("{\"name\": \"s%d\", \"address\": \"127.0.0.1:%d\", \"zone\": \"a\", \"type\": \"m\", \"group\": 1, "
                    .formatted(entries.size(), appliance) + "\"status\": \"SERVING\", \"since_ms\": 0, \"release\": 1}");
        }
        return """
                {"name": "n1", "listen": "127.0.0.1:%d", "discovery": "127.0.0.1:%d", "seed": "1",
                 "limits": {"sockets": %d}, "rollouts": {"address": "127.0.0.1:%d"},
                 "known": {"index": 1, "snapshot": true, "endpoints": [%s]},
                 "settings": {"TickNs": 5000000, "FleetSize": 1, "RegistryMode": "push",
                  "Classes": [{"Name": "look", "AimNs": 500000000, "GiveUpNs": %d000000, "Effect": "read_like"}],
                  "Ceilings": {"MaxAttempts": 1, "ConnectTimeoutNs": 2000000000}}}
                """.formatted(port, list, sockets, list, String.join(", ", entries), deadlineMs);
    }

    /** A client connection, after the startup handshake. */
    static final class Client implements AutoCloseable {

        final Socket socket;
        private final DataInputStream in;
        private final OutputStream out;
        private final List<String> sent = Collections.synchronizedList(new ArrayList<>());

        Client(int port) throws IOException {
            this(new Socket("127.0.0.1", port));
            out.write(startup());
            readResponse();
        }

        private Client(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(10_000);
            in = new DataInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        /** Connects without sending the startup message. */
        static Client connectOnly(int port) throws IOException {
            return new Client(new Socket("127.0.0.1", port));
        }

        static byte[] startup() {
            byte[] pairs = "user\0backend\0database\0store\0\0".getBytes(StandardCharsets.UTF_8);
            return ByteBuffer.allocate(8 + pairs.length).putInt(8 + pairs.length).putInt(196608).put(pairs).array();
        }

        static byte[] request(String id, int ms) {
            byte[] statement = ("SELECT content FROM kv WHERE name = 'k1' /* id=" + id + ",c=look,t=t,d=" + ms + " */\0")
                    .getBytes(StandardCharsets.UTF_8);
            return ByteBuffer.allocate(5 + statement.length).put((byte) 'Q').putInt(4 + statement.length).put(statement).array();
        }

        void send(String id, int ms) throws IOException {
            send(id, new byte[0], request(id, ms));
        }

        /** Sends the last bytes of the request with this id, preceded by other bytes. */
        void send(String id, byte[] before, byte[] end) throws IOException {
            sent.add(id);
            out.write(before);
            out.write(end);
        }

        void write(byte[] bytes) throws IOException {
            out.write(bytes);
        }

        /** Reads until the connection ends; returns the ids of requests without a response, in order of sending. */
        List<String> unanswered() {
            int answerCount = 0;
            String response;
            do {
                response = readResponse();
                // A final error that ends the connection counts as a response; the startup response does not.
                answerCount += response.startsWith("T") || response.startsWith("E") ? 1 : 0;
            } while (!response.endsWith("end"));
            List<String> all = new ArrayList<>(sent);
            return all.subList(Math.min(answerCount, all.size()), all.size());
        }

        /** Reads up to ReadyForQuery; returns the message types, followed by "end" if the connection ended. */
        String readResponse() {
            StringBuilder types = new StringBuilder();
            try {
                char type;
                do {
                    type = (char) in.readUnsignedByte();
                    in.readNBytes(in.readInt() - 4);
                    types.append(type);
                } while (type != 'Z');
            } catch (IOException e) {
                types.append("end");
            }
            return types.toString();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
