package honeygap.capture;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import honeygap.capture.file.Packet;
import honeygap.capture.file.Synthesis;
import honeygap.capture.message.Conversations;
import honeygap.capture.message.PgConversation;
import honeygap.capture.message.Spoken;
import honeygap.capture.packet.Address;
import honeygap.capture.packet.Decoder;
import honeygap.capture.packet.Segment;
import honeygap.capture.query.Filter;
import honeygap.capture.redact.Anonymous;
import honeygap.capture.redact.Mask;
import honeygap.capture.stream.Pieces;
import honeygap.capture.stream.Reassembly;
import honeygap.net.pg.Words;
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

/** Segments made into streams, and streams into RPCs, whatever happens to the packets on the way. */
class StreamsTest {

    private static final Address CLIENT = Address.four(0x0a000002, 40_000);

    /** What came of segments: bytes by direction, with holes as marks, and the ends. */
    private static final class Heard implements Reassembly.Out {

        final Map<String, ByteArrayOutputStream> bytes = new TreeMap<>();
        final StringBuilder words = new StringBuilder();

        @Override
        public void opened(Reassembly.Flow flow, long at) {
            words.append("open ");
        }

        @Override
        public void data(Reassembly.Flow flow, boolean isClient, byte[] data, long at) {
            bytes.computeIfAbsent(flow.number + (isClient ? "up" : "down"), name -> new ByteArrayOutputStream())
                    .writeBytes(data);
        }

        @Override
        public void hole(Reassembly.Flow flow, boolean isClient, long length, long at) {
            words.append("hole").append(length).append(' ');
        }

        @Override
        public void closed(Reassembly.Flow flow, Reassembly.End how, long at) {
            words.append(how).append(' ');
        }

        String up() {
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
        segment.length = segment.sent = segment.data.length;
        return segment;
    }

    private static void drain(Reassembly reassembly, Reassembly.Out out) {
        while (reassembly.next(out)) {
            continue;
        }
    }

    /**
     * Segments of one client, as place:data with marks: S begins, F ends, R resets, + so many seconds later. What
     * the stream is, and what was said of it.
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
    void segments(String sends, String stream, String words) {
        for (long zero : new long[] {1000, 0xfffffffdL}) {
            Reassembly reassembly = new Reassembly();
            Heard heard = new Heard();
            long at = 0;
            for (String send : sends.split(" ")) {
                Segment segment;
                if (send.startsWith("S")) {
                    segment = segment(true, zero - 1, "", Segment.SYN);
                } else if (send.startsWith("T")) {
                    segment = segment(true, zero + 999, "", Segment.SYN);
                } else if (send.startsWith("F")) {
                    segment = segment(true, zero + Integer.parseInt(send.substring(1)), "", Segment.FIN | Segment.ACK);
                } else if (send.startsWith("R")) {
                    segment = segment(true, zero + Integer.parseInt(send.substring(1)), "", Segment.RST);
                } else if (send.startsWith("+")) {
                    at += Long.parseLong(send.substring(1)) * 1_000_000_000L;
                    continue;
                } else {
                    String[] parts = send.split(":", -1);
                    segment = segment(true, zero + Integer.parseInt(parts[0]), parts[1], Segment.ACK);
                }
                segment.at = at;
                reassembly.take(segment);
                drain(reassembly, heard);
            }
            reassembly.end();
            drain(reassembly, heard);
            assertEquals(stream, heard.up(), "from " + zero);
            assertEquals(words + (words.endsWith("open") ? " CUT" : ""), heard.words.toString().strip());
            assertEquals(0, reassembly.held());
            assertEquals(0, reassembly.flows());
        }
    }

    /** Bounds: a direction's own first gap goes, then the oldest anywhere; the connection silent longest. */
    @Test
    void bounds() {
        Reassembly reassembly = new Reassembly(1024, 3000, 3, 1L << 60, 1L << 60);
        Heard heard = new Heard();
        for (int i = 0; i < 5; i++) {
            Segment syn = segment(true, 0, "", Segment.SYN);
            syn.from = Address.four(1, 100 + i);
            reassembly.take(syn);
            Segment answer = segment(false, 500, "", Segment.SYN | Segment.ACK);
            answer.to = syn.from;
            reassembly.take(answer);
            for (int at = 10; at < 3000; at += 500) {
                Segment data = segment(true, at, "x".repeat(400), Segment.ACK);
                data.from = syn.from;
                reassembly.take(data);
                assertTrue(reassembly.held() <= 3000, "held " + reassembly.held());
            }
        }
        drain(reassembly, heard);
        assertEquals(3, reassembly.flows());
        assertEquals(2, heard.words.toString().split("CROWDED", -1).length - 1);
        assertTrue(reassembly.counts().containsKey("gaps beyond the bound"));
    }

