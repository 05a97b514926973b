package honeygap.bench;

import honeygap.capture.stream.Pieces;
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

/** The store of held segments beside a tree map of copies: a run of segments, shuffled, is put in and taken out. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class PiecesBench {

    private static final int SEGMENTS = 128;
    private static final int LENGTH = 1448;

    /** How far a segment may be from its place. */
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
                int other = from + random.nextInt(i - from + 1);
                int one = order[i];
                order[i] = order[other];
                order[other] = one;
            }
        }
    }

    @Benchmark
    public long pieces() {
        Pieces pieces = new Pieces(1 << 18);
        long out = 0;
        for (int number : order) {
            pieces.add((long) number * LENGTH, data, 0, LENGTH);
            if (pieces.ready() > 0) {
                out += pieces.take().length;
            }
        }
        return out;
    }

    @Benchmark
    public long treeMap() {
        TreeMap<Long, byte[]> held = new TreeMap<>();
        long base = 0;
        long out = 0;
        for (int number : order) {
            held.put((long) number * LENGTH, data.clone());
            for (Map.Entry<Long, byte[]> first = held.firstEntry(); first != null && first.getKey() == base;
                    first = held.firstEntry()) {
                out += first.getValue().length;
                base += first.getValue().length;
                held.pollFirstEntry();
            }
        }
        return out;
    }

    public static void main(String[] args) throws Exception {
        new Runner(new OptionsBuilder().include(PiecesBench.class.getSimpleName()).build()).run();
    }
}
