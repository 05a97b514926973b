package honeygap.lab;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.function.Function;

/**
 * Forward proxy on loopback that carries all outgoing calls of one process, so that a test knows the caller of each
 * call and can inject a network fault into it. Uses one thread per connection; meant for tests only.
 */
public final class FaultProxy implements AutoCloseable {

    private static final int LATE_MS = 2000;
    private static final int SILENT_MS = 10_000;

    private final ServerSocket server;
    private final Function<InetSocketAddress, Fault> faults;
    private volatile boolean closed;

    /**
     * Starts the proxy on a free port.
     *
     * @param faults returns the fault to inject into a call to the given address; asked once per call
     */
    public FaultProxy(Function<InetSocketAddress, Fault> faults) throws IOException {
        this.faults = faults;
        server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        startThread(() -> {
            while (!closed) {
                Socket connection = server.accept();
                startThread(() -> {
                    try (connection) {
                        connection.setTcpNoDelay(true);
                        while (forwardCall(connection)) {
                            continue;
                        }
                    }
                });
            }
        });
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private static void startThread(Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException e) {
                // One of the two sides closed the connection.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "gate", 1 << 17);
        thread.setDaemon(true);
        thread.start();
    }

    /** Address at which the proxy listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** Forwards one call and its response; returns false when the connection is over. */
    private boolean forwardCall(Socket connection) throws IOException, InterruptedException {
        DataInputStream in = new DataInputStream(connection.getInputStream());
        byte[] head = readHead(in);
        if (head.length == 0) {
            return false;
        }
        String headText = new String(head, StandardCharsets.ISO_8859_1);
        String[] requestLine = headText.substring(0, headText.indexOf('\r')).split(" ");
        String[] urlParts = requestLine[1].split("/", 4);
        int colon = urlParts[2].lastIndexOf(':');
        InetSocketAddress target = new InetSocketAddress(urlParts[2].substring(0, colon),
                Integer.parseInt(urlParts[2].substring(colon + 1)));
        byte[] body = in.readNBytes(contentLength(headText));
        Fault fault = faults.apply(target);
        if (fault == Fault.SILENT) {
            Thread.sleep(SILENT_MS);
        }
        if (fault == Fault.RESET || fault == Fault.SILENT) {
            connection.setSoLinger(true, 0);
            return false;
        }
        Thread.sleep(fault == Fault.LATE ? LATE_MS : 0);
        byte[] response = send(target, requestLine[0] + " /" + urlParts[3] + " " + requestLine[2]
                + headText.substring(headText.indexOf('\r')), body);
        if (fault == Fault.ANSWER_LOST) {
            Thread.sleep(SILENT_MS);
            return false;
        }
        OutputStream out = connection.getOutputStream();
        if (fault == Fault.HALF) {
            out.write(response, 0, response.length / 2);
            return false;
        }
        if (fault == Fault.SPOILT) {
            Arrays.fill(response, response.length - Math.min(response.length, 8), response.length, (byte) '#');
        }
        out.write(response);
        return true;
    }

    private static byte[] send(InetSocketAddress target, String head, byte[] body) throws IOException {
        try (Socket upstream = new Socket(target.getAddress(), target.getPort())) {
            upstream.setSoTimeout(SILENT_MS);
            upstream.setTcpNoDelay(true);
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.write(head.getBytes(StandardCharsets.ISO_8859_1));
            request.write(body);
            upstream.getOutputStream().write(request.toByteArray());
            DataInputStream in = new DataInputStream(upstream.getInputStream());
            byte[] responseHead = readHead(in);
            byte[] responseBody = in.readNBytes(contentLength(new String(responseHead, StandardCharsets.ISO_8859_1)));
            byte[] response = Arrays.copyOf(responseHead, responseHead.length + responseBody.length);
            System.arraycopy(responseBody, 0, response, responseHead.length, responseBody.length);
            return response;
        }
    }

    /** Reads a head including its empty line; returns an empty array at the end of the stream. */
    private static byte[] readHead(DataInputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int lastFourBytes = 0;
        for (int next = in.read(); next >= 0; next = in.read()) {
            head.write(next);
            lastFourBytes = lastFourBytes << 8 | next;
            if (lastFourBytes == 0x0d0a0d0a) {
                return head.toByteArray();
            }
        }
        return new byte[0];
    }

    private static int contentLength(String head) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                return Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
            }
        }
        return 0;
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
    }
}
