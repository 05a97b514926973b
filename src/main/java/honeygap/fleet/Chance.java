package honeygap.fleet;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/** Chance by the instance's seed and a counter alone. */
public final class Chance {

    private static final long COUNTER_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final long seed;
    private long counter;

    public Chance(long seed) {
        this.seed = seed;
    }

    /** Evenly between 0 and 1, both left out. */
    public double nextUniform() {
        CRC32 crc = new CRC32();
        // Neighbouring counters alone go round in fours: a dozen choices among four met two of them.
        crc.update(ByteBuffer.allocate(16).putLong(seed).putLong(counter++ * COUNTER_MULTIPLIER).array());
        return (crc.getValue() + 0.5) / 4294967296.0;
    }

    /** By the standard normal distribution. */
    public double nextNormal() {
        return Math.sqrt(-2 * Math.log(nextUniform())) * Math.cos(2 * Math.PI * nextUniform());
    }
}
