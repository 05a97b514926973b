package honeygap.cli;

import honeygap.capture.MergedCaptureReader;
import honeygap.capture.file.MalformedCaptureException;
import honeygap.capture.message.RecordedRpc;
import honeygap.capture.query.RpcFilter;
import honeygap.capture.redact.DataMasker;
import honeygap.capture.replay.ReplaySchedule;
import honeygap.capture.replay.Replayer;
import honeygap.capture.replay.RequestRewriter;
import honeygap.capture.replay.ReplayReport;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import java.util.function.Predicate;
import picocli.CommandLine;

/** Replays the RPCs of captures. Exit codes: 0 responses as recorded, 1 some differ or are missing, 2 unreadable. */
@CommandLine.Command(name = "replay", mixinStandardHelpOptions = true,
        description = "Send the RPCs of captures to an agent, each at its recorded time, and compare the responses.")
final class Replay implements Callable<Integer> {

    /** A capture yields RPCs when they end; sorting by start holds each back for this long, in nanoseconds. */
    private static final long REORDER_WINDOW_NS = 20_000_000_000L;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @CommandLine.Parameters(paramLabel = "FILE", arity = "1..*")
    private List<Path> files;

    @CommandLine.Option(names = "--to", paramLabel = "ADDRESS", required = true,
            description = "Numeric address and port of the agent.")
    private String to;

    @CommandLine.Option(names = "--speed", defaultValue = "1", description = "Speed-up factor (default: 1).")
    private double speed;

    @CommandLine.Option(names = "--from", defaultValue = "0", description = "Seconds after the first RPC.")
    private double from;

    @CommandLine.Option(names = "--until", defaultValue = "1e9", description = "Seconds after the first RPC.")
    private double until;

    @CommandLine.Option(names = "--repeat", defaultValue = "1", description = "Number of repetitions (default: 1).")
    private int repeat;

    @CommandLine.Option(names = "--effects",
            description = "Also send RPCs that may have side effects; skipped by default.")
    private boolean effects;

    @CommandLine.Option(names = "--deadline", paramLabel = "MS", defaultValue = "0",
            description = "The deadline of each RPC in ms (default: as recorded).")
    private long deadline;

    @CommandLine.Option(names = "--map-keys", description = "Replace each key by a pseudonym that depends on the seed.")
    private boolean mapKeys;

    @CommandLine.Option(names = "--by-value", description = "Compare responses by value, not only by outcome.")
    private boolean byValue;

    @CommandLine.Option(names = "--seed", defaultValue = "1")
    private long seed;

    @CommandLine.Option(names = "--where", paramLabel = "FILTER", description = "Only RPCs that match this filter.")
    private String where;

    @Override
    public Integer call() throws Exception {
        try {
            if (!(speed > 0) || repeat < 1) {
                throw new IllegalArgumentException("--speed and --repeat must be above 0");
            }
            int colon = to.lastIndexOf(':');
            InetSocketAddress target = new InetSocketAddress(to.substring(0, Math.max(0, colon)),
                    Integer.parseInt(to.substring(colon + 1)));
            Predicate<RecordedRpc> filter = RpcFilter.parse(where);
            ReplaySchedule plan = new ReplaySchedule(speed, effects, filter, 10_000_000_000L);
            DataMasker mask = mapKeys ? new DataMasker(ByteBuffer.allocate(8).putLong(seed).array()) : null;
            ReplayReport tally = new ReplayReport();
            ProgressLine progress = new ProgressLine();
            new Replayer(target, plan, new RequestRewriter(seed, deadline, mask), tally, byValue).play(this::readByStartTime, repeat,
                    () -> progress.show("sent " + tally.sentCount() + ", ended " + tally.completedCount() + ", late " + tally.lateCount()
                            + ", differ " + tally.differenceCount()));
            progress.clear();
            tally.print(spec.commandLine().getOut(), plan);
            return tally.differenceCount() == 0 && tally.sentCount() == tally.completedCount() ? 0 : 1;
        } catch (MalformedCaptureException | IllegalArgumentException e) {
            spec.commandLine().getErr().println("replay: " + e.getMessage());
        } catch (NoSuchFileException e) {
            spec.commandLine().getErr().println("replay: " + e.getFile() + ": no such file");
        }
        return 2;
    }

    /** Passes on the RPCs in order of their start; a capture yields them in order of their end. */
    private void readByStartTime(Consumer<RecordedRpc> consumer) throws Exception {
        PriorityQueue<RecordedRpc> sorted = new PriorityQueue<>(Comparator.comparingLong(rpc -> rpc.requestTimeNs));
        long[] firstStart = {Long.MIN_VALUE};
        Consumer<RecordedRpc> timeRange = rpc -> {
            firstStart[0] = firstStart[0] == Long.MIN_VALUE ? rpc.requestTimeNs : firstStart[0];
            double seconds = (rpc.requestTimeNs - firstStart[0]) / 1e9;
            if (seconds >= from && seconds <= until) {
                consumer.accept(rpc);
            }
        };
        try (MergedCaptureReader reading = new MergedCaptureReader(files)) {
            reading.conversations(sorted::add, packet -> {
                while (!sorted.isEmpty() && sorted.peek().requestTimeNs < packet.timestampNs - REORDER_WINDOW_NS) {
                    timeRange.accept(sorted.poll());
                }
            });
        }
        while (!sorted.isEmpty()) {
            timeRange.accept(sorted.poll());
        }
    }
}
