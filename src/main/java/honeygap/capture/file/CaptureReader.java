package honeygap.capture.file;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Reads pcap and pcapng files as streams, with memory that does not grow with the file. A truncated file ends with its
 * last complete packet and reports where it is cut off ({@link #cutOff}); invalid content raises an exception with the
 * offset. Formats: the pcap savefile format and the pcapng drafts of the IETF's opsawg.
 */
public final class CaptureReader implements Closeable {

    /** Longer blocks are rejected, so that a corrupt length field can't cause a huge allocation. */
    private static final int MAX_BLOCK_BYTES = 1 << 24;
    private static final int MAX_PACKET_BYTES = 1 << 20;
    private static final int MAX_INTERFACES = 4096;

    private static final int PCAP_MAGIC_MICROS = 0xa1b2c3d4;
    private static final int PCAP_MAGIC_NANOS = 0xa1b23c4d;
    private static final int SECTION_HEADER_BLOCK = 0x0a0d0d0a;
    private static final int BYTE_ORDER_MAGIC = 0x1a2b3c4d;
    private static final int INTERFACE_BLOCK = 1, OBSOLETE_PACKET_BLOCK = 2, SIMPLE_PACKET_BLOCK = 3,
            ENHANCED_PACKET_BLOCK = 6;
    private static final int OPTION_TIME_RESOLUTION = 9, OPTION_TIME_OFFSET = 14;

    /** A pcapng interface description, or the values of a pcap file header. */
    private static final class InterfaceDescription {
        int linkType;
        int snapLength;
        /** Timestamp resolution, and seconds to add to each timestamp. */
        long ticksPerSecond = 1_000_000;
        long offsetSeconds;
    }

    private final CaptureInput input;
    private final boolean isPcapng;
    private ByteOrder byteOrder;
    private byte[] buffer = new byte[1 << 12];
    private final List<InterfaceDescription> interfaces = new ArrayList<>();
    private final InterfaceDescription pcapInterface = new InterfaceDescription();
    private long packets;
    private String truncation;
    private boolean isAtEnd;

    public CaptureReader(Path file) throws IOException {
        this(new CaptureInput(file));
    }

    /** The name is used in error messages. */
    public CaptureReader(String name, InputStream bytes) throws IOException {
        this(new CaptureInput(name, bytes));
    }

    private CaptureReader(CaptureInput input) throws IOException {
        this.input = input;
        byte[] magic = new byte[4];
        if (input.read(magic, 0, 4) < 4) {
            if (input.isTruncated()) {
                // Truncated before the first compressed block was complete.
                isPcapng = true;
                isAtEnd = true;
                truncation = "the compressed data is cut off before its first complete block";
                return;
            }
            throw new MalformedCaptureException(input.name, 0, "not a capture", "too short for a capture file");
        }
        int bigEndian = ByteBuffer.wrap(magic).getInt();
        isPcapng = bigEndian == SECTION_HEADER_BLOCK;
        if (isPcapng) {
            truncation = readSectionHeader();
            return;
        }
        int littleEndian = Integer.reverseBytes(bigEndian);
        if (bigEndian != PCAP_MAGIC_MICROS && bigEndian != PCAP_MAGIC_NANOS
                && littleEndian != PCAP_MAGIC_MICROS && littleEndian != PCAP_MAGIC_NANOS) {
            throw new MalformedCaptureException(input.name, 0, "not a capture", "neither pcap nor pcapng");
        }
        byteOrder = bigEndian == PCAP_MAGIC_MICROS || bigEndian == PCAP_MAGIC_NANOS ? ByteOrder.BIG_ENDIAN
                : ByteOrder.LITTLE_ENDIAN;
        pcapInterface.ticksPerSecond = bigEndian == PCAP_MAGIC_NANOS || littleEndian == PCAP_MAGIC_NANOS
                ? 1_000_000_000 : 1_000_000;
        if (input.read(buffer, 0, 20) < 20) {
            truncation = "the file header is cut off";
            isAtEnd = true;
            return;
        }
        ByteBuffer header = wrap(20);
        if (header.getShort(0) != 2) {
            throw new MalformedCaptureException(input.name, 4, "version", "version " + header.getShort(0) + " of pcap is not supported");
        }
        pcapInterface.snapLength = header.getInt(12);
        pcapInterface.linkType = header.getInt(16) & 0x0fffffff;
    }

    private ByteBuffer wrap(int length) {
        return ByteBuffer.wrap(buffer, 0, length).order(byteOrder);
    }

    /** Reads the next packet; false at the end of the file or where it is truncated. */
    public boolean next(Packet packet) throws IOException {
        if (isAtEnd) {
            return false;
        }
        boolean isRead = isPcapng ? nextPcapng(packet) : nextPcap(packet);
        if (!isRead) {
            isAtEnd = true;
            if (truncation == null && input.isTruncated()) {
                truncation = "the compressed data is cut off";
            }
        } else {
            packet.number = ++packets;
        }
        return isRead;
    }

    /** Describes what is missing at the end of a truncated file, and at which byte; null for a complete file. */
    public String cutOff() {
        return truncation == null ? null : input.name + ": byte " + input.offset() + ": " + truncation;
    }

    public long packets() {
        return packets;
    }

    /** Bytes read so far, after decompression. */
    public long bytesRead() {
        return input.offset();
    }

    private void ensureCapacity(int length) {
        if (buffer.length < length) {
            buffer = Arrays.copyOf(buffer, Math.max(length, 2 * buffer.length));
        }
    }

    private boolean nextPcap(Packet packet) throws IOException {
        packet.fileOffset = input.offset();
        int count = input.read(buffer, 0, 16);
        if (count < 16) {
            truncation = count > 0 ? "the header of packet " + (packets + 1) + " is cut off" : truncation;
            return false;
        }
        ByteBuffer header = wrap(16);
        int length = header.getInt(8);
        if (length < 0 || length > MAX_PACKET_BYTES) {
            throw new MalformedCaptureException(input.name, packet.fileOffset, "length", "packet " + (packets + 1) + " has length "
                    + (length & 0xffffffffL));
        }
        if (!readData(packet, length, header.getInt(12))) {
            return false;
        }
        long fraction = header.getInt(4) & 0xffffffffL;
        packet.timestampNs = timestampNs(pcapInterface,
                (header.getInt(0) & 0xffffffffL) * pcapInterface.ticksPerSecond + fraction);
        packet.linkType = pcapInterface.linkType;
        return true;
    }

    /** Reads the packet's data; false if the file ends before. */
    private boolean readData(Packet packet, int length, int originalLength) throws IOException {
        if (packet.data.length < length) {
            packet.data = new byte[Math.max(length, 2 * packet.data.length)];
        }
        if (input.read(packet.data, 0, length) < length) {
            truncation = "packet " + (packets + 1) + " is cut off";
            return false;
        }
        packet.length = length;
        packet.originalLength = Math.max(length, originalLength);
        return true;
    }

    private static long timestampNs(InterfaceDescription description, long ticks) {
        long seconds = Math.floorDiv(ticks, description.ticksPerSecond);
        long fraction = Math.floorMod(ticks, description.ticksPerSecond);
        long nanos = description.ticksPerSecond <= 1_000_000_000L
                ? fraction * (1_000_000_000L / description.ticksPerSecond)
                : (long) (fraction * (1e9 / description.ticksPerSecond));
        return (seconds + description.offsetSeconds) * 1_000_000_000L + nanos;
    }

    /** Reads a section header block after its type field; returns a description if it is truncated, else null. */
    private String readSectionHeader() throws IOException {
        long offset = input.offset() - 4;
        if (input.read(buffer, 0, 8) < 8) {
            isAtEnd = true;
            return "a section header is cut off";
        }
        int magic = ByteBuffer.wrap(buffer, 4, 4).getInt();
        if (magic != BYTE_ORDER_MAGIC && magic != Integer.reverseBytes(BYTE_ORDER_MAGIC)) {
            throw new MalformedCaptureException(input.name, offset + 8, "byte order", "invalid byte-order magic in a section header");
        }
        byteOrder = magic == BYTE_ORDER_MAGIC ? ByteOrder.BIG_ENDIAN : ByteOrder.LITTLE_ENDIAN;
        int length = wrap(4).getInt(0);
        checkLength(offset, length, 28);
        ensureCapacity(length - 12);
        if (input.read(buffer, 0, length - 12) < length - 12) {
            isAtEnd = true;
            return "a section header is cut off";
        }
        checkTrailingLength(offset, length, length - 12);
        short major = wrap(2).getShort(0);
        if (major != 1) {
            throw new MalformedCaptureException(input.name, offset + 12, "version", "version " + major + " of pcapng is not supported");
        }
        interfaces.clear();
        return null;
    }

    private void checkLength(long offset, int length, int minimum) throws MalformedCaptureException {
        if (length < minimum || length > MAX_BLOCK_BYTES || length % 4 != 0) {
            throw new MalformedCaptureException(input.name, offset, "length", "a block has length " + (length & 0xffffffffL));
        }
    }

    private void checkTrailingLength(long offset, int length, int end) throws MalformedCaptureException {
        int trailingLength = wrap(end).getInt(end - 4);
        if (trailingLength != length) {
            throw new MalformedCaptureException(input.name, offset, "length", "a block of length " + length + " ends with length "
                    + (trailingLength & 0xffffffffL));
        }
    }

    private boolean nextPcapng(Packet packet) throws IOException {
        while (true) {
            packet.fileOffset = input.offset();
            int count = input.read(buffer, 0, 4);
            if (count < 4) {
                truncation = count > 0 ? "a block header is cut off" : truncation;
                return false;
            }
            int type = wrap(4).getInt(0);
            if (type == SECTION_HEADER_BLOCK) {
                truncation = readSectionHeader();
                if (truncation != null) {
                    return false;
                }
                continue;
            }
            if (input.read(buffer, 0, 4) < 4) {
                truncation = "a block header is cut off";
                return false;
            }
            int length = wrap(4).getInt(0);
            checkLength(packet.fileOffset, length, 12);
            int remaining = length - 8;
            if (type != INTERFACE_BLOCK && type != ENHANCED_PACKET_BLOCK && type != SIMPLE_PACKET_BLOCK
                    && type != OBSOLETE_PACKET_BLOCK) {
                if (!input.skip(remaining)) {
                    truncation = "a block is cut off";
                    return false;
                }
                continue;
            }
            ensureCapacity(remaining);
            if (input.read(buffer, 0, remaining) < remaining) {
                truncation = "a block is cut off";
                return false;
            }
            checkTrailingLength(packet.fileOffset, length, remaining);
            if (type == INTERFACE_BLOCK) {
                readInterface(packet.fileOffset, remaining - 4);
            } else {
                readPacketBlock(packet, type, remaining - 4);
                return true;
            }
        }
    }

    private void readInterface(long blockOffset, int length) throws MalformedCaptureException {
        if (length < 8 || interfaces.size() >= MAX_INTERFACES) {
            throw new MalformedCaptureException(input.name, blockOffset, "interface",
                    "incomplete interface description, or too many interfaces");
        }
        ByteBuffer body = wrap(length);
        InterfaceDescription description = new InterfaceDescription();
        description.linkType = body.getShort(0) & 0xffff;
        description.snapLength = body.getInt(4);
        int position = 8;
        while (position + 4 <= length) {
            int code = body.getShort(position) & 0xffff;
            int size = body.getShort(position + 2) & 0xffff;
            position += 4;
            if (code == 0) {
                break;
            }
            if (position + size > length) {
                throw new MalformedCaptureException(input.name, blockOffset, "option", "an option is longer than its block");
            }
            if (code == OPTION_TIME_RESOLUTION && size == 1) {
                description.ticksPerSecond = ticksPerSecond(blockOffset, body.get(position) & 0xff);
            } else if (code == OPTION_TIME_OFFSET && size == 8) {
                description.offsetSeconds = body.getLong(position);
            }
            position += size + 3 & ~3;
        }
        if (Math.abs(description.offsetSeconds) > 1L << 33) {
            throw new MalformedCaptureException(input.name, blockOffset, "option",
                    "unsupported time offset of " + description.offsetSeconds + " s");
        }
        interfaces.add(description);
    }

    private long ticksPerSecond(long blockOffset, int resolution) throws MalformedCaptureException {
        int exponent = resolution & 0x7f;
        boolean isBinary = resolution > 0x7f;
        if (exponent > (isBinary ? 62 : 18)) {
            throw new MalformedCaptureException(input.name, blockOffset, "option",
                    "unsupported time resolution: 10 or 2 to the power of -" + exponent);
        }
        long ticks = 1;
        for (int i = 0; i < exponent; i++) {
            ticks *= isBinary ? 2 : 10;
        }
        return ticks;
    }

    private void readPacketBlock(Packet packet, int type, int length) throws MalformedCaptureException {
        ByteBuffer body = wrap(length);
        int headerLength = type == SIMPLE_PACKET_BLOCK ? 4 : 20;
        if (length < headerLength) {
            throw new MalformedCaptureException(input.name, packet.fileOffset, "length", "a packet block of " + length + " bytes");
        }
        int interfaceNumber = type == SIMPLE_PACKET_BLOCK ? 0
                : type == ENHANCED_PACKET_BLOCK ? body.getInt(0) : body.getShort(0) & 0xffff;
        if (interfaceNumber < 0 || interfaceNumber >= interfaces.size()) {
            throw new MalformedCaptureException(input.name, packet.fileOffset, "interface",
                    "undefined interface " + (interfaceNumber & 0xffffffffL) + " in its section");
        }
        InterfaceDescription description = interfaces.get(interfaceNumber);
        int originalLength = body.getInt(type == SIMPLE_PACKET_BLOCK ? 0 : 16);
        int captured = type == SIMPLE_PACKET_BLOCK
                ? Math.min(originalLength < 0 ? Integer.MAX_VALUE : originalLength, length - headerLength)
                : body.getInt(12);
        if (type == SIMPLE_PACKET_BLOCK && description.snapLength > 0) {
            captured = Math.min(captured, description.snapLength);
        }
        if (captured < 0 || captured > length - headerLength || captured > MAX_PACKET_BYTES) {
            throw new MalformedCaptureException(input.name, packet.fileOffset, "length", "a packet of " + (captured & 0xffffffffL)
                    + " bytes in a block of " + (length + 12));
        }
        if (packet.data.length < captured) {
            packet.data = new byte[Math.max(captured, 2 * packet.data.length)];
        }
        System.arraycopy(buffer, headerLength, packet.data, 0, captured);
        packet.length = captured;
        packet.originalLength = originalLength < captured ? captured : originalLength;
        packet.linkType = description.linkType;
        packet.timestampNs = type == SIMPLE_PACKET_BLOCK ? 0
                : timestampNs(description, (body.getInt(4) & 0xffffffffL) << 32 | body.getInt(8) & 0xffffffffL);
    }

    @Override
    public void close() throws IOException {
        input.close();
    }
}
