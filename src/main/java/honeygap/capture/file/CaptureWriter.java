package honeygap.capture.file;

import com.github.luben.zstd.ZstdOutputStream;
import java.io.BufferedOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.zip.GZIPOutputStream;

/** Writes pcap or pcapng, with times in nanoseconds, plain or compressed, as the file's name ends. */
public final class CaptureWriter implements Closeable {

    private static final int BUFFER = 1 << 16;
    private static final int SNAP = 1 << 18;

    private final OutputStream out;
    private final boolean isNg;
    private final ByteBuffer head = ByteBuffer.allocate(32).order(ByteOrder.LITTLE_ENDIAN);
    private int link = -1;
    private long bytes;
    /** Numbers of interfaces by link type. */
    private final Map<Integer, Integer> faces = new HashMap<>();

    /** Ends of names: .pcap or .pcapng, and behind that none, .gz or .zst. */
    public CaptureWriter(Path file) throws IOException {
        this(packed(file), file.getFileName().toString().contains(".pcapng"));
    }

    public CaptureWriter(OutputStream out, boolean isNg) {
        this.out = new BufferedOutputStream(out, BUFFER);
        this.isNg = isNg;
    }

    private static OutputStream packed(Path file) throws IOException {
        String name = file.getFileName().toString();
        OutputStream plain = Files.newOutputStream(file);
        return name.endsWith(".gz") ? new GZIPOutputStream(plain, BUFFER, true)
                : name.endsWith(".zst") ? new ZstdOutputStream(plain).setCloseFrameOnFlush(true) : plain;
    }

    /** Writes a packet; all of a pcap file have the link type of the first one. */
    public void write(Packet packet) throws IOException {
        if (link < 0) {
            begin(packet.link);
        } else if (link != packet.link) {
            if (!isNg) {
                throw new IOException("packets of more than one link type go into a pcapng file only");
            }
            face(packet.link);
        }
        head.clear();
        if (isNg) {
            int padded = packet.length + 3 & ~3;
            head.putInt(6).putInt(32 + padded).putInt(faces.get(packet.link)).putInt((int) (packet.at >>> 32))
                    .putInt((int) packet.at).putInt(packet.length).putInt(packet.original);
            put();
            put(packet.data, packet.length);
            head.clear();
            head.position(padded - packet.length).putInt(32 + padded);
            put();
        } else {
            head.putInt((int) Math.floorDiv(packet.at, 1_000_000_000L))
                    .putInt((int) Math.floorMod(packet.at, 1_000_000_000L)).putInt(packet.length)
                    .putInt(packet.original);
            put();
            put(packet.data, packet.length);
        }
    }

    /** Begins the file where no packet has. */
    public void begin(int link) throws IOException {
        if (isNg) {
            byte[] name = "honeygap".getBytes(StandardCharsets.US_ASCII);
            head.clear();
            head.putInt(0x0a0d0d0a).putInt(28 + 4 + name.length + 4).putInt(0x1a2b3c4d).putShort((short) 1)
                    .putShort((short) 0).putLong(-1);
            put();
            // Option 4: the program that wrote it.
            head.clear();
            head.putShort((short) 4).putShort((short) name.length).put(name).putInt(0)
                    .putInt(28 + 4 + name.length + 4);
            put();
            face(link);
        } else {
            head.clear();
            head.putInt(0xa1b23c4d).putShort((short) 2).putShort((short) 4).putInt(0).putInt(0).putInt(SNAP)
                    .putInt(link);
            put();
            this.link = link;
        }
    }

    private void face(int link) throws IOException {
        this.link = link;
        if (faces.containsKey(link)) {
            return;
        }
        head.clear();
        // Option 9: times in units of 10 to the -9 s.
        head.putInt(1).putInt(32).putShort((short) link).putShort((short) 0).putInt(SNAP)
                .putShort((short) 9).putShort((short) 1).putInt(9).putInt(0).putInt(32);
        put();
        faces.put(link, faces.size());
    }

    private void put() throws IOException {
        put(head.array(), head.position());
        Arrays.fill(head.array(), (byte) 0);
    }

    private void put(byte[] data, int length) throws IOException {
        out.write(data, 0, length);
        bytes += length;
    }

    /** Bytes before compression. */
    public long bytes() {
        return bytes;
    }

    /** All that was written can be read from now on, whatever comes. */
    public void flush() throws IOException {
        out.flush();
    }

    @Override
    public void close() throws IOException {
        if (link < 0) {
            begin(101);
        }
        out.close();
    }
}
