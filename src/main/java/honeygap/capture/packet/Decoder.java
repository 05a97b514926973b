package honeygap.capture.packet;

import honeygap.capture.file.Packet;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decodes the link, network and transport headers of a packet to find its TCP segment, with each length field checked
 * against the captured bytes. Packets that are not TCP or are malformed are skipped and counted by kind. IP fragments
 * are reassembled within limits. Sources: the public link-type registry, RFC 791, 8200, 4302, 9293.
 */
public final class Decoder {

    private static final int ETHERNET = 1, NULL = 0, LOOP = 108, LINUX_SLL = 113, LINUX_SLL2 = 276,
            RAW = 101, RAW_12 = 12, RAW_14 = 14, IPV4 = 228, IPV6 = 229;
    private static final int ETHERTYPE_IPV4 = 0x0800, ETHERTYPE_IPV6 = 0x86dd;
    private static final int MAX_VLAN_TAGS = 4;
    private static final int MAX_EXTENSION_HEADERS = 8;
    private static final int PROTOCOL_TCP = 6;
    private static final int MAX_FRAGMENTED_DATAGRAMS = 64;
    private static final int MAX_DATAGRAM_BYTES = 65_535;
    /** Age in capture time after which an incomplete fragmented datagram is dropped. */
    private static final long FRAGMENT_TIMEOUT_NS = 30_000_000_000L;

    /** The fragments of one IP datagram received so far. */
    private static final class FragmentedDatagram {
        final long firstFragmentNs;
        final byte[] data = new byte[MAX_DATAGRAM_BYTES];
        /** Start and end of the received ranges, which neither overlap nor touch. */
        final TreeMap<Integer, Integer> ranges = new TreeMap<>();
        /** Total length; negative until the last fragment has been received. */
        int length = -1;

        FragmentedDatagram(long firstFragmentNs) {
            this.firstFragmentNs = firstFragmentNs;
        }

        void add(byte[] from, int sourceIndex, int offset, int length, boolean isLast) {
            System.arraycopy(from, sourceIndex, data, offset, length);
            int begin = offset;
            int end = offset + length;
            Map.Entry<Integer, Integer> before = ranges.floorEntry(begin);
            if (before != null && before.getValue() >= begin) {
                begin = before.getKey();
                end = Math.max(end, before.getValue());
            }
            for (Map.Entry<Integer, Integer> next = ranges.ceilingEntry(begin); next != null && next.getKey() <= end;
                    next = ranges.ceilingEntry(begin)) {
                end = Math.max(end, next.getValue());
                ranges.remove(next.getKey());
            }
            ranges.put(begin, end);
            this.length = isLast ? offset + length : this.length;
        }

        boolean isComplete() {
            return length >= 0 && ranges.size() == 1 && ranges.firstKey() == 0
                    && ranges.firstEntry().getValue() >= length;
        }
    }

    /** Identifies a fragmented datagram: addresses, identification and protocol. */
    private record FragmentKey(long high, long low, long high2, long low2, int number, int protocol) { }

    private final LinkedHashMap<FragmentKey, FragmentedDatagram> fragmented = new LinkedHashMap<>();
    private final Map<String, Long> skipped = new java.util.TreeMap<>();
    private byte[] data;
    private int end;
    private long packetTimestampNs;

    /** Fills the segment; false if the packet holds none. */
    public boolean decode(Packet packet, Segment segment) {
        data = packet.data;
        end = packet.length;
        packetTimestampNs = packet.timestampNs;
        segment.timestampNs = packet.timestampNs;
        switch (packet.linkType) {
            case ETHERNET:
                return decodeEthernet(segment);
            case NULL, LOOP:
                return decodeLoopback(segment);
            case LINUX_SLL:
                return end < 16 ? skip("cut off") : decodeNetwork(segment, u16(14), 16);
            case LINUX_SLL2:
                return end < 20 ? skip("cut off") : decodeNetwork(segment, u16(0), 20);
            case RAW, RAW_12, RAW_14, IPV4, IPV6:
                return decodeIp(segment, 0);
            default:
                return skip("unknown link type " + packet.linkType);
        }
    }

