package honeygap.lab.soak;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import picocli.CommandLine;

/** Soak runs by hand: one seed or many, and a failing one made smaller. */
@CommandLine.Command(name = "soak", mixinStandardHelpOptions = true,
        description = "Run agents in processes of their own under faults that a seed schedules, and check the rules.")
public final class SoakCommand implements Callable<Integer> {

    private static final int MAX_VIOLATIONS_SHOWN = 10;
    private static final int MAX_SHRINKING_RUNS = 16;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @CommandLine.Option(names = "--seed", defaultValue = "1", description = "The first seed (default: 1).")
    private long seed;

    @CommandLine.Option(names = "--seeds", defaultValue = "1", description = "How many seeds, one after another (default: 1).")
    private int seeds;

    @CommandLine.Option(names = "--agents", defaultValue = "12", description = "How many agents (default: 12).")
    private int agents;

    @CommandLine.Option(names = "--seconds", defaultValue = "30", description = "Seconds of load (default: 30).")
    private long seconds;

    @CommandLine.Option(names = "--shrink", description = "Play a failing seed again with ever fewer faults.")
    private boolean shrinks;

    @CommandLine.Option(names = "--folder", description = "Keep the agents' files and logs there (default: a temporary one).")
    private Path folder;

    private PrintWriter out;

    public static void main(String[] arguments) {
        System.exit(new CommandLine(new SoakCommand()).execute(arguments));
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        out = spec.commandLine().getOut();
        int failedSeeds = 0;
        for (long currentSeed : LongStream.range(seed, seed + seeds).toArray()) {
            SoakPlan plan = SoakPlan.generate(currentSeed, agents, 1000 * seconds);
            SoakRun.Outcome outcome = run(plan);
            printOutcome(outcome);
            if (outcome.hasViolations()) {
                failedSeeds++;
                if (shrinks) {
                    shrink(outcome);
                }
            }
        }
        out.printf("%d of %d seeds kept all rules, %d agents, %d s%n", seeds - failedSeeds, seeds, agents, seconds);
        return failedSeeds == 0 ? 0 : 1;
    }

    private SoakRun.Outcome run(SoakPlan plan) throws IOException, InterruptedException {
        Path runFolder = folder == null ? Files.createTempDirectory("soak") : Files.createDirectories(folder.resolve("seed"
                + plan.seed()));
        try (SoakRun run = new SoakRun(plan, runFolder)) {
            return run.run();
        } finally {
            if (folder == null) {
                delete(runFolder);
            }
        }
    }

    private static void delete(Path directory) throws IOException {
        try (Stream<Path> paths = Files.walk(directory)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }

    private void printOutcome(SoakRun.Outcome outcome) {
        SoakPlan plan = outcome.plan();
        out.printf("seed %d: %d requests, %d served, %d refused; %d told to end, %d ended before the kill at %d ms; %d clients an agent;"
                + " late by %d ms at most; %d faults; %s%n", plan.seed(), outcome.requests(), outcome.served(), outcome.refused(),
                outcome.signalled(), outcome.exitedByThemselves(), plan.load().killAfterMs(), plan.load().clientsPerAgent(),
                outcome.latenessMs(), plan.faults().size(),
                outcome.hasViolations() ? outcome.violations().size() + " BROKEN" : "all rules kept");
        outcome.violations().stream().limit(MAX_VIOLATIONS_SHOWN).forEach(violation -> out.println("  " + violation));
        if (outcome.hasViolations()) {
            out.printf("  again: --seed %d --agents %d --seconds %d%n", plan.seed(), plan.agents(), plan.loadMs() / 1000);
        }
        out.flush();
    }

    /** Leaves out halves, then smaller parts, of the faults as long as a rule breaks without them. */
    private void shrink(SoakRun.Outcome failing) throws IOException, InterruptedException {
        SoakPlan smallest = failing.plan();
        int runs = 0;
        for (int chunkSize = (smallest.faults().size() + 1) / 2; chunkSize > 0 && runs < MAX_SHRINKING_RUNS; chunkSize /= 2) {
            for (int from = 0; from < smallest.faults().size() && runs < MAX_SHRINKING_RUNS; from += chunkSize) {
                List<PlannedFault> remaining = new ArrayList<>(smallest.faults());
                remaining.subList(from, Math.min(remaining.size(), from + chunkSize)).clear();
                runs++;
                if (run(smallest.withFaults(remaining)).hasViolations()) {
                    smallest = smallest.withFaults(remaining);
                    from -= chunkSize;
                }
            }
        }
        out.printf("  smallest found in %d plays, %d faults:%n", runs, smallest.faults().size());
        smallest.faults().forEach(fault -> out.println("    " + fault));
        out.flush();
    }
}
