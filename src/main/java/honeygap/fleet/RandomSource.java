package honeygap.fleet;

import java.nio.ByteBuffer;
import java.util.zip.CRC32;

/** Reproducible random numbers, derived from the instance's seed and a counter. */
public final class RandomSource {

    private static final long COUNTER_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final long seed;
    private long counter;

    public RandomSource(long seed) {
        this.seed = seed;
    }

    /** Uniformly distributed between 0 and 1, both exclusive. */
    public double nextUniform() {
        CRC32 crc = new CRC32();
        // Hashing consecutive counters gives values with a period of four: a dozen choices among four
        // hit only two of them. The multiplier spreads the counters.
        crc.update(ByteBuffer.allocate(16).putLong(seed).putLong(counter++ * COUNTER_MULTIPLIER).array());
        return (crc.getValue() + 0.5) / 4294967296.0;
    }

    /** Standard normal distribution. */
    public double nextNormal() {
        return Math.sqrt(-2 * Math.log(nextUniform())) * Math.cos(2 * Math.PI * nextUniform());
    }
}
