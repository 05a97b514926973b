package honeygap.capture;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import honeygap.capture.file.Packet;
import honeygap.capture.file.PacketSynthesizer;
import honeygap.capture.message.CaptureDecoder;
import honeygap.capture.message.PgConnectionDecoder;
import honeygap.capture.message.RecordedRpc;
import honeygap.capture.packet.Address;
import honeygap.capture.packet.Decoder;
import honeygap.capture.packet.Segment;
import honeygap.capture.query.RpcFilter;
import honeygap.capture.redact.CaptureRedactor;
import honeygap.capture.redact.DataMasker;
import honeygap.capture.stream.ReassemblyBuffer;
import honeygap.capture.stream.Reassembly;
import honeygap.net.pg.PgMessages;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Reassembly of TCP segments into streams and of streams into RPCs, with reordered, duplicated and lost packets. */
class StreamsTest {

    private static final Address CLIENT = Address.ipv4(0x0a000002, 40_000);

    /** Logs the bytes of each direction, and the opening, holes and end of connections. */
    private static final class EventLog implements Reassembly.Listener {

        final Map<String, ByteArrayOutputStream> bytes = new TreeMap<>();
        final StringBuilder events = new StringBuilder();

        @Override
        public void opened(Reassembly.Flow flow, long at) {
            events.append("open ");
        }

        @Override
        public void data(Reassembly.Flow flow, boolean isClient, byte[] data, long at) {
            bytes.computeIfAbsent(flow.number + (isClient ? "up" : "down"), name -> new ByteArrayOutputStream())
                    .writeBytes(data);
        }

        @Override
        public void hole(Reassembly.Flow flow, boolean isClient, long length, long at) {
            events.append("hole").append(length).append(' ');
        }

        @Override
        public void closed(Reassembly.Flow flow, Reassembly.End how, long at) {
            events.append(how).append(' ');
        }

        String clientStream() {
            return bytes.containsKey("1up") ? bytes.get("1up").toString(StandardCharsets.ISO_8859_1) : "";
        }
    }

    private static Segment segment(boolean isUp, long seq, String data, int flags) {
        Segment segment = new Segment();
        segment.from = isUp ? CLIENT : FilesTest.SERVER;
        segment.to = isUp ? FilesTest.SERVER : CLIENT;
        segment.seq = (int) seq;
        segment.flags = flags;
        segment.data = data.getBytes(StandardCharsets.ISO_8859_1);
        segment.capturedLength = segment.payloadLength = segment.data.length;
        return segment;
    }

    private static void drain(Reassembly reassembly, Reassembly.Listener out) {
        while (reassembly.deliverNext(out)) {
            continue;
        }
    }

