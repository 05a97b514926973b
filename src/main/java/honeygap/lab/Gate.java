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
 * The way out of one process: a forward proxy on loopback that all of its calls go through, so that a rig knows who
 * calls whom and can do to each call what a network does. Thread a connection; for tests and the rig alone.
 */
public final class Gate implements AutoCloseable {

    private static final int LATE_MS = 2000;
    private static final int SILENT_MS = 10_000;

    private final ServerSocket server;
    private final Function<InetSocketAddress, Fault> faults;
    private volatile boolean over;

    /** What becomes of each call is asked by where it goes, when it comes. */
    public Gate(Function<InetSocketAddress, Fault> faults) throws IOException {
        this.faults = faults;
        server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        thread(() -> {
            while (!over) {
                Socket one = server.accept();
                thread(() -> {
                    try (one) {
                        one.setTcpNoDelay(true);
                        while (pass(one)) {
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

    private static void thread(Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException e) {
                // One side has closed.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "gate", 1 << 17);
        thread.setDaemon(true);
        thread.start();
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** One call and its answer; false at the end of the connection. */
    private boolean pass(Socket one) throws IOException, InterruptedException {
        DataInputStream in = new DataInputStream(one.getInputStream());
        byte[] head = head(in);
        if (head.length == 0) {
            return false;
        }
        String words = new String(head, StandardCharsets.ISO_8859_1);
        String[] line = words.substring(0, words.indexOf('\r')).split(" ");
        String[] parts = line[1].split("/", 4);
        int colon = parts[2].lastIndexOf(':');
        InetSocketAddress to = new InetSocketAddress(parts[2].substring(0, colon),
                Integer.parseInt(parts[2].substring(colon + 1)));
        byte[] body = in.readNBytes(length(words));
        Fault fault = faults.apply(to);
        if (fault == Fault.SILENT) {
            Thread.sleep(SILENT_MS);
        }
        if (fault == Fault.RESET || fault == Fault.SILENT) {
            one.setSoLinger(true, 0);
            return false;
        }
        Thread.sleep(fault == Fault.LATE ? LATE_MS : 0);
        byte[] answer = call(to, line[0] + " /" + parts[3] + " " + line[2]
                + words.substring(words.indexOf('\r')), body);
        if (fault == Fault.ANSWER_LOST) {
            Thread.sleep(SILENT_MS);
            return false;
        }
        OutputStream out = one.getOutputStream();
        if (fault == Fault.HALF) {
            out.write(answer, 0, answer.length / 2);
            return false;
        }
        if (fault == Fault.SPOILT) {
            Arrays.fill(answer, answer.length - Math.min(answer.length, 8), answer.length, (byte) '#');
        }
        out.write(answer);
        return true;
    }

    private static byte[] call(InetSocketAddress to, String head, byte[] body) throws IOException {
        try (Socket there = new Socket(to.getAddress(), to.getPort())) {
            there.setSoTimeout(SILENT_MS);
            there.setTcpNoDelay(true);
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            whole.write(head.getBytes(StandardCharsets.ISO_8859_1));
            whole.write(body);
            there.getOutputStream().write(whole.toByteArray());
            DataInputStream in = new DataInputStream(there.getInputStream());
            byte[] answer = head(in);
            byte[] rest = in.readNBytes(length(new String(answer, StandardCharsets.ISO_8859_1)));
            byte[] all = Arrays.copyOf(answer, answer.length + rest.length);
            System.arraycopy(rest, 0, all, answer.length, rest.length);
            return all;
        }
    }

    /** Up to and with the empty line; nothing at the end of the stream. */
    private static byte[] head(DataInputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int last = 0;
        for (int one = in.read(); one >= 0; one = in.read()) {
            head.write(one);
            last = last << 8 | one;
            if (last == 0x0d0a0d0a) {
                return head.toByteArray();
            }
        }
        return new byte[0];
    }

    private static int length(String head) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                return Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
            }
        }
        return 0;
    }

    @Override
    public void close() throws IOException {
        over = true;
        server.close();
    }
}