    /** The store of pieces against plain bytes: the first value stays, runs never touch, all comes out in order. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void pieces(long seed) {
        Random random = new Random(seed);
        byte[] plain = new byte[20_000];
        boolean[] there = new boolean[plain.length];
        Pieces pieces = new Pieces(8192);
        int taken = 0;
        for (int step = 0; step < 20_000 && taken < plain.length - 1; step++) {
            int at = taken + random.nextInt(Math.min(3000, plain.length - taken));
            byte[] data = new byte[Math.min(plain.length - at, random.nextInt(200))];
            random.nextBytes(data);
            int differing = 0;
            for (int i = 0; i < data.length; i++) {
                differing += there[at + i] && plain[at + i] != data[i] ? 1 : 0;
                plain[at + i] = there[at + i] ? plain[at + i] : data[i];
                there[at + i] = true;
            }
            assertTrue(pieces.fits(at + data.length));
            assertEquals(differing, pieces.add(at, data, 0, data.length), "seed " + seed + ", step " + step);
            if (pieces.ready() > 0 && random.nextInt(4) == 0) {
                byte[] out = pieces.take();
                assertArrayEquals(Arrays.copyOfRange(plain, taken, taken + out.length), out, "step " + step);
                taken += out.length;
            }
            int held = 0;
            int runs = 0;
            for (int i = taken; i < plain.length; i++) {
                held += there[i] ? 1 : 0;
                runs += there[i] && (i == taken || !there[i - 1]) ? 1 : 0;
            }
            assertEquals(held + "/" + runs, pieces.bufferedBytes() + "/" + pieces.runCount(), "seed " + seed + ", step " + step);
        }
    }

    static List<Spoken> rpcs(List<Packet> packets, Map<String, Long> counts) {
        List<Spoken> all = new ArrayList<>();
        Conversations conversations = new Conversations(all::add);
        Reassembly reassembly = new Reassembly();
        Decoder decoder = new Decoder();
        Segment segment = new Segment();
        for (Packet packet : packets) {
            if (decoder.read(packet, segment)) {
                reassembly.take(segment);
                drain(reassembly, conversations);
            }
        }
        reassembly.end();
        drain(reassembly, conversations);
        counts.putAll(conversations.counts());
        counts.putAll(reassembly.counts());
        return all;
    }

    private static Map<String, String> byId(List<Spoken> all) {
        Map<String, String> words = new TreeMap<>();
        all.forEach(one -> words.put(one.id, one.method + " " + one.key + " " + one.outcome + " " + one.code + " "
                + new String(one.request, StandardCharsets.ISO_8859_1)
                + new String(one.answer, StandardCharsets.ISO_8859_1)));
        return words;
    }

    /** Shuffled within a window, every packet twice, times that step back: the same RPCs. */
    @ParameterizedTest
    @CsvSource({"1,4,false,false", "2,12,false,false", "3,4,true,false", "4,30,true,true"})
    void shuffled(long seed, int window, boolean twice, boolean back) throws IOException {
        List<Packet> packets = FilesTest.morning(seed, 2000, 0.5);
        Map<String, String> wanted = byId(rpcs(packets, new HashMap<>()));
        assertTrue(wanted.size() > 100);
        Random random = new Random(seed);
        List<Packet> mixed = new ArrayList<>();
        List<Packet> near = new ArrayList<>();
        for (Packet packet : packets) {
            near.add(packet);
            if (twice && random.nextBoolean()) {
                near.add(packet);
            }
            if (near.size() >= window) {
                java.util.Collections.shuffle(near, random);
                mixed.addAll(near);
                near.clear();
            }
        }
        mixed.addAll(near);
        if (back) {
            for (Packet packet : mixed) {
                packet.at -= random.nextInt(2_000_000);
            }
        }
        Map<String, String> read = byId(rpcs(mixed, new HashMap<>()));
        assertEquals(wanted, read, "seed " + seed);
    }

    /** One conversation, each packet of it split at every byte: the same RPC. */
    @Test
    void splitAnywhere() throws IOException {
        ByteBuffer query = Words.query("SELECT content FROM kv WHERE name = 'ab12' /* id=i1,c=look,t=a,d=50 */");
        ByteBuffer answer = honeygap.capture.make.Morning.row("0102");
        byte[][] said = {bytes(Words.startup()), bytes(Words.welcome()), bytes(query), bytes(answer)};
        for (int part = 0; part < said.length; part++) {
            for (int split = 0; split <= said[part].length; split++) {
                List<Packet> packets = new ArrayList<>();
                Synthesis synthesis = new Synthesis(packet -> packets.add(FilesTest.copy(packet)));
                synthesis.opened(1, CLIENT, FilesTest.SERVER, true, 5);
                for (int i = 0; i < said.length; i++) {
                    int at = i == part ? split : 0;
                    synthesis.data(1, i % 2 == 0, said[i], 0, at, 10 + i);
                    synthesis.data(1, i % 2 == 0, said[i], at, said[i].length - at, 10 + i);
                }
                List<Spoken> all = rpcs(packets, new HashMap<>());
                assertEquals(1, all.size(), "part " + part + " at " + split);
                assertEquals("look ab12 served 1", all.get(0).method + " " + all.get(0).key + " " + all.get(0).outcome
                        + " " + all.get(0).took);
            }
        }
    }

