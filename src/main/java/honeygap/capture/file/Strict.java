package honeygap.capture.file;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds what was written by this program against the letter of the formats: blocks and their two lengths, times that
 * do not step back, IP and TCP checksums, and for each connection that each byte follows the one before. Written apart
 * from the writer and the reader, and sharing nothing with them.
 */
public final class Strict {

    private static final int MOST_FAULTS = 100;

    private final List<String> faults = new ArrayList<>();
    /** The next sequence number by sender and receiver. */
    private final Map<String, Long> expected = new HashMap<>();
    private long packets;
    private long gaps;
    private long lastAt = Long.MIN_VALUE;
    private long place;

    /** Reads a plain pcapng file; gaps are holes that the recorder says it left. */
    public Strict(InputStream plain, boolean mayEndEarly) throws IOException {
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(plain))) {
            while (true) {
                int type = in.read();
                if (type < 0) {
                    break;
                }
                byte[] rest = in.readNBytes(7);
                if (rest.length < 7) {
                    throw new EOFException();
                }
                long code = type | little(rest, 0, 3) << 8;
                long length = little(rest, 3, 4);
                if (length < 12 || length % 4 != 0 || length > 1 << 20) {
                    fault("a block of length " + length);
                    return;
                }
                byte[] body = in.readNBytes((int) length - 8);
                if (body.length < length - 8) {
                    throw new EOFException();
                }
                if (little(body, body.length - 4, 4) != length) {
                    fault("a block whose two lengths differ");
                }
                block(code, body);
                place += length;
            }
        } catch (EOFException e) {
            if (!mayEndEarly) {
                fault("the file ends in the middle of a block");
            }
        }
    }

    private void fault(String words) {
        if (faults.size() < MOST_FAULTS) {
            faults.add("byte " + place + ": " + words);
        }
    }

    public List<String> faults() {
        return Collections.unmodifiableList(faults);
    }

    public long packets() {
        return packets;
    }

    /** Places where bytes of a connection are left out. */
    public long gaps() {
        return gaps;
    }

    private static long little(byte[] bytes, int at, int many) {
        long value = 0;
        for (int i = many - 1; i >= 0; i--) {
            value = value << 8 | bytes[at + i] & 0xff;
        }
        return value;
    }

    private static long big(byte[] bytes, int at, int many) {
        long value = 0;
        for (int i = 0; i < many; i++) {
            value = value << 8 | bytes[at + i] & 0xff;
        }
        return value;
    }

    private void block(long code, byte[] body) {
        if (place == 0 && code != 0x0a0d0d0aL) {
            fault("no section at the begin");
        }
        if (code != 6) {
            return;
        }
        packets++;
        long at = little(body, 4, 4) << 32 | little(body, 8, 4);
        if (at < lastAt) {
            fault("time steps back by " + (lastAt - at) + " ns");
        }
        lastAt = at;
        int captured = (int) little(body, 12, 4);
        if (captured != little(body, 16, 4)) {
            fault("captured " + captured + " of " + little(body, 16, 4) + " bytes");
        }
        if (20 + (captured + 3) / 4 * 4 + 4 != body.length) {
            fault("a packet of " + captured + " bytes in a block for " + (body.length - 24));
            return;
        }
        packet(java.util.Arrays.copyOfRange(body, 20, 20 + captured));
    }

    private static long sum(byte[] bytes, int from, int to) {
        long sum = 0;
        for (int i = from; i < to; i++) {
            sum += (i - from) % 2 == 0 ? (bytes[i] & 0xff) << 8 : bytes[i] & 0xff;
        }
        return sum;
    }

    private static boolean isOnes(long sum) {
        return sum > 0 && sum % 0xffff == 0;
    }

    private void packet(byte[] ip) {
        int version = ip.length == 0 ? 0 : ip[0] >> 4 & 15;
        int head = version == 4 ? 20 : 40;
        if (version != 4 && version != 6 || ip.length < head + 20) {
            fault("no packet of IP");
            return;
        }
        long length = version == 4 ? big(ip, 2, 2) : 40 + big(ip, 4, 2);
        if (length != ip.length) {
            fault("a packet of " + ip.length + " bytes that says " + length);
            return;
        }
        if (version == 4 && !isOnes(sum(ip, 0, 20))) {
            fault("a wrong checksum of IP");
        }
        int addresses = version == 4 ? 12 : 8;
        long pseudo = sum(ip, addresses, head) + 6 + (ip.length - head);
        if (!isOnes(pseudo + sum(ip, head, ip.length))) {
            fault("a wrong checksum of TCP");
        }
        String one = java.util.HexFormat.of().formatHex(ip, addresses, addresses + (head - addresses) / 2)
                + ":" + big(ip, head, 2);
        String other = java.util.HexFormat.of().formatHex(ip, addresses + (head - addresses) / 2, head)
                + ":" + big(ip, head + 2, 2);
        int flags = ip[head + 13];
        long seq = big(ip, head + 4, 4);
        long data = ip.length - head - 20;
        Long next = expected.get(one + other);
        boolean isSyn = (flags & 2) != 0;
        if (!isSyn && next != null && next != seq) {
            long ahead = seq - next & 0xffffffffL;
            if (ahead < 1L << 31) {
                gaps++;
            } else {
                fault("sequence " + seq + " after " + next + " from " + one);
            }
        }
        Long acknowledged = expected.get(other + one);
        if ((flags & 16) != 0 && acknowledged != null && acknowledged != big(ip, head + 8, 4)
                && (acknowledged - big(ip, head + 8, 4) & 0xffffffffL) < 1L << 31) {
            fault("acknowledges " + big(ip, head + 8, 4) + " of " + acknowledged);
        }
        expected.put(one + other, seq + data + (isSyn || (flags & 1) != 0 ? 1 : 0) & 0xffffffffL);
        if ((flags & 4) != 0) {
            expected.remove(one + other);
            expected.remove(other + one);
        }
    }
}