    /**
     * Segments of one client as offset:data, or S for SYN, T for the SYN of another connection, F and R with an offset
     * for FIN and RST, + to advance the time in seconds; then the expected stream and events. Runs also with sequence
     * numbers that wrap.
     */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "S 0:ab 2:cd F4|abcd|open", "S 2:cd 0:ab|abcd|open CUT", "S 0:ab 0:ab 2:cd|abcd|open CUT",
        "S 0:abc 1:bcde|abcde|open CUT", "S 2:xx 0:abcd|abxx|open CUT", "S 4:ef 2:cd 0:ab|abcdef|open CUT",
        "S 0:ab 4:ef +4 6:gh|abefgh|open hole2 CUT", "S 0:ab 4:ef|abef|open hole2 CUT",
        "S 0:ab 4:ef 2:cd +4 6:gh|abcdefgh|open CUT", "0:ab 2:cd|abcd|open CUT", "2:cd 0:ab 4:ef|abcdef|open CUT",
        "S 0:ab R2|ab|open RESET", "S 0:ab 4:ef R6|abef|open hole2 RESET", "S 0:ab F2 2:zz|ab|open CUT",
        "S 0:ab +9000 0:|ab|open SILENT", "S 0:ab S 0:ab|ab|open CUT", "S 0:ab T 1000:cd|ab|open REUSED open CUT",
        "S 4:ef 1:bcd 0:a|abcdef|open CUT", "S 0:a 2:c 4:e 1:b 3:d|abcde|open CUT"})
    void segments(String sends, String stream, String events) {
        for (long initialSequence : new long[] {1000, 0xfffffffdL}) {
            Reassembly reassembly = new Reassembly();
            EventLog log = new EventLog();
            long at = 0;
            for (String send : sends.split(" ")) {
                Segment segment;
                if (send.startsWith("S")) {
                    segment = segment(true, initialSequence - 1, "", Segment.SYN);
                } else if (send.startsWith("T")) {
                    segment = segment(true, initialSequence + 999, "", Segment.SYN);
                } else if (send.startsWith("F")) {
                    segment = segment(true, initialSequence + Integer.parseInt(send.substring(1)), "",
                            Segment.FIN | Segment.ACK);
                } else if (send.startsWith("R")) {
                    segment = segment(true, initialSequence + Integer.parseInt(send.substring(1)), "", Segment.RST);
                } else if (send.startsWith("+")) {
                    at += Long.parseLong(send.substring(1)) * 1_000_000_000L;
                    continue;
                } else {
                    String[] parts = send.split(":", -1);
                    segment = segment(true, initialSequence + Integer.parseInt(parts[0]), parts[1], Segment.ACK);
                }
                segment.timestampNs = at;
                reassembly.addSegment(segment);
                drain(reassembly, log);
            }
            reassembly.end();
            drain(reassembly, log);
            assertEquals(stream, log.clientStream(), "from " + initialSequence);
            assertEquals(events + (events.endsWith("open") ? " CUT" : ""), log.events.toString().strip());
            assertEquals(0, reassembly.bufferedBytes());
            assertEquals(0, reassembly.flows());
        }
    }

    /** Over the limits, a direction's first gap or the oldest gap is abandoned and the longest idle connection closed. */
    @Test
    void limits() {
        Reassembly reassembly = new Reassembly(1024, 3000, 3, 1L << 60, 1L << 60);
        EventLog log = new EventLog();
        for (int i = 0; i < 5; i++) {
            Segment syn = segment(true, 0, "", Segment.SYN);
            syn.from = Address.ipv4(1, 100 + i);
            reassembly.addSegment(syn);
            Segment synAck = segment(false, 500, "", Segment.SYN | Segment.ACK);
            synAck.to = syn.from;
            reassembly.addSegment(synAck);
            for (int at = 10; at < 3000; at += 500) {
                Segment data = segment(true, at, "x".repeat(400), Segment.ACK);
                data.from = syn.from;
                reassembly.addSegment(data);
                assertTrue(reassembly.bufferedBytes() <= 3000, "buffered " + reassembly.bufferedBytes());
            }
        }
        drain(reassembly, log);
        assertEquals(3, reassembly.flows());
        assertEquals(2, log.events.toString().split("CROWDED", -1).length - 1);
        assertTrue(reassembly.counts().containsKey("gaps beyond the bound"));
    }

    /** The reassembly buffer against a plain array: the first value wins, runs never touch, bytes leave in order. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void reassemblyBuffer(long seed) {
        Random random = new Random(seed);
        byte[] plain = new byte[20_000];
        boolean[] isBuffered = new boolean[plain.length];
        ReassemblyBuffer buffer = new ReassemblyBuffer(8192);
        int removed = 0;
        for (int step = 0; step < 20_000 && removed < plain.length - 1; step++) {
            int at = removed + random.nextInt(Math.min(3000, plain.length - removed));
            byte[] data = new byte[Math.min(plain.length - at, random.nextInt(200))];
            random.nextBytes(data);
            int differing = 0;
            for (int i = 0; i < data.length; i++) {
                differing += isBuffered[at + i] && plain[at + i] != data[i] ? 1 : 0;
                plain[at + i] = isBuffered[at + i] ? plain[at + i] : data[i];
                isBuffered[at + i] = true;
            }
            assertTrue(buffer.fits(at + data.length));
            assertEquals(differing, buffer.add(at, data, 0, data.length), "seed " + seed + ", step " + step);
            if (buffer.readyBytes() > 0 && random.nextInt(4) == 0) {
                byte[] out = buffer.removeReady();
                assertArrayEquals(Arrays.copyOfRange(plain, removed, removed + out.length), out, "step " + step);
                removed += out.length;
            }
            int bufferedBytes = 0;
            int runs = 0;
            for (int i = removed; i < plain.length; i++) {
                bufferedBytes += isBuffered[i] ? 1 : 0;
                runs += isBuffered[i] && (i == removed || !isBuffered[i - 1]) ? 1 : 0;
            }
            assertEquals(bufferedBytes + "/" + runs, buffer.bufferedBytes() + "/" + buffer.runCount(),
                    "seed " + seed + ", step " + step);
        }
    }

    static List<RecordedRpc> rpcs(List<Packet> packets, Map<String, Long> counts) {
        List<RecordedRpc> exchanges = new ArrayList<>();
        CaptureDecoder rpcDecoder = new CaptureDecoder(exchanges::add);
        Reassembly reassembly = new Reassembly();
        Decoder decoder = new Decoder();
        Segment segment = new Segment();
        for (Packet packet : packets) {
            if (decoder.decode(packet, segment)) {
                reassembly.addSegment(segment);
                drain(reassembly, rpcDecoder);
            }
        }
        reassembly.end();
        drain(reassembly, rpcDecoder);
        counts.putAll(rpcDecoder.problemCounts());
        counts.putAll(reassembly.counts());
        return exchanges;
    }

    private static Map<String, String> byId(List<RecordedRpc> exchanges) {
        Map<String, String> descriptions = new TreeMap<>();
        exchanges.forEach(one -> descriptions.put(one.id, one.method + " " + one.key + " "
                + one.outcome + " " + one.code + " "
                + new String(one.request, StandardCharsets.ISO_8859_1)
                + new String(one.response, StandardCharsets.ISO_8859_1)));
        return descriptions;
    }

    /** Packets reordered within a window, duplicated, or with timestamps that go back give the same RPCs. */
    @ParameterizedTest
    @CsvSource({"1,4,false,false", "2,12,false,false", "3,4,true,false", "4,30,true,true"})
    void reorderedPackets(long seed, int window, boolean hasDuplicates, boolean stepsBack) throws IOException {
        List<Packet> packets = FilesTest.syntheticTraffic(seed, 2000, 0.5);
        Map<String, String> expected = byId(rpcs(packets, new HashMap<>()));
        assertTrue(expected.size() > 100);
        Random random = new Random(seed);
        List<Packet> reordered = new ArrayList<>();
        List<Packet> batch = new ArrayList<>();
        for (Packet packet : packets) {
            batch.add(packet);
            if (hasDuplicates && random.nextBoolean()) {
                batch.add(packet);
            }
            if (batch.size() >= window) {
                java.util.Collections.shuffle(batch, random);
                reordered.addAll(batch);
                batch.clear();
            }
        }
        reordered.addAll(batch);
        if (stepsBack) {
            for (Packet packet : reordered) {
                packet.timestampNs -= random.nextInt(2_000_000);
            }
        }
        Map<String, String> read = byId(rpcs(reordered, new HashMap<>()));
        assertEquals(expected, read, "seed " + seed);
    }

    /** A conversation with one message split at any byte into two packets gives the same RPC. */
    @Test
    void splitAnywhere() throws IOException {
        ByteBuffer query = PgMessages.query("SELECT content FROM kv WHERE name = 'ab12' /* id=i1,c=look,t=a,d=50 */");
        ByteBuffer answer = honeygap.capture.generator.TrafficGenerator.rowResponse("0102");
        byte[][] messages = {bytes(PgMessages.startupMessage()), bytes(PgMessages.startupResponse()), bytes(query), bytes(answer)};
        for (int part = 0; part < messages.length; part++) {
            for (int split = 0; split <= messages[part].length; split++) {
                List<Packet> packets = new ArrayList<>();
                PacketSynthesizer synthesis = new PacketSynthesizer(packet -> packets.add(FilesTest.copy(packet)));
                synthesis.opened(1, CLIENT, FilesTest.SERVER, true, 5);
                for (int i = 0; i < messages.length; i++) {
                    int at = i == part ? split : 0;
                    synthesis.data(1, i % 2 == 0, messages[i], 0, at, 10 + i);
                    synthesis.data(1, i % 2 == 0, messages[i], at, messages[i].length - at, 10 + i);
                }
                List<RecordedRpc> exchanges = rpcs(packets, new HashMap<>());
                assertEquals(1, exchanges.size(), "part " + part + " at " + split);
                assertEquals("look ab12 served 1", exchanges.get(0).method + " "
                        + exchanges.get(0).key + " " + exchanges.get(0).outcome
                        + " " + exchanges.get(0).durationNs);
            }
        }
    }

    private static byte[] bytes(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.duplicate().get(bytes);
        return bytes;
    }

    /**
     * With lost packets, a snap length or a capture that starts midway, each RPC is either read correctly or marked
     * incomplete, and reading recovers after the loss.
     */
    @ParameterizedTest
    @CsvSource({"1,lost", "2,lost", "3,snap", "4,midway", "5,lost"})
    void lostPackets(long seed, String loss) throws IOException {
        List<Packet> packets = FilesTest.syntheticTraffic(seed, 100, 6);
        Map<String, String> expected = byId(rpcs(packets, new HashMap<>()));
        Random random = new Random(seed);
        List<Packet> remaining = new ArrayList<>(packets);
        if (loss.equals("lost")) {
            remaining.removeIf(packet -> random.nextInt(100) == 0);
        } else if (loss.equals("snap")) {
            remaining.forEach(packet -> packet.length = Math.min(packet.length, 130));
        } else {
            remaining.subList(0, packets.size() / 2).clear();
        }
        Map<String, Long> counts = new HashMap<>();
        List<RecordedRpc> exchanges = rpcs(remaining, counts);
        int correct = 0;
        for (RecordedRpc one : exchanges) {
            if (one.outcome == RecordedRpc.Outcome.torn || one.outcome == RecordedRpc.Outcome.open) {
                continue;
            }
            assertEquals(expected.get(one.id), byId(List.of(one)).get(one.id), "seed " + seed);
            correct++;
        }
        int minimum = loss.equals("lost") ? expected.size() * 8 / 10 : loss.equals("midway") ? expected.size() * 4 / 10 : 0;
        assertTrue(correct >= minimum, "seed " + seed + ": " + correct + " of " + expected.size() + ", " + counts);
        assertTrue(correct < expected.size());
    }

    /** The two directions captured in separate files are merged by time. */
    @Test
    void bothDirections(@org.junit.jupiter.api.io.TempDir java.nio.file.Path folder) throws IOException {
        List<Packet> packets = FilesTest.syntheticTraffic(6, 100, 2);
        Map<String, String> expected = byId(rpcs(packets, new HashMap<>()));
        Decoder decoder = new Decoder();
        Segment segment = new Segment();
        List<Packet> up = new ArrayList<>();
        List<Packet> down = new ArrayList<>();
        for (Packet packet : packets) {
            decoder.decode(packet, segment);
            (segment.to.equals(FilesTest.SERVER) ? up : down).add(packet);
        }
        java.nio.file.Path clientFile = folder.resolve("up.pcap");
        java.nio.file.Path serverFile = folder.resolve("down.pcapng");
        java.nio.file.Files.write(clientFile, FilesTest.encode(up, false));
        java.nio.file.Files.write(serverFile, FilesTest.encode(down, true));
        List<RecordedRpc> exchanges = new ArrayList<>();
        try (MergedCaptureReader reading = new MergedCaptureReader(List.of(clientFile, serverFile))) {
            reading.conversations(exchanges::add, packet -> { });
        }
        assertEquals(expected, byId(exchanges));
    }

    /** Filters accept the expected exchanges; invalid expressions are rejected with the column of the error. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '\0', value = {
        "method == \"book\"|true", "method != \"book\" or not served|false", "took > 20ms and served|true",
        "took <= 0.02s|false", "took > 25000us and took < 1m|true", "key ~ \"^a.*2$\"|true",
        "(refused or failed) and read|false", "method in (\"look\", \"book\")|true", "tenant == \"a\\\"b\"|true",
        "not not served|true", "requestBytes >= 3 and connection == 7|true", "code == \"\"|true", "|true",
        "method = \"book\"|8", "took > 20|8", "took > \"20ms\"|8", "took|1", "nothing == 1|1", "method == 5|11",
        "served and|11", "(served|8", "served)|7", "requestBytes > 3ms|16", "key ~ \"[\"|7", "served served|8",
        "method == \"open|11", "took > 5x|8", "and|1"})
    void filters(String expression, String expected) {
        RecordedRpc exchange = new RecordedRpc();
        exchange.protocol = "pg";
        exchange.client = CLIENT;
        exchange.server = FilesTest.SERVER;
        exchange.method = "book";
        exchange.key = "ab12";
        exchange.tenant = "a\"b";
        exchange.durationNs = 30_000_000;
        exchange.connection = 7;
        exchange.request = new byte[3];
        exchange.outcome = RecordedRpc.Outcome.served;
        if (expected.matches("\\d+")) {
            RpcFilter.FilterSyntaxException fault = assertThrows(RpcFilter.FilterSyntaxException.class, () -> RpcFilter.parse(expression));
            assertEquals(Integer.parseInt(expected), fault.column, fault.getMessage());
        } else {
            assertEquals(expected.equals("true"), RpcFilter.parse(expression).test(exchange));
        }
    }

    /** Anonymising keeps the number, kinds and sizes of RPCs and maps keys consistently; no original key remains. */
    @Test
    void anonymised() throws IOException {
        List<Packet> packets = FilesTest.syntheticTraffic(7, 100, 3);
        List<RecordedRpc> before = rpcs(packets, new HashMap<>());
        List<Packet> hidden = new ArrayList<>();
        CaptureRedactor anonymous = new CaptureRedactor(new DataMasker("secret".getBytes(StandardCharsets.UTF_8)),
                packet -> hidden.add(FilesTest.copy(packet)));
        Reassembly reassembly = new Reassembly();
        Decoder decoder = new Decoder();
        Segment segment = new Segment();
        for (Packet packet : packets) {
            if (decoder.decode(packet, segment)) {
                reassembly.addSegment(segment);
                drain(reassembly, anonymous);
            }
        }
        reassembly.end();
        drain(reassembly, anonymous);
        List<RecordedRpc> after = rpcs(hidden, new HashMap<>());
        assertEquals(before.size(), after.size());
        Map<String, String> keys = new HashMap<>();
        Map<String, RecordedRpc> byId = new HashMap<>();
        after.forEach(original -> byId.put(original.id, original));
        StringBuilder content = new StringBuilder();
        hidden.forEach(packet -> content.append(new String(packet.data, StandardCharsets.ISO_8859_1)));
        for (RecordedRpc original : before) {
            RecordedRpc masked = byId.get(original.id);
            assertEquals(original.method + original.outcome + original.request.length + "/" + original.response.length,
                    masked.method
                    + masked.outcome + masked.request.length + "/" + masked.response.length);
            assertTrue(keys.merge(original.key, masked.key, (was, is) -> was.equals(is) ? is : "?") != "?", original.key);
            assertTrue(masked.key.matches("[0-9a-f]{16}") && !content.toString().contains(original.key), masked.key);
        }
        assertEquals(keys.size(), keys.values().stream().distinct().count());
    }

    /** JSON with masked values stays valid JSON with the same length and field names. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '\0', value = {
        "{\"context\":{\"targetingKey\":\"user-7\",\"age\":41,\"name\":\"R\u0101m \\u0915\\n\"}}|user-7 41 R\u0101m 0915",
        "{\"key\":\"flag-a\",\"value\":-10.5e3,\"reason\":\"SPLIT\",\"metadata\":{\"version\":\"12\"}}|-10.5e3",
        "[\"abc\",[1234,true,null],{\"x\":\"def\"}]|abc 1234 def"})
    void maskedJson(String json, String maskedValues) throws Exception {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        int length = bytes.length;
        new DataMasker(new byte[] {1, 2}).maskJson(bytes, 0, bytes.length);
        String hidden = new String(bytes, StandardCharsets.UTF_8);
        assertEquals(length, bytes.length);
        for (String value : maskedValues.split(" ")) {
            assertTrue(!hidden.contains(value), hidden);
        }
        for (String unmasked : new String[] {"targetingKey", "flag-a", "SPLIT", "\"12\"", "true,null"}) {
            assertEquals(json.contains(unmasked), hidden.contains(unmasked), hidden);
        }
        try (com.fasterxml.jackson.core.JsonParser parser = new com.fasterxml.jackson.core.JsonFactory()
                .createParser(bytes)) {
            while (parser.nextToken() != null) {
                parser.getText();
            }
        }
    }

    /**
     * After a hole, the rest of a partial response is skipped and its RPC ends: neither that rest nor the next complete
     * response, whose request was lost, may be matched to it.
     */
    @ParameterizedTest
    @CsvSource({"D,true,'[1 torn, 2 torn]'", "C,true,'[1 torn, 2 torn]'", "'',false,'[1 torn, 2 failed]'"})
    void restOfAResponseAfterAHole(String rest, boolean isSkipped, String expected) {
        List<String> outcomes = new ArrayList<>();
        PgConnectionDecoder decoder = new PgConnectionDecoder(false, RecordedRpc::new,
                one -> outcomes.add(one.id + " " + one.outcome), new HashMap<>());
        for (int id = 1; id <= 2; id++) {
            decoder.data(true, bytes("Q", "SELECT content FROM kv WHERE name = 'k' /* id=" + id
                    + ",c=look,t=acme,d=500 */\0"), id);
            if (id == 1) {
                decoder.gap(false, 20);
                decoder.data(false, bytes("D", "\0\0"), id);
            }
        }
        byte[] ready = bytes("Z", "I");
        if (isSkipped) {
            decoder.data(false, rest.equals("D") ? bytes("D", "\0\0")
                    : join(bytes("C", "SELECT 1\0"), ready), 3);
        }
        decoder.data(false, join(bytes("E", "SERROR\0CXX000\0Mno\0\0"), ready), 4);
        decoder.connectionClosed();
        assertEquals(expected, outcomes.toString());
    }

    private static byte[] join(byte[] first, byte[] last) {
        byte[] chunk = java.util.Arrays.copyOf(first, first.length + last.length);
        System.arraycopy(last, 0, chunk, first.length, last.length);
        return chunk;
    }

    private static byte[] bytes(String type, String body) {
        return (type + "\0\0\0" + (char) (body.length() + 4) + body).getBytes(StandardCharsets.ISO_8859_1);
    }
}
