package honeygap.bench;

import honeygap.capture.stream.ReassemblyBuffer;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/** Compares the reassembly buffer with a tree map of copied segments, on a shuffled run of segments. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class ReassemblyBufferBench {

    private static final int SEGMENTS = 128;
    private static final int LENGTH = 1448;

    /** Number of consecutive segments that are shuffled among themselves. */
    @Param({"2", "16", "128"})
    public int window;

    private final int[] order = new int[SEGMENTS];
    private final byte[] data = new byte[LENGTH];

    @Setup
    public void shuffle() {
        SplittableRandom random = new SplittableRandom(window);
        for (int i = 0; i < SEGMENTS; i++) {
            order[i] = i;
        }
        for (int from = 0; from < SEGMENTS; from += window) {
            int to = Math.min(SEGMENTS, from + window);
            for (int i = to - 1; i > from; i--) {
                int swapIndex = from + random.nextInt(i - from + 1);
                int swapped = order[i];
                order[i] = order[swapIndex];
                order[swapIndex] = swapped;
            }
        }
    }

    @Benchmark
    public long reassemblyBuffer() {
        ReassemblyBuffer buffer = new ReassemblyBuffer(1 << 18);
        long deliveredBytes = 0;
        for (int number : order) {
            buffer.add((long) number * LENGTH, data, 0, LENGTH);
            if (buffer.readyBytes() > 0) {
                deliveredBytes += buffer.removeReady().length;
            }
        }
        return deliveredBytes;
    }

    @Benchmark
    public long treeMap() {
        TreeMap<Long, byte[]> buffered = new TreeMap<>();
        long base = 0;
        long deliveredBytes = 0;
        for (int number : order) {
            buffered.put((long) number * LENGTH, data.clone());
            for (Map.Entry<Long, byte[]> first = buffered.firstEntry(); first != null && first.getKey() == base;
                    first = buffered.firstEntry()) {
                deliveredBytes += first.getValue().length;
                base += first.getValue().length;
                buffered.pollFirstEntry();
            }
        }
        return deliveredBytes;
    }

    public static void main(String[] args) throws Exception {
        new Runner(new OptionsBuilder().include(ReassemblyBufferBench.class.getSimpleName()).build()).run();
    }
}
