package honeygap.capture;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.github.luben.zstd.ZstdOutputStream;
import honeygap.capture.file.CaptureReader;
import honeygap.capture.file.CaptureWriter;
import honeygap.capture.file.Packet;
import honeygap.capture.file.MalformedCaptureException;
import honeygap.capture.file.CaptureVerifier;
import honeygap.capture.file.PacketSynthesizer;
import honeygap.capture.generator.TrafficGenerator;
import honeygap.capture.packet.Address;
import honeygap.capture.packet.Decoder;
import honeygap.capture.packet.Segment;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Random;
import java.util.zip.GZIPOutputStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Capture files: reading and writing all formats, truncation and corruption at any place, packet decoding. */
class FilesTest {

    static final Address SERVER = Address.ipv4(0x0a000001, 5432);

    /** The packets of a small synthetic workload. */
    static List<Packet> syntheticTraffic(long seed, double rate, double seconds) throws IOException {
        List<Packet> packets = new ArrayList<>();
        new TrafficGenerator(packet -> packets.add(copy(packet)), seed, rate, (long) (seconds * 1e9), 1_000_000_000L, 50, SERVER)
                .generate();
        return packets;
    }

    static Packet copy(Packet packet) {
        Packet copy = new Packet();
        copy.timestampNs = packet.timestampNs;
        copy.linkType = packet.linkType;
        copy.data = Arrays.copyOf(packet.data, packet.length);
        copy.length = packet.length;
        copy.originalLength = packet.originalLength;
        return copy;
    }

