package honeygap.lab.soak;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * Stand-in for discovery: processes calls sequentially, fails those that wait too long, and writes changes to open
 * watches. Each agent calls it at its own port, so that list deliveries are recorded per agent.
 */
final class StandInDiscovery implements AutoCloseable {

    /** Time to process one call of every agent, whatever their number. */
    private static final long ROUND_OF_CALLS_MS = 8000;
    private static final long LONGEST_WAIT_MS = 2000;
    private static final long HEARTBEAT_MS = 2000;
    private static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String UNAVAILABLE = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

    /** State of an entry as of a version. */
    private record Entry(long version, int appliance, String json) { }

    /** An open watch of an agent. */
    private static final class Watch {

        final int agent;
        final Socket socket;
        long sentVersion;
        boolean isSilent;

        Watch(int agent, Socket socket) {
            this.agent = agent;
            this.socket = socket;
        }
    }

    private final SoakRecord record;
    private final List<ServerSocket> servers = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private final LinkedBlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
    private final long callMs;
    private final long[] versionsWritten;
    private long version;
    private boolean isDown;
    private boolean isTruncating;
    private long downSince;

    StandInDiscovery(int agents, SoakRecord record) throws IOException {
        this.record = record;
        callMs = ROUND_OF_CALLS_MS / agents;
        versionsWritten = new long[agents];
        for (int agent = 0; agent < agents; agent++) {
            ServerSocket server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
            servers.add(server);
            int caller = agent;
            StandInThread.start("discovery", () -> {
                while (true) {
                    Socket socket = server.accept();
                    StandInThread.start("discovery", () -> handleCall(caller, socket));
                }
            });
        }
        StandInThread.start("discovery queue", () -> {
            while (true) {
                queue.take().run();
            }
        });
        StandInThread.start("discovery heartbeat", () -> {
            while (true) {
                Thread.sleep(HEARTBEAT_MS);
                sendHeartbeats();
            }
        });
    }

    int port(int agent) {
        return servers.get(agent).getLocalPort();
    }

    /** List last delivered to an agent, with which its next process starts. */
    synchronized String lastDeliveredList(int agent) {
        return listDocument(versionsWritten[agent], true, 0);
    }

    private String listDocument(long upToVersion, boolean isWhole, long afterVersion) {
        List<String> entriesJson = new ArrayList<>();
        for (int i = entries.size() - 1; i >= 0; i--) {
            Entry entry = entries.get(i);
            boolean isSuperseded = entries.stream().anyMatch(other -> other.appliance == entry.appliance
                    && other.version > entry.version && other.version <= upToVersion);
            if (entry.version > afterVersion && entry.version <= upToVersion && !isSuperseded) {
                entriesJson.add(entry.json);
            }
        }
        return "{\"index\":" + upToVersion + ",\"snapshot\":" + isWhole + ",\"endpoints\":["
                + String.join(",", entriesJson) + "]}";
    }

    /** Records a change of one appliance and writes it to all watches that are not silenced. */
    synchronized void publishChange(StandInAppliance appliance, ApplianceState state) {
        version++;
        entries.add(new Entry(version, appliance.number, json(appliance, state)));
        record.listChanges.add(new SoakRecord.ListChange(version, appliance.number, state, record.now()));
        for (Watch watch : List.copyOf(watches)) {
            if (!watch.isSilent) {
                write(watch, listDocument(version, false, watch.sentVersion) + "\n", version);
            }
        }
    }

    /** Adds an appliance to the initial list, which all agents know from the start. */
    synchronized void addInitial(StandInAppliance appliance) {
        entries.add(new Entry(++version, appliance.number, json(appliance, ApplianceState.SERVING)));
        Arrays.fill(versionsWritten, version);
    }

