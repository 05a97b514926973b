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
 * Reads pcap and pcapng files as streams, with memory that does not grow with the file. A file that was cut off
 * ends with its last whole packet and says so; one that lies is spoilt, with the place. Sources: the pcap savefile
 * format and the pcapng drafts of the IETF's opsawg.
 */
public final class CaptureReader implements Closeable {

    /** No packet or block is longer, whatever its head says. */
    private static final int LONGEST = 1 << 24;
    private static final int LONGEST_PACKET = 1 << 20;
    private static final int MOST_INTERFACES = 4096;

    private static final int MICROS = 0xa1b2c3d4;
    private static final int NANOS = 0xa1b23c4d;
    private static final int SECTION = 0x0a0d0d0a;
    private static final int ORDER = 0x1a2b3c4d;
    private static final int INTERFACE = 1, OLD_PACKET = 2, SIMPLE_PACKET = 3, PACKET = 6;
    private static final int OPTION_RESOLUTION = 9, OPTION_OFFSET = 14;

    /** One interface of a section. */
    private static final class Face {
        int link;
        int snap;
        /** Ticks a second, and seconds to add. */
        long ticks = 1_000_000;
        long offset;
    }

    private final Source source;
    private final boolean isNg;
    private ByteOrder order;
    private byte[] block = new byte[1 << 12];
    private final List<Face> faces = new ArrayList<>();
    private final Face only = new Face();
    private long packets;
    private String cut;
    private boolean isOver;

    public CaptureReader(Path file) throws IOException {
        this(new Source(file));
    }

    /** The name is for errors. */
    public CaptureReader(String name, InputStream bytes) throws IOException {
        this(new Source(name, bytes));
    }

    private CaptureReader(Source source) throws IOException {
        this.source = source;
        byte[] magic = new byte[4];
        if (source.read(magic, 0, 4) < 4) {
            if (source.isCut()) {
                // What was compressed broke off before the first of it was whole.
                isNg = true;
                isOver = true;
                cut = "the compression is cut off before anything of it is whole";
                return;
            }
            throw new Spoilt(source.name, 0, "not a capture", "too short for a capture file");
        }
        int big = ByteBuffer.wrap(magic).getInt();
        isNg = big == SECTION;
        if (isNg) {
            cut = section();
            return;
        }
        int little = Integer.reverseBytes(big);
        if (big != MICROS && big != NANOS && little != MICROS && little != NANOS) {
            throw new Spoilt(source.name, 0, "not a capture", "neither pcap nor pcapng");
        }
        order = big == MICROS || big == NANOS ? ByteOrder.BIG_ENDIAN : ByteOrder.LITTLE_ENDIAN;
        only.ticks = big == NANOS || little == NANOS ? 1_000_000_000 : 1_000_000;
        if (source.read(block, 0, 20) < 20) {
            cut = "the file's head is cut off";
            isOver = true;
            return;
        }
        ByteBuffer head = wrap(20);
        if (head.getShort(0) != 2) {
            throw new Spoilt(source.name, 4, "version", "version " + head.getShort(0) + " of pcap is not known");
        }
        only.snap = head.getInt(12);
        only.link = head.getInt(16) & 0x0fffffff;
    }

    private ByteBuffer wrap(int length) {
        return ByteBuffer.wrap(block, 0, length).order(order);
    }

    /** Reads the next packet; false at the end of the file, or where it was cut off. */
    public boolean next(Packet packet) throws IOException {
        if (isOver) {
            return false;
        }
        boolean isThere = isNg ? nextNg(packet) : nextPlain(packet);
        if (!isThere) {
            isOver = true;
            if (cut == null && source.isCut()) {
                cut = "the compression is cut off";
            }
        } else {
            packet.number = ++packets;
        }
        return isThere;
    }

    /** What was cut off at the end of the file, and where; null where it is whole. */
    public String cutOff() {
        return cut == null ? null : source.name + ": byte " + source.place() + ": " + cut;
    }

    public long packets() {
        return packets;
    }

    /** Bytes read so far, after decompression. */
    public long place() {
        return source.place();
    }

