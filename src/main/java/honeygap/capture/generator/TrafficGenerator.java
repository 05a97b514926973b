package honeygap.capture.generator;

import honeygap.capture.file.PacketSynthesizer;
import honeygap.capture.packet.Address;
import honeygap.net.pg.PgMessages;
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
 * Generates a sample capture of PostgreSQL traffic from a seed. The RPC rate rises to its peak in the middle of the
 * capture and falls again. Keys follow a Zipf distribution, methods fixed shares, response times a log-normal and
 * value sizes a Pareto distribution.
 */
public final class TrafficGenerator {

    /** A method: its name, share of the RPCs, whether it only reads, its deadline and its mean response time in ms. */
    public record MethodProfile(String name, double share, boolean isReadOnly, long deadlineMs, double meanMs) { }

    public static final List<MethodProfile> METHODS = List.of(
            new MethodProfile("look", 0.7, true, 500, 4), new MethodProfile("basket", 0.2, true, 500, 8),
            new MethodProfile("book", 0.08, false, 1000, 15), new MethodProfile("assign", 0.02, false, 1000, 20));

    private static final long NANOS_PER_MS = 1_000_000;
    private static final double RESPONSE_TIME_SIGMA = 0.6;
    private static final double PUSHED_BACK_SHARE = 0.01;
    private static final double FAILED_SHARE = 0.004;
    /** Rate at the start and the end of the capture, as a share of the peak rate. */
    private static final double MIN_RATE_SHARE = 0.2;
    private static final int MAX_VALUE_HEX_DIGITS = 4000;
    private static final String[] TENANTS = {"acme", "valley", "ridge"};

    private final PacketSynthesizer synthesizer;
    private final UniformRandomProvider random;
    private final double peakRate;
    private final long durationNs;
    private final long startNs;
    private final Address server;
    private final DiscreteSampler keyRanks;
    private final PriorityQueue<PendingResponse> pendingResponses = new PriorityQueue<>();
    private final ArrayDeque<Long> idleConnections = new ArrayDeque<>();
    private final List<ContinuousSampler> responseTimes = new ArrayList<>();
    private final ContinuousSampler valueSizes;
    private final ContinuousSampler arrivalGaps;
    private long connectionCount;
    private long rpcCount;
    private long nextSequence;

    private static final class PendingResponse implements Comparable<PendingResponse> {
        final long dueNs;
        final long sequence;
        final long connection;
        final ByteBuffer response;

        PendingResponse(long dueNs, long sequence, long connection, ByteBuffer response) {
            this.dueNs = dueNs;
            this.sequence = sequence;
            this.connection = connection;
            this.response = response;
        }

        @Override
        public int compareTo(PendingResponse other) {
            return dueNs != other.dueNs ? Long.compare(dueNs, other.dueNs) : Long.compare(sequence, other.sequence);
        }
    }

    /**
     * Creates a generator that writes its packets to a sink.
     *
     * @param peakRate mean RPCs per second at the peak
     * @param durationNs length of the generated traffic
     * @param startNs time of its start, since the Unix epoch
     * @param keyCount number of different keys
     * @param server address of the server
     */
    public TrafficGenerator(PacketSynthesizer.Sink sink, long seed, double peakRate, long durationNs, long startNs, int keyCount,
            Address server) {
        synthesizer = new PacketSynthesizer(sink);
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.peakRate = peakRate;
        this.durationNs = durationNs;
        this.startNs = startNs;
        this.server = server;
        this.keyRanks = RejectionInversionZipfSampler.of(random, keyCount, 0.9);
        valueSizes = InverseTransformParetoSampler.of(random, 16, 1.2);
        arrivalGaps = ZigguratSampler.Exponential.of(random);
        for (MethodProfile profile : METHODS) {
            responseTimes.add(LogNormalSampler.of(ZigguratSampler.NormalizedGaussian.of(random),
                    Math.log(profile.meanMs) - RESPONSE_TIME_SIGMA * RESPONSE_TIME_SIGMA / 2, RESPONSE_TIME_SIGMA));
        }
    }

    /** Returns the value of a key in hexadecimal; it depends only on the key and the length. */
    public static String value(String key, int length) {
        StringBuilder digits = new StringBuilder(length);
        byte[] bytes = key.getBytes(StandardCharsets.UTF_8);
        for (int part = 0; digits.length() < length; part++) {
            digits.append(String.format("%016x", MurmurHash3.hash128x64(bytes, 0, bytes.length, part)[0]));
        }
        digits.setLength(length);
        return digits.toString();
    }

    /** Returns the length of a key's value in bytes, which depends only on the key. */
    public static int valueLength(String key) {
        return 16 + (int) (Long.parseUnsignedLong(key, 16) >>> 56 & 31);
    }

