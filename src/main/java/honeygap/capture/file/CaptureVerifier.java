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
 * Strictly verifies pcapng files written by this program: block structure and both length fields, timestamps that
 * never go back, IP and TCP checksums, and contiguous TCP sequence numbers for each connection. Shares no code with the
 * writer and the reader, so that a fault in them can't hide itself.
 */
public final class CaptureVerifier {

    private static final int MAX_FAULTS = 100;

    private final List<String> faults = new ArrayList<>();
    /** Next expected TCP sequence number by sender and receiver. */
    private final Map<String, Long> nextSequence = new HashMap<>();
    private long packets;
    private long gaps;
    private long lastTimestampNs = Long.MIN_VALUE;
    private long offset;

    /**
     * Reads and verifies an uncompressed pcapng file. Sequence numbers that skip forward are counted as gaps, not as
     * faults: the recorder leaves them where it dropped data.
     */
    public CaptureVerifier(InputStream uncompressed, boolean mayEndEarly) throws IOException {
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(uncompressed))) {
            while (true) {
                int type = in.read();
                if (type < 0) {
                    break;
                }
                byte[] headerRest = in.readNBytes(7);
                if (headerRest.length < 7) {
                    throw new EOFException();
                }
                long blockType = type | littleEndian(headerRest, 0, 3) << 8;
                long length = littleEndian(headerRest, 3, 4);
                if (length < 12 || length % 4 != 0 || length > 1 << 20) {
                    addFault("invalid block length " + length);
                    return;
                }
                byte[] body = in.readNBytes((int) length - 8);
                if (body.length < length - 8) {
                    throw new EOFException();
                }
                if (littleEndian(body, body.length - 4, 4) != length) {
                    addFault("the two length fields of a block differ");
                }
                checkBlock(blockType, body);
                offset += length;
            }
        } catch (EOFException e) {
            if (!mayEndEarly) {
                addFault("the file ends in the middle of a block");
            }
        }
    }

    private void addFault(String description) {
        if (faults.size() < MAX_FAULTS) {
            faults.add("byte " + offset + ": " + description);
        }
    }

    public List<String> faults() {
        return Collections.unmodifiableList(faults);
    }

    public long packets() {
        return packets;
    }

    /** Number of places where bytes of a connection are missing. */
    public long gaps() {
        return gaps;
    }

    private static long littleEndian(byte[] bytes, int at, int count) {
        long value = 0;
        for (int i = count - 1; i >= 0; i--) {
            value = value << 8 | bytes[at + i] & 0xff;
        }
        return value;
    }

    private static long bigEndian(byte[] bytes, int at, int count) {
        long value = 0;
        for (int i = 0; i < count; i++) {
            value = value << 8 | bytes[at + i] & 0xff;
        }
        return value;
    }

    private void checkBlock(long blockType, byte[] body) {
        if (offset == 0 && blockType != 0x0a0d0d0aL) {
            addFault("the file does not start with a section header");
        }
        if (blockType != 6) {
            return;
        }
        packets++;
        long timestampNs = littleEndian(body, 4, 4) << 32 | littleEndian(body, 8, 4);
        if (timestampNs < lastTimestampNs) {
            addFault("timestamp goes back by " + (lastTimestampNs - timestampNs) + " ns");
        }
        lastTimestampNs = timestampNs;
        int captured = (int) littleEndian(body, 12, 4);
        if (captured != littleEndian(body, 16, 4)) {
            addFault("captured " + captured + " of " + littleEndian(body, 16, 4) + " bytes");
        }
        if (20 + (captured + 3) / 4 * 4 + 4 != body.length) {
            addFault("packet of " + captured + " bytes in a block with room for " + (body.length - 24));
            return;
        }
        checkPacket(java.util.Arrays.copyOfRange(body, 20, 20 + captured));
    }

    private static long sum(byte[] bytes, int from, int to) {
        long sum = 0;
        for (int i = from; i < to; i++) {
            sum += (i - from) % 2 == 0 ? (bytes[i] & 0xff) << 8 : bytes[i] & 0xff;
        }
        return sum;
    }

    private static boolean isValidChecksum(long sum) {
        return sum > 0 && sum % 0xffff == 0;
    }

    private void checkPacket(byte[] ip) {
        int version = ip.length == 0 ? 0 : ip[0] >> 4 & 15;
        int headerLength = version == 4 ? 20 : 40;
        if (version != 4 && version != 6 || ip.length < headerLength + 20) {
            addFault("not an IP packet");
            return;
        }
        long length = version == 4 ? bigEndian(ip, 2, 2) : 40 + bigEndian(ip, 4, 2);
        if (length != ip.length) {
            addFault("a packet of " + ip.length + " bytes with length field " + length);
            return;
        }
        if (version == 4 && !isValidChecksum(sum(ip, 0, 20))) {
            addFault("wrong IP checksum");
        }
        int addresses = version == 4 ? 12 : 8;
        long pseudo = sum(ip, addresses, headerLength) + 6 + (ip.length - headerLength);
        if (!isValidChecksum(pseudo + sum(ip, headerLength, ip.length))) {
            addFault("wrong TCP checksum");
        }
        String sender = java.util.HexFormat.of().formatHex(ip, addresses, addresses + (headerLength - addresses) / 2)
                + ":" + bigEndian(ip, headerLength, 2);
        String receiver = java.util.HexFormat.of().formatHex(ip,
                addresses + (headerLength - addresses) / 2, headerLength)
                + ":" + bigEndian(ip, headerLength + 2, 2);
        int flags = ip[headerLength + 13];
        long seq = bigEndian(ip, headerLength + 4, 4);
        long payloadLength = ip.length - headerLength - 20;
        Long next = nextSequence.get(sender + receiver);
        boolean isSyn = (flags & 2) != 0;
        if (!isSyn && next != null && next != seq) {
            long ahead = seq - next & 0xffffffffL;
            if (ahead < 1L << 31) {
                gaps++;
            } else {
                addFault("sequence number " + seq + " after " + next + " from " + sender);
            }
        }
        Long acknowledged = nextSequence.get(receiver + sender);
        if ((flags & 16) != 0 && acknowledged != null && acknowledged != bigEndian(ip, headerLength + 8, 4)
                && (acknowledged - bigEndian(ip, headerLength + 8, 4) & 0xffffffffL) < 1L << 31) {
            addFault("acknowledges " + bigEndian(ip, headerLength + 8, 4)
                    + " where the other side is at " + acknowledged);
        }
        nextSequence.put(sender + receiver, seq + payloadLength + (isSyn || (flags & 1) != 0 ? 1 : 0) & 0xffffffffL);
        if ((flags & 4) != 0) {
            nextSequence.remove(sender + receiver);
            nextSequence.remove(receiver + sender);
        }
    }
}
