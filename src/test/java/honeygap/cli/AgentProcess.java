package honeygap.cli;

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
import java.util.List;
import java.util.concurrent.TimeUnit;

/** An agent in a process of its own, its log read line by line; for tests. */
final class AgentProcess implements AutoCloseable {

    private final Process process;
    private final BufferedReader lines;
    final List<String> log = new ArrayList<>();

    /** What the shell does before it becomes the agent may be empty. */
    AgentProcess(Path config, String before) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        process = new ProcessBuilder(List.of("bash", "-c", before + " exec \"$0\" -Xmx64m -XX:+UseSerialGC"
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

    /** The next line of the log that holds this, or null at its end. */
    String until(String part) throws IOException {
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

    /** How it ended; the rest of its log is read. */
    int ended() throws IOException, InterruptedException {
        until("\0");
        if (!process.waitFor(20, TimeUnit.SECONDS)) {
            throw new IOException("it did not end");
        }
        return process.exitValue();
    }

    /** Descriptors that it holds now. */
    long descriptors() throws IOException {
        try (var held = Files.list(Path.of("/proc/" + pid() + "/fd"))) {
            return held.count();
        }
    }

    /** A configuration that has one appliance, one method and a list and desk at these addresses. */
    static String config(int port, int appliance, int list, int sockets) {
        return """
                {"name": "n1", "listen": "127.0.0.1:%d", "discovery": "127.0.0.1:%d", "seed": "1",
                 "limits": {"sockets": %d}, "rollouts": {"address": "127.0.0.1:%d"},
                 "known": {"index": 1, "snapshot": true, "endpoints": [{"name": "one", "address": "127.0.0.1:%d",
                  "zone": "a", "type": "m", "group": 1, "status": "SERVING", "since_ms": 0, "release": 1}]},
                 "settings": {"TickNs": 5000000, "FleetSize": 1, "RegistryMode": "push",
                  "Classes": [{"Name": "look", "AimNs": 500000000, "GiveUpNs": 3000000000, "Effect": "read_like"}],
                  "Ceilings": {"MaxAttempts": 1, "ConnectTimeoutNs": 2000000000}}}
                """.formatted(port, list, sockets, list, appliance);
    }

    /** A client that has said who it is and been welcomed. */
    static final class Client implements AutoCloseable {

        final Socket socket;
        private final DataInputStream in;
        private final OutputStream out;

        Client(int port) throws IOException {
            socket = new Socket("127.0.0.1", port);
            socket.setSoTimeout(10_000);
            in = new DataInputStream(socket.getInputStream());
            out = socket.getOutputStream();
            byte[] pairs = "user\0backend\0database\0store\0\0".getBytes(StandardCharsets.UTF_8);
            out.write(ByteBuffer.allocate(8 + pairs.length).putInt(8 + pairs.length).putInt(196608).put(pairs).array());
            hear();
        }

        void send(String id, int ms) throws IOException {
            byte[] words = ("SELECT content FROM kv WHERE name = 'k1' /* id=" + id + ",c=look,t=t,d=" + ms + " */\0")
                    .getBytes(StandardCharsets.UTF_8);
            out.write(ByteBuffer.allocate(5 + words.length).put((byte) 'Q').putInt(4 + words.length).put(words).array());
        }

        /** The types of messages up to the readiness for the next query; "end" where the connection ends. */
        String hear() {
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
