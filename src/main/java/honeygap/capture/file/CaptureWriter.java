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

/** Writes pcap or pcapng files with nanosecond timestamps; format and compression follow from the file name. */
public final class CaptureWriter implements Closeable {

    private static final int BUFFER_BYTES = 1 << 16;
    private static final int SNAP_LENGTH = 1 << 18;

    private final OutputStream out;
    private final boolean isPcapng;
    private final ByteBuffer header = ByteBuffer.allocate(32).order(ByteOrder.LITTLE_ENDIAN);
    private int linkType = -1;
    private long bytesWritten;
    /** Interface number by link type. */
    private final Map<Integer, Integer> interfaces = new HashMap<>();

    /** The name ends with .pcap or .pcapng, optionally followed by .gz or .zst. */
    public CaptureWriter(Path file) throws IOException {
        this(openCompressed(file), file.getFileName().toString().contains(".pcapng"));
    }

    public CaptureWriter(OutputStream out, boolean isPcapng) {
        this.out = new BufferedOutputStream(out, BUFFER_BYTES);
        this.isPcapng = isPcapng;
    }

    private static OutputStream openCompressed(Path file) throws IOException {
        String name = file.getFileName().toString();
        OutputStream plain = Files.newOutputStream(file);
        return name.endsWith(".gz") ? new GZIPOutputStream(plain, BUFFER_BYTES, true)
                : name.endsWith(".zst") ? new ZstdOutputStream(plain).setCloseFrameOnFlush(true) : plain;
    }

    /** Writes a packet; in a pcap file all packets need the link type of the first one. */
    public void write(Packet packet) throws IOException {
        if (linkType < 0) {
            writeFileHeader(packet.linkType);
        } else if (linkType != packet.linkType) {
            if (!isPcapng) {
                throw new IOException("a pcap file can't hold packets of more than one link type; use pcapng");
            }
            useInterface(packet.linkType);
        }
        header.clear();
        if (isPcapng) {
            int padded = packet.length + 3 & ~3;
            header.putInt(6).putInt(32 + padded).putInt(interfaces.get(packet.linkType)).putInt((int) (packet.timestampNs >>> 32))
                    .putInt((int) packet.timestampNs).putInt(packet.length).putInt(packet.originalLength);
            put();
            put(packet.data, packet.length);
            header.clear();
            header.position(padded - packet.length).putInt(32 + padded);
            put();
        } else {
            header.putInt((int) Math.floorDiv(packet.timestampNs, 1_000_000_000L))
                    .putInt((int) Math.floorMod(packet.timestampNs, 1_000_000_000L)).putInt(packet.length)
                    .putInt(packet.originalLength);
            put();
            put(packet.data, packet.length);
        }
    }

    /** Writes the file header; {@link #write} does so itself if this was not called. */
    public void writeFileHeader(int linkType) throws IOException {
        if (isPcapng) {
            byte[] name = "honeygap".getBytes(StandardCharsets.US_ASCII);
            header.clear();
            header.putInt(0x0a0d0d0a).putInt(28 + 4 + name.length + 4).putInt(0x1a2b3c4d).putShort((short) 1)
                    .putShort((short) 0).putLong(-1);
            put();
            // Option 4 (shb_userappl): the program that wrote the file.
            header.clear();
            header.putShort((short) 4).putShort((short) name.length).put(name).putInt(0)
                    .putInt(28 + 4 + name.length + 4);
            put();
            useInterface(linkType);
        } else {
            header.clear();
            header.putInt(0xa1b23c4d).putShort((short) 2).putShort((short) 4).putInt(0).putInt(0).putInt(SNAP_LENGTH)
                    .putInt(linkType);
            put();
            this.linkType = linkType;
        }
    }

    private void useInterface(int linkType) throws IOException {
        this.linkType = linkType;
        if (interfaces.containsKey(linkType)) {
            return;
        }
        header.clear();
        // Option 9 (if_tsresol): timestamps in nanoseconds (10 to the -9 s).
        header.putInt(1).putInt(32).putShort((short) linkType).putShort((short) 0).putInt(SNAP_LENGTH)
                .putShort((short) 9).putShort((short) 1).putInt(9).putInt(0).putInt(32);
        put();
        interfaces.put(linkType, interfaces.size());
    }

    private void put() throws IOException {
        put(header.array(), header.position());
        Arrays.fill(header.array(), (byte) 0);
    }

    private void put(byte[] data, int length) throws IOException {
        out.write(data, 0, length);
        bytesWritten += length;
    }

    /** Bytes written so far, before compression. */
    public long bytesWritten() {
        return bytesWritten;
    }

    /** Flushes, so that everything written so far can be read even if the process is killed. */
    public void flush() throws IOException {
        out.flush();
    }

    @Override
    public void close() throws IOException {
        if (linkType < 0) {
            writeFileHeader(101);
        }
        out.close();
    }
}
