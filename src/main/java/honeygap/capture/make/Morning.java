package honeygap.capture.make;

import honeygap.capture.file.Synthesis;
import honeygap.capture.packet.Address;
import honeygap.net.pg.Words;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import org.apache.commons.codec.digest.MurmurHash3;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.InverseTransformParetoSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Makes a morning of PostgreSQL traffic from a seed: RPCs come at a rate that swells to its peak in the middle and
 * ebbs again, keys by Zipf, methods by shares, times of answers log-normal, sizes of values by Pareto.
 */
public final class Morning {

    /** One method: its name, its share of the RPCs, whether it only reads, its deadline and its mean time in ms. */
    public record Kind(String name, double share, boolean isRead, long deadlineMs, double meanMs) { }

    public static final List<Kind> KINDS = List.of(new Kind("look", 0.7, true, 500, 4), new Kind("basket", 0.2, true,
            500, 8), new Kind("book", 0.08, false, 1000, 15), new Kind("assign", 0.02, false, 1000, 20));

    private static final long MS = 1_000_000;
    private static final double SPREAD = 0.6;
    private static final double PUSHED_BACK = 0.01;
    private static final double FAILED = 0.004;
    /** Part of the peak's rate at the two ends of the morning. */
    private static final double EBB = 0.2;
    private static final int LONGEST_VALUE = 4000;
    private static final String[] TENANTS = {"acme", "valley", "ridge"};

    private final Synthesis synthesis;
    private final UniformRandomProvider random;
    private final double rate;
    private final long lasts;
    private final long from;
    private final Address server;
    private final DiscreteSampler keys;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final ArrayDeque<Long> idle = new ArrayDeque<>();
    private final List<ContinuousSampler> times = new ArrayList<>();
    private final ContinuousSampler sizes;
    private final ContinuousSampler gaps;
    private long connections;
    private long made;
    private long numbers;

    private static final class Event implements Comparable<Event> {
        final long at;
        final long number;
        final long connection;
        final ByteBuffer answer;

        Event(long at, long number, long connection, ByteBuffer answer) {
            this.at = at;
            this.number = number;
            this.connection = connection;
            this.answer = answer;
        }

        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    /** Mean RPCs a second at the peak, nanoseconds that it lasts, when it begins, how many keys, where servers are. */
    public Morning(Synthesis.Sink sink, long seed, double rate, long lasts, long from, int keys, Address server) {
        synthesis = new Synthesis(sink);
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.rate = rate;
        this.lasts = lasts;
        this.from = from;
        this.server = server;
        this.keys = RejectionInversionZipfSampler.of(random, keys, 0.9);
        sizes = InverseTransformParetoSampler.of(random, 16, 1.2);
        gaps = ZigguratSampler.Exponential.of(random);
        for (Kind kind : KINDS) {
            times.add(LogNormalSampler.of(ZigguratSampler.NormalizedGaussian.of(random),
                    Math.log(kind.meanMs) - SPREAD * SPREAD / 2, SPREAD));
        }
    }

    /** The value that goes with a key, in hexadecimal: the same wherever it is made. */
    public static String value(String key, int length) {
        StringBuilder words = new StringBuilder(length);
        byte[] bytes = key.getBytes(StandardCharsets.UTF_8);
        for (int part = 0; words.length() < length; part++) {
            words.append(String.format("%016x", MurmurHash3.hash128x64(bytes, 0, bytes.length, part)[0]));
        }
        words.setLength(length);
        return words.toString();
    }

    /** How long a key's value is, by the key alone. */
    public static int valueLength(String key) {
        return 16 + (int) (Long.parseUnsignedLong(key, 16) >>> 56 & 31);
    }

    /** Makes all of it; how many RPCs. */
    public long make() throws IOException {
        long at = 0;
        while (at < lasts) {
            // From the rate at the peak, thinned to what the curve has at that time.
            at += (long) (gaps.sample() * 1e9 / rate);
            double swell = EBB + (1 - EBB) * Math.pow(Math.sin(Math.PI * at / lasts), 2);
            if (at < lasts && random.nextDouble() < swell) {
                until(at);
                ask(at);
            }
        }
        until(Long.MAX_VALUE);
        while (!idle.isEmpty()) {
            synthesis.closed(idle.poll(), true, false, from + lasts + 60_000 * MS);
        }
        return made;
    }

    private void until(long at) throws IOException {
        while (!events.isEmpty() && events.peek().at <= at) {
            Event event = events.poll();
            say(event.connection, false, event.answer, event.at);
            idle.addLast(event.connection);
        }
    }

    private void say(long connection, boolean isClient, ByteBuffer bytes, long at) throws IOException {
        byte[] all = new byte[bytes.remaining()];
        bytes.duplicate().get(all);
        synthesis.data(connection, isClient, all, 0, all.length, from + at);
    }

    private void ask(long at) throws IOException {
        Long connection = idle.pollFirst();
        if (connection == null) {
            connection = ++connections;
            synthesis.opened(connection, Address.four(0x0a000100 + (int) (connection >> 14), 20_000
                    + (int) (connection & 0x3fff)), server, true, from + at);
            say(connection, true, Words.startup(), at);
            say(connection, false, Words.welcome(), at);
        }
        double draw = random.nextDouble();
        int number = 0;
        while (number < KINDS.size() - 1 && draw >= KINDS.get(number).share) {
            draw -= KINDS.get(number++).share;
        }
        Kind kind = KINDS.get(number);
        byte[] rank = ByteBuffer.allocate(4).putInt(keys.sample()).array();
        String key = String.format("%016x", MurmurHash3.hash128x64(rank, 0, 4, 0)[0]);
        String comment = " /* id=" + String.format("%016x", random.nextLong()) + ",c=" + kind.name + ",t="
                + TENANTS[random.nextInt(TENANTS.length)] + ",d=" + kind.deadlineMs
                + (kind.name.equals("book") ? ",k=" + String.format("%016x", random.nextLong()) : "") + " */";
        String value = value(key, 2 * valueLength(key));
        String stored = value(key, Math.min(LONGEST_VALUE, 2 * (int) sizes.sample()));
        say(connection, true, Words.query(kind.isRead ? "SELECT content FROM kv WHERE name = '" + key + "'" + comment
                : "INSERT INTO kv (name, content) VALUES ('" + key + "', '\\x" + stored + "') RETURNING content"
                + comment), at);
        double chance = random.nextDouble();
        ByteBuffer answer = chance < PUSHED_BACK ? Words.error(Words.TOO_MANY, "full", 100)
                : chance < PUSHED_BACK + FAILED ? Words.error("XX000", "fault", 0) : row(value);
        events.add(new Event(at + (long) (times.get(number).sample() * MS), numbers++, connection, answer));
        made++;
    }

    /** A row of one column as appliances give it, and ready. */
    public static ByteBuffer row(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.US_ASCII);
        byte[] column = "content\0".getBytes(StandardCharsets.US_ASCII);
        byte[] done = "SELECT 1\0".getBytes(StandardCharsets.US_ASCII);
        ByteBuffer all = ByteBuffer.allocate(5 + 2 + column.length + 18 + 5 + 6 + bytes.length + 5 + done.length + 6);
        all.put((byte) 'T').putInt(4 + 2 + column.length + 18).putShort((short) 1).put(column).put(new byte[18]);
        all.put((byte) 'D').putInt(4 + 6 + bytes.length).putShort((short) 1).putInt(bytes.length).put(bytes);
        all.put((byte) 'C').putInt(4 + done.length).put(done);
        return all.put(Words.ready()).flip();
    }

    public long connections() {
        return connections;
    }
}