    private static byte[] bytes(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.duplicate().get(bytes);
        return bytes;
    }

    /** Lost packets, a snap length, a start midway: what is read is right, what is torn says so, the rest comes back. */
    @ParameterizedTest
    @CsvSource({"1,lost", "2,lost", "3,snap", "4,midway", "5,lost"})
    void losses(long seed, String what) throws IOException {
        List<Packet> packets = FilesTest.morning(seed, 100, 6);
        Map<String, String> wanted = byId(rpcs(packets, new HashMap<>()));
        Random random = new Random(seed);
        List<Packet> left = new ArrayList<>(packets);
        if (what.equals("lost")) {
            left.removeIf(packet -> random.nextInt(100) == 0);
        } else if (what.equals("snap")) {
            left.forEach(packet -> packet.length = Math.min(packet.length, 130));
        } else {
            left.subList(0, packets.size() / 2).clear();
        }
        Map<String, Long> counts = new HashMap<>();
        List<Spoken> all = rpcs(left, counts);
        int right = 0;
        for (Spoken one : all) {
            if (one.outcome == Spoken.Outcome.torn || one.outcome == Spoken.Outcome.open) {
                continue;
            }
            assertEquals(wanted.get(one.id), byId(List.of(one)).get(one.id), "seed " + seed);
            right++;
        }
        int least = what.equals("lost") ? wanted.size() * 8 / 10 : what.equals("midway") ? wanted.size() * 4 / 10 : 0;
        assertTrue(right >= least, "seed " + seed + ": " + right + " of " + wanted.size() + ", " + counts);
        assertTrue(right < wanted.size());
    }

    /** Both directions in two files come together by time. */
    @Test
    void bothDirections(@org.junit.jupiter.api.io.TempDir java.nio.file.Path folder) throws IOException {
        List<Packet> packets = FilesTest.morning(6, 100, 2);
        Map<String, String> wanted = byId(rpcs(packets, new HashMap<>()));
        Decoder decoder = new Decoder();
        Segment segment = new Segment();
        List<Packet> up = new ArrayList<>();
        List<Packet> down = new ArrayList<>();
        for (Packet packet : packets) {
            decoder.read(packet, segment);
            (segment.to.equals(FilesTest.SERVER) ? up : down).add(packet);
        }
        java.nio.file.Path one = folder.resolve("up.pcap");
        java.nio.file.Path other = folder.resolve("down.pcapng");
        java.nio.file.Files.write(one, FilesTest.written(up, false));
        java.nio.file.Files.write(other, FilesTest.written(down, true));
        List<Spoken> all = new ArrayList<>();
        try (Reading reading = new Reading(List.of(one, other))) {
            reading.conversations(all::add, packet -> { });
        }
        assertEquals(wanted, byId(all));
    }