    private static String json(StandInAppliance appliance, ApplianceState state) {
        return String.format("{\"name\":\"s-%d\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z%d\",\"type\":\"m\",\"group\":%d,"
                + "\"status\":\"%s\",\"weight\":1.0,\"since_ms\":%d,\"release\":%d}", appliance.number,
                appliance.address().getPort(), appliance.zone, appliance.zone, state, appliance.sinceMs, appliance.build);
    }

    private void handleCall(int agent, Socket socket) throws IOException, InterruptedException {
        socket.setTcpNoDelay(true);
        String head = readHead(new DataInputStream(socket.getInputStream()));
        long afterVersion = Long.parseLong(head.replaceAll("(?s).*[?&]index=(\\d+).*", "$1").replaceAll("(?s)\\D.*", "0"));
        long receivedAt = record.now();
        boolean refuses;
        synchronized (this) {
            refuses = isDown;
        }
        if (refuses) {
            failAfterWait(socket);
            return;
        }
        queue.add(() -> {
            sleep(callMs);
            if (record.now() - receivedAt > LONGEST_WAIT_MS) {
                StandInThread.start("discovery", () -> respond(socket, UNAVAILABLE, true));
            } else {
                openWatch(agent, socket, afterVersion);
            }
        });
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void failAfterWait(Socket socket) throws IOException, InterruptedException {
        Thread.sleep(LONGEST_WAIT_MS);
        respond(socket, UNAVAILABLE, true);
    }

    private static void respond(Socket socket, String text, boolean closes) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        if (closes) {
            socket.close();
        }
    }

    private synchronized void openWatch(int agent, Socket socket, long afterVersion) {
        Watch watch = new Watch(agent, socket);
        watch.sentVersion = afterVersion;
        try {
            if (isDown) {
                respond(socket, UNAVAILABLE, true);
                return;
            }
            String first = listDocument(version, false, afterVersion) + "\n";
            respond(socket, RESPONSE_HEAD, false);
            if (isTruncating) {
                respond(socket, chunk(first.substring(0, first.length() / 2)), true);
                return;
            }
            watches.removeIf(other -> other.agent == agent);
            watches.add(watch);
            write(watch, first, version);
        } catch (IOException e) {
            watches.remove(watch);
        }
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /**
     * Writes a line to a watch; {@code upToVersion} is the version that the agent has after it, or -1 for a heartbeat.
     */
    private void write(Watch watch, String line, long upToVersion) {
        try {
            OutputStream out = watch.socket.getOutputStream();
            out.write(chunk(line).getBytes(StandardCharsets.US_ASCII));
            record.listConfirmations.add(new SoakRecord.ListConfirmation(watch.agent, record.now()));
            if (upToVersion > watch.sentVersion || upToVersion == version) {
                watch.sentVersion = upToVersion;
                versionsWritten[watch.agent] = upToVersion;
                record.listDeliveries.add(new SoakRecord.ListDelivery(watch.agent, upToVersion, record.now()));
            }
        } catch (IOException e) {
            watches.remove(watch);
        }
    }

    private synchronized void sendHeartbeats() {
        for (Watch watch : List.copyOf(watches)) {
            if (!watch.isSilent) {
                write(watch, "\n", -1);
            }
        }
    }

    private static String readHead(DataInputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) in.readUnsignedByte());
        }
        return head.toString();
    }

    synchronized void setDown(boolean down) throws IOException {
        if (down && !isDown) {
            downSince = record.now();
            for (Watch watch : watches) {
                watch.socket.close();
            }
            watches.clear();
        } else if (!down && isDown) {
            record.outages.add(new SoakRecord.Outage(downSince, record.now()));
        }
        isDown = down;
    }

    /** Silences all watches that are open now: they stay connected, but nothing is written to them. */
    synchronized void silenceWatches() {
        watches.forEach(watch -> watch.isSilent = true);
    }

    synchronized void setTruncating(boolean truncating) {
        isTruncating = truncating;
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket server : servers) {
            server.close();
        }
        synchronized (this) {
            for (Watch watch : watches) {
                watch.socket.close();
            }
        }
    }
}
