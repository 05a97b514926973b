package honeygap.capture.file;

import honeygap.capture.packet.Address;
import honeygap.capture.packet.Segment;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/**
 * Synthesizes IP packets from the byte streams of connections: real addresses, TCP sequence numbers that also advance
 * over missing bytes, acknowledgements, checksums, and segmentation of long data.
 */
public final class PacketSynthesizer {

    /** LINKTYPE_RAW: packets begin with the IP header. */
    public static final int LINK_TYPE_RAW = 101;

    private static final int MAX_SEGMENT_BYTES = 1448;
    private static final int WINDOW_BYTES = 65_535;

    /** Receives the packets; each is valid only during the call. */
    public interface Sink {

        void write(Packet packet) throws IOException;
    }

    private static final class Flow {
        final Address client;
        final Address server;
        /** Next sequence number of each side. */
        int clientSequence;
        int serverSequence;
        boolean isClosed;

        Flow(Address client, Address server, int clientSequence, int serverSequence) {
            this.client = client;
            this.server = server;
            this.clientSequence = clientSequence;
            this.serverSequence = serverSequence;
        }
    }

    private final Sink sink;
    private final Packet packet = new Packet();
    private final Map<Long, Flow> flows = new HashMap<>();

    public PacketSynthesizer(Sink sink) {
        this.sink = sink;
        packet.linkType = LINK_TYPE_RAW;
    }

    public int openConnections() {
        return flows.size();
    }

    /** Opens a connection; writes the TCP handshake if its start was seen. */
    public void opened(long number, Address client, Address server, boolean isFromStart, long timestampNs)
            throws IOException {
        int seed = (int) (number * 0x9e3779b9L) ^ client.port() << 16 ^ server.port();
        Flow flow = new Flow(client, server, seed, seed * 31 + 17);
        flows.put(number, flow);
        if (isFromStart) {
            write(flow, true, Segment.SYN, null, 0, 0, timestampNs);
            flow.clientSequence++;
            write(flow, false, Segment.SYN | Segment.ACK, null, 0, 0, timestampNs);
            flow.serverSequence++;
            write(flow, true, Segment.ACK, null, 0, 0, timestampNs);
        }
    }

    public void data(long number, boolean isClient, byte[] bytes, int start, int length, long timestampNs)
            throws IOException {
        Flow flow = flows.get(number);
        if (flow == null) {
            return;
        }
        for (int done = 0; done < length;) {
            int segmentLength = Math.min(MAX_SEGMENT_BYTES, length - done);
            done += segmentLength;
            write(flow, isClient, Segment.ACK | (done == length ? Segment.PSH : 0), bytes,
                    start + done - segmentLength, segmentLength, timestampNs);
            if (isClient) {
                flow.clientSequence += segmentLength;
            } else {
                flow.serverSequence += segmentLength;
            }
        }
    }

    /** Advances the sequence number over missing bytes. */
    public void skipBytes(long number, boolean isClient, long length) {
        Flow flow = flows.get(number);
        if (flow != null && isClient) {
            flow.clientSequence += (int) length;
        } else if (flow != null) {
            flow.serverSequence += (int) length;
        }
    }

    /** Closes a connection from the client's or the server's side, with a FIN exchange or a RST. */
    public void closed(long number, boolean isByClient, boolean isReset, long timestampNs) throws IOException {
        Flow flow = flows.remove(number);
        if (flow == null || flow.isClosed) {
            return;
        }
        flow.isClosed = true;
        if (isReset) {
            write(flow, isByClient, Segment.RST | Segment.ACK, null, 0, 0, timestampNs);
            return;
        }
        write(flow, isByClient, Segment.FIN | Segment.ACK, null, 0, 0, timestampNs);
        flow.clientSequence += isByClient ? 1 : 0;
        flow.serverSequence += isByClient ? 0 : 1;
        write(flow, !isByClient, Segment.FIN | Segment.ACK, null, 0, 0, timestampNs);
        flow.clientSequence += isByClient ? 0 : 1;
        flow.serverSequence += isByClient ? 1 : 0;
        write(flow, isByClient, Segment.ACK, null, 0, 0, timestampNs);
    }

    private void write(Flow flow, boolean isClient, int flags, byte[] bytes, int start, int length, long timestampNs)
            throws IOException {
        Address from = isClient ? flow.client : flow.server;
        Address to = isClient ? flow.server : flow.client;
        boolean isIpv6 = from.isIpv6();
        int ipHeaderLength = isIpv6 ? 40 : 20;
        int totalLength = ipHeaderLength + 20 + length;
        byte[] data = packet.data;
        java.util.Arrays.fill(data, 0, ipHeaderLength + 20, (byte) 0);
        if (isIpv6) {
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
            put16(2, totalLength);
            put16(6, 0x4000);
            data[8] = 64;
            data[9] = 6;
            put32(12, (int) from.low());
            put32(16, (int) to.low());
            put16(10, ~fold(sum(0, 20, 0)) & 0xffff);
        }
        put16(ipHeaderLength, from.port());
        put16(ipHeaderLength + 2, to.port());
        put32(ipHeaderLength + 4, isClient ? flow.clientSequence : flow.serverSequence);
        put32(ipHeaderLength + 8, (flags & Segment.ACK) == 0 ? 0
                : isClient ? flow.serverSequence : flow.clientSequence);
        data[ipHeaderLength + 12] = 0x50;
        data[ipHeaderLength + 13] = (byte) flags;
        put16(ipHeaderLength + 14, WINDOW_BYTES);
        if (length > 0) {
            System.arraycopy(bytes, start, data, ipHeaderLength + 20, length);
        }
        long pseudoHeaderSum = sum(isIpv6 ? 8 : 12, isIpv6 ? 40 : 20, 0) + 6 + 20 + length;
        put16(ipHeaderLength + 16, ~fold(sum(ipHeaderLength, totalLength, pseudoHeaderSum)) & 0xffff);
        packet.length = totalLength;
        packet.originalLength = totalLength;
        packet.timestampNs = timestampNs;
        sink.write(packet);
    }

    private long sum(int from, int to, long sum) {
        byte[] data = packet.data;
        long total = sum;
        for (int i = from; i + 1 < to; i += 2) {
            total += (data[i] & 0xff) << 8 | data[i + 1] & 0xff;
        }
        return (to - from) % 2 == 0 ? total : total + ((data[to - 1] & 0xff) << 8);
    }

    private static int fold(long sum) {
        long folded = sum;
        while (folded > 0xffff) {
            folded = (folded & 0xffff) + (folded >>> 16);
        }
        return (int) folded;
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