    /** What filters take, and where those that can't be read go wrong. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '\0', value = {
        "method == \"book\"|true", "method != \"book\" or not served|false", "took > 20ms and served|true",
        "took <= 0.02s|false", "took > 25000us and took < 1m|true", "key ~ \"^a.*2$\"|true",
        "(refused or failed) and read|false", "method in (\"look\", \"book\")|true", "tenant == \"a\\\"b\"|true",
        "not not served|true", "requestBytes >= 3 and connection == 7|true", "code == \"\"|true", "|true",
        "method = \"book\"|8", "took > 20|8", "took > \"20ms\"|8", "took|1", "nothing == 1|1", "method == 5|11",
        "served and|11", "(served|8", "served)|7", "requestBytes > 3ms|16", "key ~ \"[\"|7", "served served|8",
        "method == \"open|11", "took > 5x|8", "and|1"})
    void filters(String words, String what) {
        Spoken spoken = new Spoken();
        spoken.protocol = "pg";
        spoken.client = CLIENT;
        spoken.server = FilesTest.SERVER;
        spoken.method = "book";
        spoken.key = "ab12";
        spoken.tenant = "a\"b";
        spoken.took = 30_000_000;
        spoken.connection = 7;
        spoken.request = new byte[3];
        spoken.outcome = Spoken.Outcome.served;
        if (what.matches("\\d+")) {
            Filter.Unread fault = assertThrows(Filter.Unread.class, () -> Filter.of(words));
            assertEquals(Integer.parseInt(what), fault.column, fault.getMessage());
        } else {
            assertEquals(what.equals("true"), Filter.of(words).test(spoken));
        }
    }

    /** Anonymised: as many RPCs of the same kinds and sizes, keys that stay keys, and nothing of the old ones. */
    @Test
    void anonymised() throws IOException {
        List<Packet> packets = FilesTest.morning(7, 100, 3);
        List<Spoken> before = rpcs(packets, new HashMap<>());
        List<Packet> hidden = new ArrayList<>();
        Anonymous anonymous = new Anonymous(new Mask("secret".getBytes(StandardCharsets.UTF_8)),
                packet -> hidden.add(FilesTest.copy(packet)));
        Reassembly reassembly = new Reassembly();
        Decoder decoder = new Decoder();
        Segment segment = new Segment();
        for (Packet packet : packets) {
            if (decoder.read(packet, segment)) {
                reassembly.take(segment);
                drain(reassembly, anonymous);
            }
        }
        reassembly.end();
        drain(reassembly, anonymous);
        List<Spoken> after = rpcs(hidden, new HashMap<>());
        assertEquals(before.size(), after.size());
        Map<String, String> keys = new HashMap<>();
        Map<String, Spoken> byId = new HashMap<>();
        after.forEach(one -> byId.put(one.id, one));
        StringBuilder all = new StringBuilder();
        hidden.forEach(packet -> all.append(new String(packet.data, StandardCharsets.ISO_8859_1)));
        for (Spoken one : before) {
            Spoken other = byId.get(one.id);
            assertEquals(one.method + one.outcome + one.request.length + "/" + one.answer.length, other.method
                    + other.outcome + other.request.length + "/" + other.answer.length);
            assertTrue(keys.merge(one.key, other.key, (was, is) -> was.equals(is) ? is : "?") != "?", one.key);
            assertTrue(other.key.matches("[0-9a-f]{16}") && !all.toString().contains(one.key), other.key);
        }
        assertEquals(keys.size(), keys.values().stream().distinct().count());
    }

    /** JSON with values hidden stays JSON of the same length and names. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '\0', value = {
        "{\"context\":{\"targetingKey\":\"user-7\",\"age\":41,\"name\":\"R\u0101m \\u0915\\n\"}}|user-7 41 R\u0101m 0915",
        "{\"key\":\"flag-a\",\"value\":-10.5e3,\"reason\":\"SPLIT\",\"metadata\":{\"version\":\"12\"}}|-10.5e3",
        "[\"abc\",[1234,true,null],{\"x\":\"def\"}]|abc 1234 def"})
    void hiddenJson(String words, String gone) throws Exception {
        byte[] bytes = words.getBytes(StandardCharsets.UTF_8);
        int length = bytes.length;
        new Mask(new byte[] {1, 2}).hideJson(bytes, 0, bytes.length);
        String hidden = new String(bytes, StandardCharsets.UTF_8);
        assertEquals(length, bytes.length);
        for (String one : gone.split(" ")) {
            assertTrue(!hidden.contains(one), hidden);
        }
        for (String kept : new String[] {"targetingKey", "flag-a", "SPLIT", "\"12\"", "true,null"}) {
            assertEquals(words.contains(kept), hidden.contains(kept), hidden);
        }
        try (com.fasterxml.jackson.core.JsonParser parser = new com.fasterxml.jackson.core.JsonFactory()
                .createParser(bytes)) {
            while (parser.nextToken() != null) {
                parser.getText();
            }
        }
    }

    /**
     * Behind a hole an answer in pieces is passed over, and what it was for ends there: neither its rest nor the
     * next whole answer, whose statement was lost, is taken for its answer.
     */
    @ParameterizedTest
    @CsvSource({"D,true,'[1 torn, 2 torn]'", "C,true,'[1 torn, 2 torn]'", "'',false,'[1 torn, 2 failed]'"})
    void restOfAnAnswer(String piece, boolean isPassedOver, String then) {
        List<String> heard = new ArrayList<>();
        PgConversation conversation = new PgConversation(false, Spoken::new,
                one -> heard.add(one.id + " " + one.outcome), new HashMap<>());
        for (int id = 1; id <= 2; id++) {
            conversation.data(true, bytes("Q", "SELECT content FROM kv WHERE name = 'k' /* id=" + id
                    + ",c=look,t=acme,d=500 */\0"), id);
            if (id == 1) {
                conversation.hole(false, 20);
                conversation.data(false, bytes("D", "\0\0"), id);
            }
        }
        byte[] ready = bytes("Z", "I");
        if (isPassedOver) {
            conversation.data(false, piece.equals("D") ? bytes("D", "\0\0")
                    : join(bytes("C", "SELECT 1\0"), ready), 3);
        }
        conversation.data(false, join(bytes("E", "SERROR\0CXX000\0Mno\0\0"), ready), 4);
        conversation.over();
        assertEquals(then, heard.toString());
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
