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

    private static final int BREACHES_SHOWN = 10;
    private static final int SHRINKING_PLAYS = 16;

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
        int broken = 0;
        for (long one : LongStream.range(seed, seed + seeds).toArray()) {
            SoakPlan plan = SoakPlan.drawn(one, agents, 1000 * seconds);
            SoakRun.Outcome outcome = play(plan);
            tell(outcome);
            if (outcome.isBroken()) {
                broken++;
                if (shrinks) {
                    shrink(outcome);
                }
            }
        }
        out.printf("%d of %d seeds kept all rules, %d agents, %d s%n", seeds - broken, seeds, agents, seconds);
        return broken == 0 ? 0 : 1;
    }

    private SoakRun.Outcome play(SoakPlan plan) throws IOException, InterruptedException {
        Path place = folder == null ? Files.createTempDirectory("soak") : Files.createDirectories(folder.resolve("seed"
                + plan.seed()));
        try (SoakRun run = new SoakRun(plan, place)) {
            return run.play();
        } finally {
            if (folder == null) {
                delete(place);
            }
        }
    }

    private static void delete(Path place) throws IOException {
        try (Stream<Path> all = Files.walk(place)) {
            for (Path one : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(one);
            }
        }
    }

    private void tell(SoakRun.Outcome outcome) {
        SoakPlan plan = outcome.plan();
        out.printf("seed %d: %d requests, %d served, %d refused; %d told to end, %d ended before the kill at %d ms; %d clients an agent;"
                + " late by %d ms at most; %d faults; %s%n", plan.seed(), outcome.requests(), outcome.served(), outcome.refused(),
                outcome.signalled(), outcome.endedByThemselves(), plan.load().killAfterMs(), plan.load().clientsPerAgent(),
                outcome.latenessMs(), plan.faults().size(),
                outcome.isBroken() ? outcome.breaches().size() + " BROKEN" : "all rules kept");
        outcome.breaches().stream().limit(BREACHES_SHOWN).forEach(breach -> out.println("  " + breach));
        if (outcome.isBroken()) {
            out.printf("  again: --seed %d --agents %d --seconds %d%n", plan.seed(), plan.agents(), plan.loadMs() / 1000);
        }
        out.flush();
    }

    /** Leaves out halves, then smaller parts, of the faults as long as a rule breaks without them. */
    private void shrink(SoakRun.Outcome failing) throws IOException, InterruptedException {
        SoakPlan smallest = failing.plan();
        int plays = 0;
        for (int part = (smallest.faults().size() + 1) / 2; part > 0 && plays < SHRINKING_PLAYS; part /= 2) {
            for (int from = 0; from < smallest.faults().size() && plays < SHRINKING_PLAYS; from += part) {
                List<PlannedFault> fewer = new ArrayList<>(smallest.faults());
                fewer.subList(from, Math.min(fewer.size(), from + part)).clear();
                plays++;
                if (play(smallest.with(fewer)).isBroken()) {
                    smallest = smallest.with(fewer);
                    from -= part;
                }
            }
        }
        out.printf("  smallest found in %d plays, %d faults:%n", plays, smallest.faults().size());
        smallest.faults().forEach(fault -> out.println("    " + fault));
        out.flush();
    }
}
