package honeygap.capture.file;

import honeygap.capture.packet.Address;
import honeygap.capture.packet.Segment;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/**
 * Makes packets of what was said on connections: IP and TCP heads with true addresses, sequence numbers that go on
 * over what was left out, acknowledgements and checksums, split where a segment would be too long.
 */
public final class Synthesis {

    /** Link type of packets that begin with IP. */
    public static final int RAW = 101;

    private static final int MOST = 1448;
    private static final int WINDOW = 65_535;

    /** Where packets go. */
    public interface Sink {

        void write(Packet packet) throws IOException;
    }

    private static final class Flow {
        final Address client;
        final Address server;
        /** The next sequence number of each side. */
        int up;
        int down;
        boolean isOver;

        Flow(Address client, Address server, int up, int down) {
            this.client = client;
            this.server = server;
            this.up = up;
            this.down = down;
        }
    }

    private final Sink sink;
    private final Packet packet = new Packet();
    private final Map<Long, Flow> flows = new HashMap<>();

    public Synthesis(Sink sink) {
        this.sink = sink;
        packet.link = RAW;
    }

    public int open() {
        return flows.size();
    }

    /** A connection comes up; whole where its beginning is to be seen, which the three first packets show. */
    public void opened(long number, Address client, Address server, boolean isWhole, long at) throws IOException {
        int seed = (int) (number * 0x9e3779b9L) ^ client.port() << 16 ^ server.port();
        Flow flow = new Flow(client, server, seed, seed * 31 + 17);
        flows.put(number, flow);
        if (isWhole) {
            write(flow, true, Segment.SYN, null, 0, 0, at);
            flow.up++;
            write(flow, false, Segment.SYN | Segment.ACK, null, 0, 0, at);
            flow.down++;
            write(flow, true, Segment.ACK, null, 0, 0, at);
        }
    }

    public void data(long number, boolean isClient, byte[] bytes, int start, int length, long at) throws IOException {
        Flow flow = flows.get(number);
        if (flow == null) {
            return;
        }
        for (int done = 0; done < length;) {
            int part = Math.min(MOST, length - done);
            done += part;
            write(flow, isClient, Segment.ACK | (done == length ? Segment.PSH : 0), bytes, start + done - part, part,
                    at);
            if (isClient) {
                flow.up += part;
            } else {
                flow.down += part;
            }
        }
    }

    /** Bytes that are not there: the sequence goes on behind them. */
    public void hole(long number, boolean isClient, long length) {
        Flow flow = flows.get(number);
        if (flow != null && isClient) {
            flow.up += (int) length;
        } else if (flow != null) {
            flow.down += (int) length;
        }
    }

    /** Ends a connection, from the client's side or the server's, in order or at once. */
    public void closed(long number, boolean isByClient, boolean isReset, long at) throws IOException {
        Flow flow = flows.remove(number);
        if (flow == null || flow.isOver) {
            return;
        }
        flow.isOver = true;
        if (isReset) {
            write(flow, isByClient, Segment.RST | Segment.ACK, null, 0, 0, at);
            return;
        }
        write(flow, isByClient, Segment.FIN | Segment.ACK, null, 0, 0, at);
        flow.up += isByClient ? 1 : 0;
        flow.down += isByClient ? 0 : 1;
        write(flow, !isByClient, Segment.FIN | Segment.ACK, null, 0, 0, at);
        flow.up += isByClient ? 0 : 1;
        flow.down += isByClient ? 1 : 0;
        write(flow, isByClient, Segment.ACK, null, 0, 0, at);
    }

    private void write(Flow flow, boolean isClient, int flags, byte[] bytes, int start, int length, long at)
            throws IOException {
        Address from = isClient ? flow.client : flow.server;
        Address to = isClient ? flow.server : flow.client;
        boolean isSix = from.isSix();
        int ip = isSix ? 40 : 20;
        int total = ip + 20 + length;
        byte[] data = packet.data;
        java.util.Arrays.fill(data, 0, ip + 20, (byte) 0);
        if (isSix) {
            data[0] = 0x60;
            put16(4, 20 + length);
            data[6] = 6;
            data[7] = 64;
            put64(8, from.high());
            put64(16, from.low());
            put64(24, to.high());
            put64(32, to.low());
        } else {
            data[0] = 0x45;
            put16(2, total);
            put16(6, 0x4000);
            data[8] = 64;
            data[9] = 6;
            put32(12, (int) from.low());
            put32(16, (int) to.low());
            put16(10, ~fold(sum(0, 20, 0)) & 0xffff);
        }
        put16(ip, from.port());
        put16(ip + 2, to.port());
        put32(ip + 4, isClient ? flow.up : flow.down);
        put32(ip + 8, (flags & Segment.ACK) == 0 ? 0 : isClient ? flow.down : flow.up);
        data[ip + 12] = 0x50;
        data[ip + 13] = (byte) flags;
        put16(ip + 14, WINDOW);
        if (length > 0) {
            System.arraycopy(bytes, start, data, ip + 20, length);
        }
        long pseudo = sum(isSix ? 8 : 12, isSix ? 40 : 20, 0) + 6 + 20 + length;
        put16(ip + 16, ~fold(sum(ip, total, pseudo)) & 0xffff);
        packet.length = total;
        packet.original = total;
        packet.at = at;
        sink.write(packet);
    }

    private long sum(int from, int to, long sum) {
        byte[] data = packet.data;
        long all = sum;
        for (int i = from; i + 1 < to; i += 2) {
            all += (data[i] & 0xff) << 8 | data[i + 1] & 0xff;
        }
        return (to - from) % 2 == 0 ? all : all + ((data[to - 1] & 0xff) << 8);
    }

    private static int fold(long sum) {
        long all = sum;
        while (all > 0xffff) {
            all = (all & 0xffff) + (all >>> 16);
        }
        return (int) all;
    }

    private void put16(int at, int value) {
        packet.data[at] = (byte) (value >>> 8);
        packet.data[at + 1] = (byte) value;
    }

    private void put32(int at, int value) {
        put16(at, value >>> 16);
        put16(at + 2, value);
    }

    private void put64(int at, long value) {
        put32(at, (int) (value >>> 32));
        put32(at + 4, (int) value);
    }
}
