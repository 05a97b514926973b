package honeygap.capture.packet;

import honeygap.capture.file.Packet;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Finds the TCP segment in a packet: link, network and transport, each length held against what is there. What is
 * no TCP, or lies, is passed over and counted by kind. Fragments of IP are put together within bounds. Sources:
 * the public link-type registry, RFC 791, 8200, 4302, 9293.
 */
public final class Decoder {

    private static final int ETHERNET = 1, NULL = 0, LOOP = 108, COOKED = 113, COOKED_2 = 276, RAW = 101, RAW_12 = 12,
            RAW_14 = 14, FOUR = 228, SIX = 229;
    private static final int TYPE_FOUR = 0x0800, TYPE_SIX = 0x86dd;
    private static final int MOST_TAGS = 4;
    private static final int MOST_EXTENSIONS = 8;
    private static final int TCP = 6;
    private static final int MOST_FRAGMENTED = 64;
    private static final int LONGEST_WHOLE = 65_535;
    /** Fragments that wait longer, in nanoseconds of the capture, are given up. */
    private static final long FRAGMENT_WAIT = 30_000_000_000L;

    /** Fragments of one packet of IP. */
    private static final class Whole {
        final long since;
        final byte[] data = new byte[LONGEST_WHOLE];
        /** Begin and end of what is there, in pieces that do not touch. */
        final TreeMap<Integer, Integer> there = new TreeMap<>();
        int end = -1;

        Whole(long since) {
            this.since = since;
        }

        void add(byte[] from, int at, int offset, int length, boolean isLast) {
            System.arraycopy(from, at, data, offset, length);
            int begin = offset;
            int end = offset + length;
            Map.Entry<Integer, Integer> before = there.floorEntry(begin);
            if (before != null && before.getValue() >= begin) {
                begin = before.getKey();
                end = Math.max(end, before.getValue());
            }
            for (Map.Entry<Integer, Integer> next = there.ceilingEntry(begin); next != null && next.getKey() <= end;
                    next = there.ceilingEntry(begin)) {
                end = Math.max(end, next.getValue());
                there.remove(next.getKey());
            }
            there.put(begin, end);
            this.end = isLast ? offset + length : this.end;
        }

        boolean isWhole() {
            return end >= 0 && there.size() == 1 && there.firstKey() == 0 && there.firstEntry().getValue() >= end;
        }
    }

    /** Addresses, protocol and number of a packet in fragments. */
    private record Id(long high, long low, long high2, long low2, int number, int protocol) { }

    private final LinkedHashMap<Id, Whole> fragmented = new LinkedHashMap<>();
    private final Map<String, Long> passed = new java.util.TreeMap<>();
    private byte[] data;
    private int end;
    private long at;

    /** Fills the segment; false where the packet holds none. */
    public boolean read(Packet packet, Segment segment) {
        data = packet.data;
        end = packet.length;
        at = packet.at;
        segment.at = packet.at;
        switch (packet.link) {
            case ETHERNET:
                return ethernet(segment);
            case NULL, LOOP:
                return loopback(segment);
            case COOKED:
                return end < 16 ? pass("cut off") : network(segment, u16(14), 16);
            case COOKED_2:
                return end < 20 ? pass("cut off") : network(segment, u16(0), 20);
            case RAW, RAW_12, RAW_14, FOUR, SIX:
                return raw(segment, 0);
            default:
                return pass("unknown link type " + packet.link);
        }
    }

    private boolean pass(String kind) {
        passed.merge(kind, 1L, Long::sum);
        return false;
    }

    /** Packets passed over, by kind. */
    public Map<String, Long> passed() {
        return passed;
    }

    private int u8(int at) {
        return data[at] & 0xff;
    }

    private int u16(int at) {
        return (data[at] & 0xff) << 8 | data[at + 1] & 0xff;
    }

    private int i32(int at) {
        return u16(at) << 16 | u16(at + 2);
    }

    private long i64(int at) {
        return (long) i32(at) << 32 | i32(at + 4) & 0xffffffffL;
    }

    private boolean ethernet(Segment segment) {
        int place = 12;
        for (int tags = 0; place + 2 <= end; tags++) {
            int type = u16(place);
            if (type != 0x8100 && type != 0x88a8 && type != 0x9100) {
                return network(segment, type, place + 2);
            }
            if (tags == MOST_TAGS) {
                return pass("too many tags");
            }
            place += 4;
        }
        return pass("cut off");
    }

    /** The family comes first, in the byte order of whoever captured. */
    private boolean loopback(Segment segment) {
        if (end < 4) {
            return pass("cut off");
        }
        int family = i32(0);
        family = (family & 0xffff) == 0 ? Integer.reverseBytes(family) : family;
        return family == 2 ? network(segment, TYPE_FOUR, 4)
                : family == 24 || family == 28 || family == 30 || family == 10 ? network(segment, TYPE_SIX, 4)
                : pass("not IP");
    }

