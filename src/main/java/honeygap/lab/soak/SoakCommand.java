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

/** Command that runs soak tests for one or more seeds and can shrink the plan of a failing seed. */
@CommandLine.Command(name = "soak", mixinStandardHelpOptions = true,
        description = "Run agents in separate processes under faults that a seed schedules, and check the rules.")
public final class SoakCommand implements Callable<Integer> {

    private static final int MAX_VIOLATIONS_SHOWN = 10;
    private static final int MAX_SHRINKING_RUNS = 16;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @CommandLine.Option(names = "--seed", defaultValue = "1", description = "The first seed (default: 1).")
    private long seed;

    @CommandLine.Option(names = "--seeds", defaultValue = "1", description = "Number of consecutive seeds (default: 1).")
    private int seeds;

    @CommandLine.Option(names = "--agents", defaultValue = "12", description = "Number of agents (default: 12).")
    private int agents;

    @CommandLine.Option(names = "--seconds", defaultValue = "30", description = "Seconds of load (default: 30).")
    private long seconds;

    @CommandLine.Option(names = "--shrink", description = "Rerun a failing seed with fewer and fewer faults.")
    private boolean shrinks;

    @CommandLine.Option(names = "--folder", description = "Folder for the agents' files and logs (default: a temporary one).")
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
        out.printf("%d of %d seeds without violations, %d agents, %d s%n", seeds - failedSeeds, seeds, agents, seconds);
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
        out.printf("seed %d: %d requests, %d served, %d refused, %d of %d served with a current list; %d terminated, %d exited before the kill at %d ms;"
                + " %d clients per agent; max lateness %d ms; %d faults; %s%n", plan.seed(), outcome.requests(), outcome.served(),
                outcome.refused(), outcome.listed().served(), outcome.listed().requests(), outcome.signalled(), outcome.exitedByThemselves(), plan.load().killAfterMs(),
                plan.load().clientsPerAgent(),
                outcome.latenessMs(), plan.faults().size(),
                outcome.hasViolations() ? outcome.violations().size() + " VIOLATIONS" : "no violations");
        outcome.violations().stream().limit(MAX_VIOLATIONS_SHOWN).forEach(violation -> out.println("  " + violation));
        if (outcome.hasViolations()) {
            out.printf("  rerun: --seed %d --agents %d --seconds %d%n", plan.seed(), plan.agents(), plan.loadMs() / 1000);
        }
        out.flush();
    }

    /** Removes halves, then smaller chunks, of the faults as long as the run still has violations without them. */
    private void shrink(SoakRun.Outcome failing) throws IOException, InterruptedException {
        SoakPlan smallest = failing.plan();
        int runs = 0;
        for (int chunkSize = (smallest.faults().size() + 1) / 2; chunkSize > 0 && runs < MAX_SHRINKING_RUNS; chunkSize /= 2) {
            for (int first = 0; first < smallest.faults().size() && runs < MAX_SHRINKING_RUNS; first += chunkSize) {
                List<PlannedFault> remaining = new ArrayList<>(smallest.faults());
                remaining.subList(first, Math.min(remaining.size(), first + chunkSize)).clear();
                runs++;
                if (run(smallest.withFaults(remaining)).hasViolations()) {
                    smallest = smallest.withFaults(remaining);
                    first -= chunkSize;
                }
            }
        }
        out.printf("  smallest failing plan after %d runs, %d faults:%n", runs, smallest.faults().size());
        smallest.faults().forEach(fault -> out.println("    " + fault));
        out.flush();
    }
}