    private boolean skip(String kind) {
        skipped.merge(kind, 1L, Long::sum);
        return false;
    }

    /** Skipped packets, by kind. */
    public Map<String, Long> skipped() {
        return skipped;
    }

    private int u8(int offset) {
        return data[offset] & 0xff;
    }

    private int u16(int offset) {
        return (data[offset] & 0xff) << 8 | data[offset + 1] & 0xff;
    }

    private int i32(int offset) {
        return u16(offset) << 16 | u16(offset + 2);
    }

    private long i64(int offset) {
        return (long) i32(offset) << 32 | i32(offset + 4) & 0xffffffffL;
    }

    private boolean decodeEthernet(Segment segment) {
        int offset = 12;
        for (int tags = 0; offset + 2 <= end; tags++) {
            int type = u16(offset);
            if (type != 0x8100 && type != 0x88a8 && type != 0x9100) {
                return decodeNetwork(segment, type, offset + 2);
            }
            if (tags == MAX_VLAN_TAGS) {
                return skip("too many tags");
            }
            offset += 4;
        }
        return skip("cut off");
    }

    /** The address family comes first, in the byte order of the capturing host. */
    private boolean decodeLoopback(Segment segment) {
        if (end < 4) {
            return skip("cut off");
        }
        int family = i32(0);
        family = (family & 0xffff) == 0 ? Integer.reverseBytes(family) : family;
        return family == 2 ? decodeNetwork(segment, ETHERTYPE_IPV4, 4)
                : family == 24 || family == 28 || family == 30 || family == 10 ? decodeNetwork(segment, ETHERTYPE_IPV6, 4)
                : skip("not IP");
    }

    private boolean decodeNetwork(Segment segment, int type, int offset) {
        return type == ETHERTYPE_IPV4 || type == ETHERTYPE_IPV6 ? decodeIp(segment, offset) : skip("not IP");
    }

    private boolean decodeIp(Segment segment, int offset) {
        if (offset >= end) {
            return skip("cut off");
        }
        switch (u8(offset) >> 4) {
            case 4:
                return decodeIpv4(segment, offset);
            case 6:
                return decodeIpv6(segment, offset);
            default:
                return skip("not IP");
        }
    }

    private boolean decodeIpv4(Segment segment, int offset) {
        if (offset + 20 > end) {
            return skip("cut off");
        }
        int headerLength = 4 * (u8(offset) & 15);
        int totalLength = u16(offset + 2);
        // Segmentation offload leaves a total length of 0: the datagram is as long as what was captured.
        int datagramLength = totalLength == 0 ? end - offset : totalLength;
        if (headerLength < 20 || datagramLength < headerLength || offset + headerLength > end) {
            return skip("bad head of IP");
        }
        int protocol = u8(offset + 9);
        int fragment = u16(offset + 6);
        Address from = Address.ipv4(i32(offset + 12), 0);
        Address to = Address.ipv4(i32(offset + 16), 0);
        if ((fragment & 0x3fff) != 0) {
            FragmentKey id = new FragmentKey(0, from.low(), 0, to.low(), u16(offset + 4), protocol);
            return addFragment(segment, id, from, to, offset + headerLength,
                    datagramLength - headerLength, 8 * (fragment & 0x1fff),
                    (fragment & 0x2000) == 0, protocol);
        }
        return protocol == PROTOCOL_TCP
                ? decodeTcp(segment, from, to, offset + headerLength, datagramLength - headerLength)
                : skip("not TCP");
    }