    private boolean network(Segment segment, int type, int place) {
        return type == TYPE_FOUR || type == TYPE_SIX ? raw(segment, place) : pass("not IP");
    }

    private boolean raw(Segment segment, int place) {
        if (place >= end) {
            return pass("cut off");
        }
        switch (u8(place) >> 4) {
            case 4:
                return four(segment, place);
            case 6:
                return six(segment, place);
            default:
                return pass("not IP");
        }
    }

    private boolean four(Segment segment, int place) {
        if (place + 20 > end) {
            return pass("cut off");
        }
        int head = 4 * (u8(place) & 15);
        int total = u16(place + 2);
        // A length of 0 is what offloading leaves: the packet is as long as what was captured.
        int sent = total == 0 ? end - place : total;
        if (head < 20 || sent < head || place + head > end) {
            return pass("bad head of IP");
        }
        int protocol = u8(place + 9);
        int fragment = u16(place + 6);
        Address from = Address.four(i32(place + 12), 0);
        Address to = Address.four(i32(place + 16), 0);
        if ((fragment & 0x3fff) != 0) {
            Id id = new Id(0, from.low(), 0, to.low(), u16(place + 4), protocol);
            return fragment(segment, id, from, to, place + head, sent - head, 8 * (fragment & 0x1fff),
                    (fragment & 0x2000) == 0, protocol);
        }
        return protocol == TCP ? tcp(segment, from, to, place + head, sent - head) : pass("not TCP");
    }

    private boolean six(Segment segment, int place) {
        if (place + 40 > end) {
            return pass("cut off");
        }
        int sent = u16(place + 4);
        int next = u8(place + 6);
        Address from = new Address(true, i64(place + 8), i64(place + 16), 0);
        Address to = new Address(true, i64(place + 24), i64(place + 32), 0);
        int at = place + 40;
        int left = sent == 0 ? end - at : sent;
        for (int i = 0; i < MOST_EXTENSIONS; i++) {
            if (next == TCP) {
                return tcp(segment, from, to, at, left);
            }
            boolean isKnown = next == 0 || next == 43 || next == 60 || next == 44 || next == 51;
            if (!isKnown) {
                return pass("not TCP");
            }
            if (at + 8 > end || left < 8) {
                return pass("cut off");
            }
            int length = next == 44 ? 8 : next == 51 ? 4 * (u8(at + 1) + 2) : 8 * (u8(at + 1) + 1);
            if (next == 44) {
                int offset = u16(at + 2);
                if ((offset & 0xfff9) != 0) {
                    Id id = new Id(from.high(), from.low(), to.high(), to.low(), i32(at + 4), u8(at));
                    return fragment(segment, id, from, to, at + 8, left - 8, offset & 0xfff8, (offset & 1) == 0,
                            u8(at));
                }
            }
            next = u8(at);
            at += length;
            left -= length;
            if (left < 0 || at > end) {
                return pass("bad head of IP");
            }
        }
        return pass("too many extensions");
    }

    private boolean fragment(Segment segment, Id id, Address from, Address to, int place, int length, int offset,
                             boolean isLast, int protocol) {
        fragmented.values().removeIf(old -> at - old.since > FRAGMENT_WAIT);
        if (place + length > end || length <= 0 || offset + length > LONGEST_WHOLE) {
            return pass("bad fragment");
        }
        Whole whole = fragmented.computeIfAbsent(id, key -> new Whole(at));
        if (fragmented.size() > MOST_FRAGMENTED) {
            fragmented.remove(fragmented.keySet().iterator().next());
            passed.merge("fragments given up", 1L, Long::sum);
        }
        whole.add(data, place, offset, length, isLast);
        if (!whole.isWhole()) {
            return pass("fragment");
        }
        fragmented.remove(id);
        if (protocol != TCP) {
            return pass("not TCP");
        }
        data = Arrays.copyOf(whole.data, whole.end);
        end = whole.end;
        return tcp(segment, from, to, 0, whole.end);
    }

    private boolean tcp(Segment segment, Address from, Address to, int place, int sent) {
        if (place + 20 > end || sent < 20) {
            return pass("cut off");
        }
        int head = 4 * (u8(place + 12) >> 4);
        if (head < 20 || head > sent) {
            return pass("bad head of TCP");
        }
        segment.from = new Address(from.isSix(), from.high(), from.low(), u16(place));
        segment.to = new Address(to.isSix(), to.high(), to.low(), u16(place + 2));
        segment.seq = i32(place + 4);
        segment.ack = i32(place + 8);
        segment.flags = u8(place + 13);
        segment.data = data;
        segment.start = Math.min(place + head, end);
        segment.sent = sent - head;
        // Behind the packet there may be padding; before its end the capture may have stopped.
        segment.length = Math.max(0, Math.min(segment.sent, end - segment.start));
        if (segment.length < segment.sent) {
            passed.merge("segments cut off", 1L, Long::sum);
        }
        return true;
    }
}
