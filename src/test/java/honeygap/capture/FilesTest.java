package honeygap.capture;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.github.luben.zstd.ZstdOutputStream;
import honeygap.capture.file.CaptureReader;
import honeygap.capture.file.CaptureWriter;
import honeygap.capture.file.Packet;
import honeygap.capture.file.Spoilt;
import honeygap.capture.file.Strict;
import honeygap.capture.file.Synthesis;
import honeygap.capture.make.Morning;
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

/** Capture files: every form read and written, cut off anywhere, spoilt anywhere. */
class FilesTest {

    static final Address SERVER = Address.four(0x0a000001, 5432);

    /** A small morning as packets. */
    static List<Packet> morning(long seed, double rate, double seconds) throws IOException {
        List<Packet> packets = new ArrayList<>();
        new Morning(packet -> packets.add(copy(packet)), seed, rate, (long) (seconds * 1e9), 1_000_000_000L, 50, SERVER)
                .make();
        return packets;
    }

    static Packet copy(Packet packet) {
        Packet copy = new Packet();
        copy.at = packet.at;
        copy.link = packet.link;
        copy.data = Arrays.copyOf(packet.data, packet.length);
        copy.length = packet.length;
        copy.originalLength = packet.originalLength;
        return copy;
    }

    static byte[] written(List<Packet> packets, boolean isNg) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (CaptureWriter writer = new CaptureWriter(bytes, isNg)) {
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

    private static void assertSame(List<Packet> wanted, List<Packet> read) {
        assertEquals(wanted.size(), read.size());
        for (int i = 0; i < wanted.size(); i++) {
            assertEquals(wanted.get(i).at, read.get(i).at);
            assertEquals(wanted.get(i).originalLength, read.get(i).originalLength);
            assertArrayEquals(wanted.get(i).data, read.get(i).data, "packet " + i);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"a.pcap", "a.pcapng", "a.pcap.gz", "a.pcapng.zst", "a.pcap.zst", "a.pcapng.gz"})
    void roundTrip(String name, @TempDir Path folder) throws IOException {
        List<Packet> packets = morning(1, 100, 3);
        Path file = folder.resolve(name);
        try (CaptureWriter writer = new CaptureWriter(file)) {
            for (Packet packet : packets) {
                writer.write(packet);
            }
        }
        String[] cut = {"?"};
        assertSame(packets, read(Files.readAllBytes(file), cut));
        assertEquals(null, cut[0]);
        if (name.equals("a.pcapng")) {
            Strict strict = new Strict(Files.newInputStream(file), false);
            assertEquals(List.of(), strict.faults());
            assertEquals(packets.size(), strict.packets());
            assertEquals(0, strict.gaps());
        }
    }

    /** Cut off at every byte: all whole packets before, and a word on what is missing, never a fault. */
    @ParameterizedTest
    @CsvSource({"false,", "true,", "false,gz", "true,zst"})
    void cutAnywhere(boolean isNg, String packing) throws IOException {
        List<Packet> packets = morning(2, 20, 0.3);
        byte[] plain = written(packets, isNg);
        ByteArrayOutputStream packed = new ByteArrayOutputStream();
        if (packing != null) {
            try (OutputStream out = packing.equals("gz") ? new GZIPOutputStream(packed) : new ZstdOutputStream(packed)) {
                out.write(plain);
            }
        }
        byte[] whole = packing == null ? plain : packed.toByteArray();
        int before = -1;
        for (int length = 0; length < whole.length; length++) {
            String[] cut = {null};
            List<Packet> read;
            try {
                read = read(Arrays.copyOf(whole, length), cut);
            } catch (Spoilt e) {
                // Too little to tell what it is.
                assertTrue(before <= 0, "at " + length + ": " + e.getMessage());
                continue;
            }
            assertSame(packets.subList(0, read.size()), read);
            assertTrue(read.size() >= before, "at " + length);
            before = read.size();
            boolean isEdge = cut[0] == null;
            assertTrue(!isEdge || read.size() < packets.size() || length > whole.length - 20, "at " + length);
            if (!isEdge) {
                assertTrue(cut[0].contains("cut off") && cut[0].startsWith("file: byte "), cut[0]);
            }
        }
    }

    /** A byte changed anywhere, or several: packets and at most one clear error; nothing else, and no memory. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void spoiltAnywhere(boolean isNg) throws IOException {
        byte[] whole = written(morning(3, 20, 0.3), isNg);
        Random random = new Random(3);
        int spoilt = 0;
        for (int i = 0; i < 3000; i++) {
            byte[] bytes = whole.clone();
            for (int j = 0; j <= random.nextInt(3); j++) {
                int at = random.nextInt(i < 1500 ? 100 : bytes.length);
                bytes[at] = (byte) random.nextInt(256);
            }
            try {
                List<Packet> packets = read(bytes, new String[1]);
                Decoder decoder = new Decoder();
                Segment segment = new Segment();
                packets.forEach(packet -> decoder.read(packet, segment));
            } catch (Spoilt e) {
                spoilt++;
                assertTrue(e.getMessage().matches("file: byte \\d+: .+"), e.getMessage());
            }
        }
        assertTrue(spoilt > 100, "spoilt " + spoilt);
    }

    /** Each form of the formats that this program itself does not write. */
    @Test
    void otherForms() throws IOException {
        byte[] data = {1, 2, 3};
        for (ByteOrder order : List.of(ByteOrder.BIG_ENDIAN, ByteOrder.LITTLE_ENDIAN)) {
            for (int magic : new int[] {0xa1b2c3d4, 0xa1b23c4d}) {
                ByteBuffer file = ByteBuffer.allocate(24 + 16 + 3).order(order);
                file.putInt(magic).putShort((short) 2).putShort((short) 4).putLong(0).putInt(65535).putInt(1);
                file.putInt(7).putInt(5).putInt(3).putInt(60).put(data);
                List<Packet> read = read(file.array(), new String[1]);
                assertEquals(7_000_000_000L + (magic == 0xa1b2c3d4 ? 5000 : 5), read.get(0).at);
                assertEquals(60, read.get(0).originalLength);
            }
            ByteBuffer file = ByteBuffer.allocate(400).order(order);
            section(file);
            // Milliseconds, an offset of 10 s; then a name block that is passed over; simple and old packets.
            file.putInt(1).putInt(44).putShort((short) 1).putShort((short) 0).putInt(0)
                    .putShort((short) 9).putShort((short) 1).put((byte) 3).put(new byte[3])
                    .putShort((short) 14).putShort((short) 8).putLong(10).putInt(0).putInt(44);
            file.putInt(4).putInt(16).putInt(0).putInt(16);
            file.putInt(6).putInt(36).putInt(0).putInt(0).putInt(2500).putInt(3).putInt(3).put(data).put((byte) 0)
                    .putInt(36);
            file.putInt(3).putInt(20).putInt(3).put(data).put((byte) 0).putInt(20);
            file.putInt(2).putInt(36).putShort((short) 0).putShort((short) 0).putInt(0).putInt(1).putInt(3).putInt(3)
                    .put(data).put((byte) 0).putInt(36);
            // Another section has interfaces of its own.
            section(file);
            file.putInt(6).putInt(36).putInt(0).putInt(0).putInt(0).putInt(3).putInt(3).put(data).put((byte) 0)
                    .putInt(36);
            byte[] bytes = Arrays.copyOf(file.array(), file.position());
            List<Packet> read = new ArrayList<>();
            try (CaptureReader reader = new CaptureReader("file", new ByteArrayInputStream(bytes))) {
                Packet packet = new Packet();
                Spoilt fault = assertThrows(Spoilt.class, () -> {
                    while (reader.next(packet)) {
                        read.add(copy(packet));
                    }
                });
                assertEquals("interface", fault.kind);
            }
            assertEquals(List.of(12_500_000_000L, 0L, 10_001_000_000L), read.stream().map(one -> one.at).toList());
        }
    }

    private static void section(ByteBuffer file) {
        file.putInt(0x0a0d0d0a).putInt(28).putInt(0x1a2b3c4d).putShort((short) 1).putShort((short) 0).putLong(-1)
                .putInt(28);
    }

    /** What expands beyond measure is spoilt, before it fills anything. */
    @Test
    void bomb() throws IOException {
        ByteArrayOutputStream packed = new ByteArrayOutputStream();
        try (OutputStream out = new ZstdOutputStream(packed)) {
            out.write(written(morning(1, 20, 0.1), false));
            byte[] zeros = new byte[1 << 20];
            for (int i = 0; i < 400; i++) {
                out.write(zeros);
            }
        }
        Spoilt fault = assertThrows(Spoilt.class, () -> read(packed.toByteArray(), new String[1]));
        assertEquals("bomb", fault.kind);
    }

    /** The strict checker finds what is wrong: a checksum, a length, a byte left out, a time that steps back. */
    @ParameterizedTest
    @CsvSource({"none,0,0", "checksum,1,0", "ip,1,0", "gap,0,1", "time,1,0", "length,1,0"})
    void strict(String spoil, int faults, int gaps) throws IOException {
        List<Packet> packets = morning(4, 50, 1);
        Packet one = packets.get(20);
        switch (spoil) {
            case "checksum" -> one.data[one.length - 1] ^= 1;
            case "ip" -> one.data[8] ^= 1;
            case "gap" -> {
                int at = 8;
                while (packets.get(at).length < 120) {
                    at++;
                }
                packets.remove(at);
            }
            case "time" -> one.at = 0;
            default -> { }
        }
        byte[] bytes = written(packets, true);
        if (spoil.equals("length")) {
            bytes[bytes.length - 4] ^= 4;
        }
        Strict strict = new Strict(new ByteArrayInputStream(bytes), false);
        assertEquals(faults, Math.min(1, strict.faults().size()), strict.faults().toString());
        assertEquals(gaps, Math.min(1, strict.gaps()));
    }

    /** The same segment under each link type, with tags and extensions, in fragments, cut by a snap length. */
    @ParameterizedTest
    @CsvSource({
        "1,ffffffffffff0000000000000800", "1,ffffffffffff000000000000810000050800",
        "1,ffffffffffff00000000000088a800018100000208" + "00", "0,02000000", "0,00000002", "108,00000002",
        "113,00000001000600000000000000000800", "276,0800000000000001000106000000000000000000", "101,''", "228,''"})
    void links(int link, String head) throws IOException {
        Packet plain = morning(5, 20, 0.5).stream().filter(one -> one.length > 100).findFirst().orElseThrow();
        byte[] before = HexFormat.of().parseHex(head);
        Packet packet = new Packet();
        packet.link = link;
        // Ethernet may pad behind the packet.
        packet.data = Arrays.copyOf(before, before.length + plain.length + (link == 1 ? 6 : 0));
        System.arraycopy(plain.data, 0, packet.data, before.length, plain.length);
        packet.length = packet.data.length;
        Segment wanted = new Segment();
        assertTrue(new Decoder().read(plain, wanted));
        Segment segment = new Segment();
        assertTrue(new Decoder().read(packet, segment));
        assertEquals(wanted.from + " " + wanted.to + " " + wanted.seq + " " + wanted.length, segment.from + " "
                + segment.to + " " + segment.seq + " " + segment.length);
        packet.length = before.length + plain.length - 10;
        assertTrue(new Decoder().read(packet, segment));
        assertEquals("10 " + wanted.sent, segment.sent - segment.length + " " + segment.sent);
        for (int length = 0; length < before.length + 40; length++) {
            packet.length = length;
            assertTrue(!new Decoder().read(packet, segment) || length >= before.length + 40, "cut at " + length);
        }
    }

    /** IPv6 with extension heads, and fragments of both in any order, twice, and some missing. */
    @Test
    void fragments() throws IOException {
        List<Packet> all = new ArrayList<>();
        Address six = new Address(true, 0x20010db8L << 32, 1, 1234);
        Synthesis synthesis = new Synthesis(packet -> all.add(copy(packet)));
        synthesis.opened(1, six, new Address(true, 0x20010db8L << 32, 2, 5432), false, 0);
        synthesis.data(1, true, new byte[1000], 0, 1000, 0);
        Packet whole = all.get(0);
        Segment segment = new Segment();
        assertTrue(new Decoder().read(whole, segment));
        assertEquals("[2001:db8:0:0:0:0:0:1]:1234 1000", segment.from + " " + segment.length);
        Decoder decoder = new Decoder();
        List<Packet> parts = new ArrayList<>();
        for (int at = 0; at < 1020; at += 400) {
            int length = Math.min(400, 1020 - at);
            ByteBuffer part = ByteBuffer.allocate(40 + 8 + 8 + length);
            part.put(whole.data, 0, 40).putShort(4, (short) (16 + length)).put(6, (byte) 0);
            // Hop-by-hop options, then the fragment's head.
            part.put((byte) 44).put((byte) 0).put(new byte[6]);
            part.put((byte) 6).put((byte) 0).putShort((short) (at | (at + length < 1020 ? 1 : 0))).putInt(77);
            part.put(whole.data, 40 + at, length);
            Packet packet = new Packet();
            packet.link = 101;
            packet.data = part.array();
            packet.length = part.capacity();
            parts.add(packet);
        }
        assertEquals(3, parts.size());
        for (int[] order : new int[][] {{2, 0, 1}, {1, 1, 2, 0}, {0, 2, 2, 1}}) {
            int made = 0;
            for (int i : order) {
                made += decoder.read(parts.get(i), segment) ? 1 : 0;
            }
            assertEquals(1, made);
            assertEquals(1000, segment.length);
        }
        assertTrue(!decoder.read(parts.get(0), segment) && !decoder.read(parts.get(2), segment));
    }
}
