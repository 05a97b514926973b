package honeygap.lab.soak;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Stand-in for the rollout desk: one build stays on trial, and votes are accepted without advancing the rollout. */
final class StandInDesk implements AutoCloseable {

    static final int EARLIER_BUILD = 1;
    static final int TRIAL_BUILD = 2;
    static final double CAP = 0.2;
    private static final long HEARTBEAT_MS = 1000;
    private static final int HEARTBEATS_PER_STATUS = 2;
    private static final String STREAM_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String STATUS_EVENT = "event: progress\ndata: Revision=" + TRIAL_BUILD
            + "&Wave=0&State=Progressing&MaxShare=" + CAP + "&AgeMs=100000\n\n";
    private static final String STATUS_RESPONSE = "<?xml version=\"1.0\"?>\n<Response><entries><item><Revision>" + TRIAL_BUILD
            + "</Revision><Wave>0</Wave><State>Progressing</State><MaxShare>" + CAP
            + "</MaxShare><AgeMs>100000</AgeMs></item></entries></Response>";

    private final ServerSocket server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    private volatile boolean isDown;

    StandInDesk() throws IOException {
        StandInThread.start("desk", () -> {
            while (true) {
                Socket socket = server.accept();
                StandInThread.start("desk", () -> serve(socket));
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    void setDown(boolean down) {
        isDown = down;
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                String head = readRequest(in);
                while (isDown) {
                    Thread.sleep(HEARTBEAT_MS / 10);
                }
                if (head.startsWith("GET /bulletin")) {
                    streamStatus(out);
                }
                write(out, "HTTP/1.1 200 OK\r\nContent-Type: text/xml\r\nContent-Length: " + STATUS_RESPONSE.length()
                        + "\r\n\r\n" + STATUS_RESPONSE);
            }
        }
    }

    private void streamStatus(OutputStream out) throws IOException, InterruptedException {
        write(out, STREAM_HEAD);
        for (long i = 0; ; i++) {
            if (!isDown) {
                String chunk = i % HEARTBEATS_PER_STATUS == 0 ? STATUS_EVENT : ":\n\n";
                write(out, Integer.toHexString(chunk.length()) + "\r\n" + chunk + "\r\n");
            }
            Thread.sleep(HEARTBEAT_MS);
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads a request, discards its body and returns its head. */
    private static String readRequest(DataInputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) in.readUnsignedByte());
        }
        String length = head.toString().replaceAll("(?is).*content-length: *(\\d+).*", "$1");
        in.readNBytes(length.length() < head.length() ? Integer.parseInt(length) : 0);
        return head.toString();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