    static byte[] encode(List<Packet> packets, boolean isPcapng) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (CaptureWriter writer = new CaptureWriter(bytes, isPcapng)) {
            for (Packet packet : packets) {
                writer.write(packet);
            }
        }
        return bytes.toByteArray();
    }

    private static List<Packet> read(byte[] bytes, String[] cutOff) throws IOException {
        List<Packet> packets = new ArrayList<>();
        try (CaptureReader reader = new CaptureReader("file", new ByteArrayInputStream(bytes))) {
            Packet packet = new Packet();
            while (reader.next(packet)) {
                packets.add(copy(packet));
            }
            cutOff[0] = reader.cutOff();
        }
        return packets;
    }

    private static void assertSame(List<Packet> expected, List<Packet> actual) {
        assertEquals(expected.size(), actual.size());
        for (int i = 0; i < expected.size(); i++) {
            assertEquals(expected.get(i).timestampNs, actual.get(i).timestampNs);
            assertEquals(expected.get(i).originalLength, actual.get(i).originalLength);
            assertArrayEquals(expected.get(i).data, actual.get(i).data, "packet " + i);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"a.pcap", "a.pcapng", "a.pcap.gz", "a.pcapng.zst", "a.pcap.zst", "a.pcapng.gz"})
    void roundTrip(String name, @TempDir Path folder) throws IOException {
        List<Packet> packets = syntheticTraffic(1, 100, 3);
        Path file = folder.resolve(name);
        try (CaptureWriter writer = new CaptureWriter(file)) {
            for (Packet packet : packets) {
                writer.write(packet);
            }
        }
        String[] cutOff = {"?"};
        assertSame(packets, read(Files.readAllBytes(file), cutOff));
        assertEquals(null, cutOff[0]);
        if (name.equals("a.pcapng")) {
            CaptureVerifier verifier = new CaptureVerifier(Files.newInputStream(file), false);
            assertEquals(List.of(), verifier.faults());
            assertEquals(packets.size(), verifier.packets());
            assertEquals(0, verifier.gaps());
        }
    }

    /** A file truncated at any byte yields the complete packets before it and a description, but no error. */
    @ParameterizedTest
    @CsvSource({"false,", "true,", "false,gz", "true,zst"})
    void truncatedAnywhere(boolean isPcapng, String compression) throws IOException {
        List<Packet> packets = syntheticTraffic(2, 20, 0.3);
        byte[] plain = encode(packets, isPcapng);
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        if (compression != null) {
            try (OutputStream out = compression.equals("gz") ? new GZIPOutputStream(compressed)
                    : new ZstdOutputStream(compressed)) {
                out.write(plain);
            }
        }
        byte[] complete = compression == null ? plain : compressed.toByteArray();
        int previousCount = -1;
        for (int length = 0; length < complete.length; length++) {
            String[] cutOff = {null};
            List<Packet> read;
            try {
                read = read(Arrays.copyOf(complete, length), cutOff);
            } catch (MalformedCaptureException e) {
                // Too short to recognize the format.
                assertTrue(previousCount <= 0, "at " + length + ": " + e.getMessage());
                continue;
            }
            assertSame(packets.subList(0, read.size()), read);
            assertTrue(read.size() >= previousCount, "at " + length);
            previousCount = read.size();
            boolean isAtPacketBoundary = cutOff[0] == null;
            assertTrue(!isAtPacketBoundary || read.size() < packets.size()
                    || length > complete.length - 20, "at " + length);
            if (!isAtPacketBoundary) {
                assertTrue(cutOff[0].contains("cut off") && cutOff[0].startsWith("file: byte "), cutOff[0]);
            }
        }
    }

    /** Changing any bytes leads to packets and at most one clear error, never another exception or huge allocation. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void corruptedAnywhere(boolean isPcapng) throws IOException {
        byte[] valid = encode(syntheticTraffic(3, 20, 0.3), isPcapng);
        Random random = new Random(3);
        int rejected = 0;
        for (int i = 0; i < 3000; i++) {
            byte[] bytes = valid.clone();
            for (int j = 0; j <= random.nextInt(3); j++) {
                int at = random.nextInt(i < 1500 ? 100 : bytes.length);
                bytes[at] = (byte) random.nextInt(256);
            }
            try {
                List<Packet> packets = read(bytes, new String[1]);
                Decoder decoder = new Decoder();
                Segment segment = new Segment();
                packets.forEach(packet -> decoder.decode(packet, segment));
            } catch (MalformedCaptureException e) {
                rejected++;
                assertTrue(e.getMessage().matches("file: byte \\d+: .+"), e.getMessage());
            }
        }
        assertTrue(rejected > 100, "rejected " + rejected);
    }

    /** Variants of the formats that this program reads but does not write. */
    @Test
    void formatVariants() throws IOException {
        byte[] data = {1, 2, 3};
        for (ByteOrder order : List.of(ByteOrder.BIG_ENDIAN, ByteOrder.LITTLE_ENDIAN)) {
            for (int magic : new int[] {0xa1b2c3d4, 0xa1b23c4d}) {
                ByteBuffer file = ByteBuffer.allocate(24 + 16 + 3).order(order);
                file.putInt(magic).putShort((short) 2).putShort((short) 4).putLong(0).putInt(65535).putInt(1);
                file.putInt(7).putInt(5).putInt(3).putInt(60).put(data);
                List<Packet> read = read(file.array(), new String[1]);
                assertEquals(7_000_000_000L + (magic == 0xa1b2c3d4 ? 5000 : 5), read.get(0).timestampNs);
                assertEquals(60, read.get(0).originalLength);
            }
            ByteBuffer file = ByteBuffer.allocate(400).order(order);
            writeSectionHeader(file);
            // Millisecond timestamps with an offset of 10 s; a name resolution block, which is skipped; then
            // an enhanced, a simple and an obsolete packet block.
            file.putInt(1).putInt(44).putShort((short) 1).putShort((short) 0).putInt(0)
                    .putShort((short) 9).putShort((short) 1).put((byte) 3).put(new byte[3])
                    .putShort((short) 14).putShort((short) 8).putLong(10).putInt(0).putInt(44);
            file.putInt(4).putInt(16).putInt(0).putInt(16);
            file.putInt(6).putInt(36).putInt(0).putInt(0).putInt(2500).putInt(3).putInt(3).put(data).put((byte) 0)
                    .putInt(36);
            file.putInt(3).putInt(20).putInt(3).put(data).put((byte) 0).putInt(20);
            file.putInt(2).putInt(36).putShort((short) 0).putShort((short) 0).putInt(0).putInt(1).putInt(3).putInt(3)
                    .put(data).put((byte) 0).putInt(36);
            // Interfaces are local to their section, so that the next section has none.
            writeSectionHeader(file);
            file.putInt(6).putInt(36).putInt(0).putInt(0).putInt(0).putInt(3).putInt(3).put(data).put((byte) 0)
                    .putInt(36);
            byte[] bytes = Arrays.copyOf(file.array(), file.position());
            List<Packet> read = new ArrayList<>();
            try (CaptureReader reader = new CaptureReader("file", new ByteArrayInputStream(bytes))) {
                Packet packet = new Packet();
                MalformedCaptureException fault = assertThrows(MalformedCaptureException.class, () -> {
                    while (reader.next(packet)) {
                        read.add(copy(packet));
                    }
                });
                assertEquals("interface", fault.kind);
            }
            assertEquals(List.of(12_500_000_000L, 0L, 10_001_000_000L), read.stream().map(one -> one.timestampNs).toList());
        }
    }

    private static void writeSectionHeader(ByteBuffer file) {
        file.putInt(0x0a0d0d0a).putInt(28).putInt(0x1a2b3c4d).putShort((short) 1).putShort((short) 0).putLong(-1)
                .putInt(28);
    }

    /** An excessive compression ratio is rejected while the data is being decompressed. */
    @Test
    void decompressionBomb() throws IOException {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (OutputStream out = new ZstdOutputStream(compressed)) {
            out.write(encode(syntheticTraffic(1, 20, 0.1), false));
            byte[] zeros = new byte[1 << 20];
            for (int i = 0; i < 400; i++) {
                out.write(zeros);
            }
        }
        MalformedCaptureException fault = assertThrows(MalformedCaptureException.class,
                () -> read(compressed.toByteArray(), new String[1]));
        assertEquals("bomb", fault.kind);
    }

    /** The verifier finds a wrong checksum, a wrong block length, missing bytes and a timestamp that goes back. */
    @ParameterizedTest
    @CsvSource({"none,0,0", "checksum,1,0", "ip,1,0", "gap,0,1", "time,1,0", "length,1,0"})
    void verifierFindsFaults(String corruption, int faults, int gaps) throws IOException {
        List<Packet> packets = syntheticTraffic(4, 50, 1);
        Packet corrupted = packets.get(20);
        switch (corruption) {
            case "checksum" -> corrupted.data[corrupted.length - 1] ^= 1;
            case "ip" -> corrupted.data[8] ^= 1;
            case "gap" -> {
                int at = 8;
                while (packets.get(at).length < 120) {
                    at++;
                }
                packets.remove(at);
            }
            case "time" -> corrupted.timestampNs = 0;
            default -> { }
        }
        byte[] bytes = encode(packets, true);
        if (corruption.equals("length")) {
            bytes[bytes.length - 4] ^= 4;
        }
        CaptureVerifier verifier = new CaptureVerifier(new ByteArrayInputStream(bytes), false);
        assertEquals(faults, Math.min(1, verifier.faults().size()), verifier.faults().toString());
        assertEquals(gaps, Math.min(1, verifier.gaps()));
    }

    /** The same segment decoded under each link type, with VLAN tags and padding, complete and cut by a snap length. */
    @ParameterizedTest
    @CsvSource({
        "1,ffffffffffff0000000000000800", "1,ffffffffffff000000000000810000050800",
        "1,ffffffffffff00000000000088a800018100000208" + "00", "0,02000000", "0,00000002", "108,00000002",
        "113,00000001000600000000000000000800", "276,0800000000000001000106000000000000000000", "101,''", "228,''"})
    void linkTypes(int linkType, String linkHeader) throws IOException {
        Packet plain = syntheticTraffic(5, 20, 0.5).stream().filter(one -> one.length > 100).findFirst().orElseThrow();
        byte[] header = HexFormat.of().parseHex(linkHeader);
        Packet packet = new Packet();
        packet.linkType = linkType;
        // Ethernet may add padding after the packet.
        packet.data = Arrays.copyOf(header, header.length + plain.length + (linkType == 1 ? 6 : 0));
        System.arraycopy(plain.data, 0, packet.data, header.length, plain.length);
        packet.length = packet.data.length;
        Segment expected = new Segment();
        assertTrue(new Decoder().decode(plain, expected));
        Segment segment = new Segment();
        assertTrue(new Decoder().decode(packet, segment));
        assertEquals(expected.from + " " + expected.to + " " + expected.seq + " " + expected.capturedLength,
                segment.from + " " + segment.to + " " + segment.seq + " " + segment.capturedLength);
        packet.length = header.length + plain.length - 10;
        assertTrue(new Decoder().decode(packet, segment));
        assertEquals("10 " + expected.payloadLength,
                segment.payloadLength - segment.capturedLength + " " + segment.payloadLength);
        for (int length = 0; length < header.length + 40; length++) {
            packet.length = length;
            assertTrue(!new Decoder().decode(packet, segment) || length >= header.length + 40, "cut at " + length);
        }
    }

    /** IPv6 with an extension header, in fragments that arrive in any order, duplicated, or not all. */
    @Test
    void ipFragments() throws IOException {
        List<Packet> all = new ArrayList<>();
        Address client = new Address(true, 0x20010db8L << 32, 1, 1234);
        PacketSynthesizer synthesis = new PacketSynthesizer(packet -> all.add(copy(packet)));
        synthesis.opened(1, client, new Address(true, 0x20010db8L << 32, 2, 5432), false, 0);
        synthesis.data(1, true, new byte[1000], 0, 1000, 0);
        Packet datagram = all.get(0);
        Segment segment = new Segment();
        assertTrue(new Decoder().decode(datagram, segment));
        assertEquals("[2001:db8:0:0:0:0:0:1]:1234 1000", segment.from + " " + segment.capturedLength);
        Decoder decoder = new Decoder();
        List<Packet> fragments = new ArrayList<>();
        for (int at = 0; at < 1020; at += 400) {
            int length = Math.min(400, 1020 - at);
            ByteBuffer part = ByteBuffer.allocate(40 + 8 + 8 + length);
            part.put(datagram.data, 0, 40).putShort(4, (short) (16 + length)).put(6, (byte) 0);
            // Hop-by-hop options, then the fragment header.
            part.put((byte) 44).put((byte) 0).put(new byte[6]);
            part.put((byte) 6).put((byte) 0).putShort((short) (at | (at + length < 1020 ? 1 : 0))).putInt(77);
            part.put(datagram.data, 40 + at, length);
            Packet packet = new Packet();
            packet.linkType = 101;
            packet.data = part.array();
            packet.length = part.capacity();
            fragments.add(packet);
        }
        assertEquals(3, fragments.size());
        for (int[] order : new int[][] {{2, 0, 1}, {1, 1, 2, 0}, {0, 2, 2, 1}}) {
            int segments = 0;
            for (int i : order) {
                segments += decoder.decode(fragments.get(i), segment) ? 1 : 0;
            }
            assertEquals(1, segments);
            assertEquals(1000, segment.capturedLength);
        }
        assertTrue(!decoder.decode(fragments.get(0), segment) && !decoder.decode(fragments.get(2), segment));
    }
}