    private void room(int length) {
        if (block.length < length) {
            block = Arrays.copyOf(block, Math.max(length, 2 * block.length));
        }
    }

    private boolean nextPlain(Packet packet) throws IOException {
        packet.place = source.place();
        int many = source.read(block, 0, 16);
        if (many < 16) {
            cut = many > 0 ? "the head of packet " + (packets + 1) + " is cut off" : cut;
            return false;
        }
        ByteBuffer head = wrap(16);
        int length = head.getInt(8);
        if (length < 0 || length > LONGEST_PACKET) {
            throw new Spoilt(source.name, packet.place, "length", "packet " + (packets + 1) + " has length "
                    + (length & 0xffffffffL));
        }
        if (!take(packet, length, head.getInt(12))) {
            return false;
        }
        long fraction = head.getInt(4) & 0xffffffffL;
        packet.at = time(only, (head.getInt(0) & 0xffffffffL) * only.ticks + fraction);
        packet.link = only.link;
        return true;
    }

    /** Reads so many bytes of the packet; false where they are cut off. */
    private boolean take(Packet packet, int length, int original) throws IOException {
        if (packet.data.length < length) {
            packet.data = new byte[Math.max(length, 2 * packet.data.length)];
        }
        if (source.read(packet.data, 0, length) < length) {
            cut = "packet " + (packets + 1) + " is cut off";
            return false;
        }
        packet.length = length;
        packet.original = Math.max(length, original);
        return true;
    }

    private static long time(Face face, long ticks) {
        long seconds = Math.floorDiv(ticks, face.ticks);
        long left = Math.floorMod(ticks, face.ticks);
        long nanos = face.ticks <= 1_000_000_000L ? left * (1_000_000_000L / face.ticks)
                : (long) (left * (1e9 / face.ticks));
        return (seconds + face.offset) * 1_000_000_000L + nanos;
    }

    /** Behind the type of a section's block; what is cut off of it, or null. */
    private String section() throws IOException {
        long place = source.place() - 4;
        if (source.read(block, 0, 8) < 8) {
            isOver = true;
            return "a section's head is cut off";
        }
        int magic = ByteBuffer.wrap(block, 4, 4).getInt();
        if (magic != ORDER && magic != Integer.reverseBytes(ORDER)) {
            throw new Spoilt(source.name, place + 8, "byte order", "no byte order of a section");
        }
        order = magic == ORDER ? ByteOrder.BIG_ENDIAN : ByteOrder.LITTLE_ENDIAN;
        int length = wrap(4).getInt(0);
        bound(place, length, 28);
        room(length - 12);
        if (source.read(block, 0, length - 12) < length - 12) {
            isOver = true;
            return "a section's head is cut off";
        }
        trailer(place, length, length - 12);
        short major = wrap(2).getShort(0);
        if (major != 1) {
            throw new Spoilt(source.name, place + 12, "version", "version " + major + " of pcapng is not known");
        }
        faces.clear();
        return null;
    }

    private void bound(long place, int length, int least) throws Spoilt {
        if (length < least || length > LONGEST || length % 4 != 0) {
            throw new Spoilt(source.name, place, "length", "a block has length " + (length & 0xffffffffL));
        }
    }

    private void trailer(long place, int length, int end) throws Spoilt {
        int again = wrap(end).getInt(end - 4);
        if (again != length) {
            throw new Spoilt(source.name, place, "length", "a block of length " + length + " ends with length "
                    + (again & 0xffffffffL));
        }
    }

