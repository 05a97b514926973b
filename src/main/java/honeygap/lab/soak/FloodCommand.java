package honeygap.lab.soak;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;

/** Command that measures regular clients of one agent with and without clients that flood it, side by side. */
@CommandLine.Command(name = "flood", mixinStandardHelpOptions = true,
        description = "Measure regular clients of an agent with and without clients that flood it.")
public final class FloodCommand implements Callable<Integer> {

    private static final double MIN_SERVED_SHARE = 0.9;
    /** An agent may be held up for this long. */
    private static final long MAX_ADDED_P99_MS = 150;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @CommandLine.Option(names = "--kinds", split = ",", description = "Kinds of flood (default: all): ${COMPLETION-CANDIDATES}.")
    private FloodKind[] kinds = FloodKind.values();

    @CommandLine.Option(names = "--clients", split = ",", defaultValue = "1,6,60",
            description = "Numbers of flooding clients, one measurement each (default: 1,6,60).")
    private int[] clients;

    @CommandLine.Option(names = "--seconds", defaultValue = "5", description = "Seconds of each measurement (default: 5).")
    private long seconds;

    @CommandLine.Option(names = "--sockets", defaultValue = "1024", description = "Descriptors of the agent (default: 1024).")
    private int sockets;

    @CommandLine.Option(names = "--seed", defaultValue = "1", description = "Seed of the regular clients (default: 1).")
    private long seed;

    @CommandLine.Option(names = "--folder", description = "Folder for the agent's files and log (default: a temporary one).")
    private Path folder;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        Path runFolder = folder == null ? Files.createTempDirectory("flood") : Files.createDirectories(folder);
        int failures = 0;
        try (FloodRun run = new FloodRun(runFolder, sockets)) {
            FloodMeasurement control = run.measure(null, 0, 1000 * seconds, seed);
            out.printf("no flood: %s; peak %d KB%n", control, run.peakMemoryKb());
            for (FloodKind kind : kinds) {
                for (int count : clients) {
                    FloodMeasurement measured = run.measure(kind, count, 1000 * seconds, seed);
                    boolean isKept = isWithinBounds(measured, control);
                    failures += isKept ? 0 : 1;
                    out.printf("%s by %d: %s; peak %d KB; %s%n", kind, count, measured, run.peakMemoryKb(),
                            isKept ? "ok" : "OUT OF BOUNDS");
                    out.flush();
                }
            }
        }
        return failures == 0 ? 0 : 1;
    }

    /** Whether regular clients are served as without the flood, up to the stated bounds. */
    static boolean isWithinBounds(FloodMeasurement measured, FloodMeasurement control) {
        return measured.count(FloodMeasurement.Ending.UNANSWERED) == 0 && measured.count(FloodMeasurement.Ending.CLOSED) == 0
                && measured.count(FloodMeasurement.Ending.SERVED)
                        >= MIN_SERVED_SHARE * control.count(FloodMeasurement.Ending.SERVED)
                && measured.p99Ms() <= control.p99Ms() + MAX_ADDED_P99_MS;
    }
}