    private boolean decodeIpv6(Segment segment, int headerOffset) {
        if (headerOffset + 40 > end) {
            return skip("cut off");
        }
        int payloadLength = u16(headerOffset + 4);
        int next = u8(headerOffset + 6);
        Address from = new Address(true, i64(headerOffset + 8), i64(headerOffset + 16), 0);
        Address to = new Address(true, i64(headerOffset + 24), i64(headerOffset + 32), 0);
        int offset = headerOffset + 40;
        int remaining = payloadLength == 0 ? end - offset : payloadLength;
        for (int i = 0; i < MAX_EXTENSION_HEADERS; i++) {
            if (next == PROTOCOL_TCP) {
                return decodeTcp(segment, from, to, offset, remaining);
            }
            boolean isSkippable = next == 0 || next == 43 || next == 60 || next == 44 || next == 51;
            if (!isSkippable) {
                return skip("not TCP");
            }
            if (offset + 8 > end || remaining < 8) {
                return skip("cut off");
            }
            int length = next == 44 ? 8 : next == 51 ? 4 * (u8(offset + 1) + 2) : 8 * (u8(offset + 1) + 1);
            if (next == 44) {
                int fragmentField = u16(offset + 2);
                if ((fragmentField & 0xfff9) != 0) {
                    FragmentKey id = new FragmentKey(from.high(), from.low(), to.high(), to.low(), i32(offset + 4), u8(offset));
                    return addFragment(segment, id, from, to, offset + 8, remaining - 8, fragmentField & 0xfff8, (fragmentField & 1) == 0,
                            u8(offset));
                }
            }
            next = u8(offset);
            offset += length;
            remaining -= length;
            if (remaining < 0 || offset > end) {
                return skip("bad head of IP");
            }
        }
        return skip("too many extensions");
    }

    private boolean addFragment(Segment segment, FragmentKey id, Address from, Address to, int dataOffset, int length,
            int offset, boolean isLast, int protocol) {
        fragmented.values().removeIf(old -> packetTimestampNs - old.firstFragmentNs > FRAGMENT_TIMEOUT_NS);
        if (dataOffset + length > end || length <= 0 || offset + length > MAX_DATAGRAM_BYTES) {
            return skip("bad fragment");
        }
        FragmentedDatagram datagram = fragmented.computeIfAbsent(id, key -> new FragmentedDatagram(packetTimestampNs));
        if (fragmented.size() > MAX_FRAGMENTED_DATAGRAMS) {
            fragmented.remove(fragmented.keySet().iterator().next());
            skipped.merge("fragments given up", 1L, Long::sum);
        }
        datagram.add(data, dataOffset, offset, length, isLast);
        if (!datagram.isComplete()) {
            return skip("fragment");
        }
        fragmented.remove(id);
        if (protocol != PROTOCOL_TCP) {
            return skip("not TCP");
        }
        data = Arrays.copyOf(datagram.data, datagram.length);
        end = datagram.length;
        return decodeTcp(segment, from, to, 0, datagram.length);
    }

    private boolean decodeTcp(Segment segment, Address from, Address to, int offset, int segmentLength) {
        if (offset + 20 > end || segmentLength < 20) {
            return skip("cut off");
        }
        int headerLength = 4 * (u8(offset + 12) >> 4);
        if (headerLength < 20 || headerLength > segmentLength) {
            return skip("bad head of TCP");
        }
        segment.from = new Address(from.isIpv6(), from.high(), from.low(), u16(offset));
        segment.to = new Address(to.isIpv6(), to.high(), to.low(), u16(offset + 2));
        segment.seq = i32(offset + 4);
        segment.ack = i32(offset + 8);
        segment.flags = u8(offset + 13);
        segment.data = data;
        segment.dataOffset = Math.min(offset + headerLength, end);
        segment.payloadLength = segmentLength - headerLength;
        // Link padding may follow the datagram, or the snap length may have cut it short.
        segment.capturedLength = Math.max(0, Math.min(segment.payloadLength, end - segment.dataOffset));
        if (segment.capturedLength < segment.payloadLength) {
            skipped.merge("segments cut off", 1L, Long::sum);
        }
        return true;
    }
}
