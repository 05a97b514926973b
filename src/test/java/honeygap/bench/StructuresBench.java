package honeygap.bench;

import honeygap.flags.AnswerCache;
import honeygap.flags.FlagQuery;
import honeygap.flags.VersionFloors;
import honeygap.fleet.Method;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
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

/**
 * Compares the data structures of flag responses with plain maps of the same bounds; docs/results.md has the results.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class StructuresBench {

    /** Number of different keys; the structures hold a tenth of them. */
    @Param({"10000", "1000000"})
    public int keys;

    private VersionFloors versions;
    private Map<Long, Long> plainVersions;
    private AnswerCache retainedResponses;
    private Map<FlagQuery, byte[]> plainRetainedResponses;
    private FlagQuery[] requests;
    private final byte[] body = new byte[200];
    private SplittableRandom random;
    private long step;

    private static <K, V> Map<K, V> bounded(int maxEntries) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > maxEntries;
            }
        };
    }

    @Setup
    public void fill() {
        random = new SplittableRandom(1);
        versions = new VersionFloors(keys / 10, keys / 10);
        plainVersions = bounded(keys / 10);
        retainedResponses = new AnswerCache(keys / 10 * 300);
        plainRetainedResponses = bounded(keys / 10);
        Method method = new Method(0, 0, 0, 0, 1, 1, 1, 0);
        requests = new FlagQuery[keys];
        for (int i = 0; i < keys; i++) {
            byte[] identity = ("POST /flags/a {\"targetingKey\":\"" + i + "\"}").getBytes(StandardCharsets.UTF_8);
            requests[i] = new FlagQuery(method, "a", i + 1, identity, i * 0x9e3779b97f4a7c15L, true);
        }
        for (int i = 0; i < keys; i++) {
            versionsUpdate();
            mapUpdate();
            retainedResponsesPutAndGet();
            mapPutAndGet();
        }
    }

    @Benchmark
    public long versionsUpdate() {
        long key = 1 + random.nextInt(keys);
        long floor = versions.floor(key);
        versions.raise(key, Math.max(floor, ++step / 1000));
        return floor;
    }

    @Benchmark
    public long mapUpdate() {
        Long key = 1L + random.nextInt(keys);
        Long floor = plainVersions.get(key);
        plainVersions.put(key, floor == null ? ++step / 1000 : Math.max(floor, ++step / 1000));
        return floor == null ? 0 : floor;
    }

    @Benchmark
    public int retainedResponsesPutAndGet() {
        retainedResponses.put(requests[random.nextInt(keys)], 1, body, ++step);
        return retainedResponses.find(requests[random.nextInt(keys)]);
    }

    @Benchmark
    public byte[] mapPutAndGet() {
        plainRetainedResponses.put(requests[random.nextInt(keys)], body.clone());
        return plainRetainedResponses.get(requests[random.nextInt(keys)]);
    }

    /** An unbounded plain map, as a lower bound for the cost of any map. */
    @State(Scope.Thread)
    public static class Unbounded {
        final Map<Long, Long> map = new HashMap<>();
    }

    @Benchmark
    public Long unboundedMapUpdate(Unbounded unbounded) {
        return unbounded.map.merge(1L + random.nextInt(keys), ++step / 1000, Math::max);
    }

    public static void main(String[] args) throws Exception {
        new Runner(new OptionsBuilder().include(StructuresBench.class.getSimpleName()).build()).run();
    }
}