    private boolean nextNg(Packet packet) throws IOException {
        while (true) {
            packet.place = source.place();
            int many = source.read(block, 0, 4);
            if (many < 4) {
                cut = many > 0 ? "a block's head is cut off" : cut;
                return false;
            }
            int type = wrap(4).getInt(0);
            if (type == SECTION) {
                cut = section();
                if (cut != null) {
                    return false;
                }
                continue;
            }
            if (source.read(block, 0, 4) < 4) {
                cut = "a block's head is cut off";
                return false;
            }
            int length = wrap(4).getInt(0);
            bound(packet.place, length, 12);
            int rest = length - 8;
            if (type != INTERFACE && type != PACKET && type != SIMPLE_PACKET && type != OLD_PACKET) {
                if (!source.skip(rest)) {
                    cut = "a block is cut off";
                    return false;
                }
                continue;
            }
            room(rest);
            if (source.read(block, 0, rest) < rest) {
                cut = "a block is cut off";
                return false;
            }
            trailer(packet.place, length, rest);
            if (type == INTERFACE) {
                face(packet.place, rest - 4);
            } else {
                packet(packet, type, rest - 4);
                return true;
            }
        }
    }

    private void face(long place, int length) throws Spoilt {
        if (length < 8 || faces.size() >= MOST_INTERFACES) {
            throw new Spoilt(source.name, place, "interface", "no whole interface, or too many");
        }
        ByteBuffer body = wrap(length);
        Face face = new Face();
        face.link = body.getShort(0) & 0xffff;
        face.snap = body.getInt(4);
        int at = 8;
        while (at + 4 <= length) {
            int code = body.getShort(at) & 0xffff;
            int size = body.getShort(at + 2) & 0xffff;
            at += 4;
            if (code == 0) {
                break;
            }
            if (at + size > length) {
                throw new Spoilt(source.name, place, "option", "an option longer than its block");
            }
            if (code == OPTION_RESOLUTION && size == 1) {
                face.ticks = ticks(place, body.get(at) & 0xff);
            } else if (code == OPTION_OFFSET && size == 8) {
                face.offset = body.getLong(at);
            }
            at += size + 3 & ~3;
        }
        if (Math.abs(face.offset) > 1L << 33) {
            throw new Spoilt(source.name, place, "option", "a time offset of " + face.offset + " s");
        }
        faces.add(face);
    }

    private long ticks(long place, int resolution) throws Spoilt {
        int power = resolution & 0x7f;
        boolean isBinary = resolution > 0x7f;
        if (power > (isBinary ? 62 : 18)) {
            throw new Spoilt(source.name, place, "option", "a time resolution of 10 or 2 to the -" + power);
        }
        long ticks = 1;
        for (int i = 0; i < power; i++) {
            ticks *= isBinary ? 2 : 10;
        }
        return ticks;
    }

    private void packet(Packet packet, int type, int length) throws Spoilt {
        ByteBuffer body = wrap(length);
        int head = type == SIMPLE_PACKET ? 4 : 20;
        if (length < head) {
            throw new Spoilt(source.name, packet.place, "length", "a packet's block of " + length + " bytes");
        }
        int number = type == SIMPLE_PACKET ? 0 : type == PACKET ? body.getInt(0) : body.getShort(0) & 0xffff;
        if (number < 0 || number >= faces.size()) {
            throw new Spoilt(source.name, packet.place, "interface", "no interface " + (number & 0xffffffffL)
                    + " in its section");
        }
        Face face = faces.get(number);
        int original = body.getInt(type == SIMPLE_PACKET ? 0 : 16);
        int captured = type == SIMPLE_PACKET ? Math.min(original < 0 ? Integer.MAX_VALUE : original, length - head)
                : body.getInt(12);
        if (type == SIMPLE_PACKET && face.snap > 0) {
            captured = Math.min(captured, face.snap);
        }
        if (captured < 0 || captured > length - head || captured > LONGEST_PACKET) {
            throw new Spoilt(source.name, packet.place, "length", "a packet of " + (captured & 0xffffffffL)
                    + " bytes in a block of " + (length + 12));
        }
        if (packet.data.length < captured) {
            packet.data = new byte[Math.max(captured, 2 * packet.data.length)];
        }
        System.arraycopy(block, head, packet.data, 0, captured);
        packet.length = captured;
        packet.original = original < captured ? captured : original;
        packet.link = face.link;
        packet.at = type == SIMPLE_PACKET ? 0
                : time(face, (body.getInt(4) & 0xffffffffL) << 32 | body.getInt(8) & 0xffffffffL);
    }

    @Override
    public void close() throws IOException {
        source.close();
    }
}