    /** Generates the whole capture and returns the number of RPCs. */
    public long generate() throws IOException {
        long offsetNs = 0;
        while (offsetNs < durationNs) {
            // Thinning: draws arrivals at the peak rate and keeps them with the probability given by the rate curve.
            offsetNs += (long) (arrivalGaps.sample() * 1e9 / peakRate);
            double rateShare = MIN_RATE_SHARE
                    + (1 - MIN_RATE_SHARE) * Math.pow(Math.sin(Math.PI * offsetNs / durationNs), 2);
            if (offsetNs < durationNs && random.nextDouble() < rateShare) {
                writeResponsesUntil(offsetNs);
                writeRequest(offsetNs);
            }
        }
        writeResponsesUntil(Long.MAX_VALUE);
        while (!idleConnections.isEmpty()) {
            synthesizer.closed(idleConnections.poll(), true, false, startNs + durationNs + 60_000 * NANOS_PER_MS);
        }
        return rpcCount;
    }

    private void writeResponsesUntil(long offsetNs) throws IOException {
        while (!pendingResponses.isEmpty() && pendingResponses.peek().dueNs <= offsetNs) {
            PendingResponse response = pendingResponses.poll();
            writeData(response.connection, false, response.response, response.dueNs);
            idleConnections.addLast(response.connection);
        }
    }

    private void writeData(long connection, boolean isClient, ByteBuffer bytes, long offsetNs) throws IOException {
        byte[] data = new byte[bytes.remaining()];
        bytes.duplicate().get(data);
        synthesizer.data(connection, isClient, data, 0, data.length, startNs + offsetNs);
    }

    private void writeRequest(long offsetNs) throws IOException {
        Long connection = idleConnections.pollFirst();
        if (connection == null) {
            connection = ++connectionCount;
            synthesizer.opened(connection, Address.ipv4(0x0a000100 + (int) (connection >> 14), 20_000
                    + (int) (connection & 0x3fff)), server, true, startNs + offsetNs);
            writeData(connection, true, PgMessages.startupMessage(), offsetNs);
            writeData(connection, false, PgMessages.startupResponse(), offsetNs);
        }
        double methodDraw = random.nextDouble();
        int methodIndex = 0;
        while (methodIndex < METHODS.size() - 1 && methodDraw >= METHODS.get(methodIndex).share) {
            methodDraw -= METHODS.get(methodIndex++).share;
        }
        MethodProfile profile = METHODS.get(methodIndex);
        byte[] rank = ByteBuffer.allocate(4).putInt(keyRanks.sample()).array();
        String key = String.format("%016x", MurmurHash3.hash128x64(rank, 0, 4, 0)[0]);
        String comment = " /* id=" + String.format("%016x", random.nextLong()) + ",c=" + profile.name + ",t="
                + TENANTS[random.nextInt(TENANTS.length)] + ",d=" + profile.deadlineMs
                + (profile.name.equals("book") ? ",k=" + String.format("%016x", random.nextLong()) : "") + " */";
        String value = value(key, 2 * valueLength(key));
        String stored = value(key, Math.min(MAX_VALUE_HEX_DIGITS, 2 * (int) valueSizes.sample()));
        writeData(connection, true, PgMessages.query(profile.isReadOnly
                ? "SELECT content FROM kv WHERE name = '" + key + "'" + comment
                : "INSERT INTO kv (name, content) VALUES ('" + key + "', '\\x" + stored + "') RETURNING content"
                + comment), offsetNs);
        double outcomeDraw = random.nextDouble();
        ByteBuffer response = outcomeDraw < PUSHED_BACK_SHARE ? PgMessages.error(PgMessages.TOO_MANY_CONNECTIONS, "full", 100)
                : outcomeDraw < PUSHED_BACK_SHARE + FAILED_SHARE ? PgMessages.error("XX000", "fault", 0) : rowResponse(value);
        pendingResponses.add(new PendingResponse(
                offsetNs + (long) (responseTimes.get(methodIndex).sample() * NANOS_PER_MS), nextSequence++, connection,
                response));
        rpcCount++;
    }

    /** An appliance's response with one row of one column, followed by ReadyForQuery. */
    public static ByteBuffer rowResponse(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.US_ASCII);
        byte[] column = "content\0".getBytes(StandardCharsets.US_ASCII);
        byte[] commandTag = "SELECT 1\0".getBytes(StandardCharsets.US_ASCII);
        ByteBuffer message = ByteBuffer.allocate(5 + 2 + column.length + 18 + 5 + 6 + bytes.length + 5
                + commandTag.length + 6);
        message.put((byte) 'T').putInt(4 + 2 + column.length + 18).putShort((short) 1).put(column).put(new byte[18]);
        message.put((byte) 'D').putInt(4 + 6 + bytes.length).putShort((short) 1).putInt(bytes.length).put(bytes);
        message.put((byte) 'C').putInt(4 + commandTag.length).put(commandTag);
        return message.put(PgMessages.readyForQuery()).flip();
    }

    public long connectionCount() {
        return connectionCount;
    }
}
