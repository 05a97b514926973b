package honeygap.lab.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Plan of a run, generated from a seed.
 *
 * @param loadMs how long clients send requests, in milliseconds
 */
record SoakPlan(long seed, int agents, int appliances, long loadMs, SoakLoad load, List<PlannedFault> faults,
        List<PlannedFlood> floods) {

    private static final int FAULTS_PER_MINUTE = 60;
    private static final int MIN_APPLIANCES = 12;
    private static final long FAULT_DURATION_RANGE_MS = 4000;
    /** One appliance in this many has the trial build. */
    private static final int TRIAL_ONE_IN = 5;
    /** Duration of the outage of discovery that is part of each run. */
    private static final long OUTAGE_MS = 8000;
    private static final long MIN_PAUSE_MS = 150;
    private static final int RESTART_STEPS = 10;
    private static final long RESTART_START_MS = 1500;
    private static final long RESTART_END_MARGIN_MS = 5000;
    private static final long HANG_MS = 5000;

    static SoakPlan generate(long seed, int agents, long loadMs) {
        Random random = new Random(seed);
        int appliances = Math.max(MIN_APPLIANCES, agents);
        List<PlannedFault> faults = new ArrayList<>();
        int faultCount = (int) Math.max(4, FAULTS_PER_MINUTE * loadMs / 60_000);
        FaultKind[] kinds = FaultKind.values();
        for (int i = 0; i < faultCount; i++) {
            FaultKind kind = kinds[random.nextInt(kinds.length)];
            long durationMs = kind == FaultKind.AGENT_STOPPED ? MIN_PAUSE_MS + random.nextInt(1000)
                    : 500 + random.nextInt((int) FAULT_DURATION_RANGE_MS);
            int target = kind == FaultKind.APPLIANCE_REPLACED ? drawReplaced(random, appliances)
                    : random.nextInt(kind.name().startsWith("AGENT") ? agents : appliances);
            faults.add(new PlannedFault(kind, 1000 + random.nextInt((int) Math.max(1, loadMs - 3000)),
                    kind.hasDuration ? durationMs : 0, target));
        }
        // Part of each run, since the lease of the list guards against it: agents are killed after an outage of
        // discovery during which appliances were replaced.
        long outageAtMs = 1000 + random.nextInt((int) Math.max(1, loadMs / 4));
        faults.add(new PlannedFault(FaultKind.DISCOVERY_DOWN, outageAtMs, OUTAGE_MS, 0));
        for (int i = 0; i < appliances / 3; i++) {
            faults.add(new PlannedFault(FaultKind.APPLIANCE_REPLACED, outageAtMs + 2000 + random.nextInt(8000), 0,
                    drawReplaced(random, appliances)));
        }
        for (int i = 0; i < agents / 2; i++) {
            faults.add(new PlannedFault(FaultKind.AGENT_KILLED, outageAtMs + OUTAGE_MS + random.nextInt(2000), 0,
                    random.nextInt(agents)));
        }
        addRollingRestart(random, agents, appliances, loadMs, faults);
        faults.sort(Comparator.comparingLong(PlannedFault::atMs));
        return new SoakPlan(seed, agents, appliances, loadMs, SoakLoad.generate(seed, agents), List.copyOf(faults),
                PlannedFlood.generate(seed, agents, loadMs));
    }

    /** Terminates each agent once, a tenth of the fleet at a time, while an appliance hangs. */
    private static void addRollingRestart(Random random, int agents, int appliances, long loadMs,
            List<PlannedFault> faults) {
        int agentsPerStep = (agents + RESTART_STEPS - 1) / RESTART_STEPS;
        long endMs = Math.max(RESTART_START_MS, loadMs - RESTART_END_MARGIN_MS);
        for (int i = 0; i < agents; i++) {
            long atMs = RESTART_START_MS + (endMs - RESTART_START_MS) * (i / agentsPerStep) / RESTART_STEPS;
            faults.add(new PlannedFault(FaultKind.AGENT_TERMINATED, atMs, 0, i));
            if (i % agentsPerStep == 0) {
                faults.add(new PlannedFault(FaultKind.APPLIANCE_HANGS, atMs, HANG_MS, random.nextInt(appliances)));
            }
        }
    }

    /** Draws an appliance to replace; never one with the trial build, since rollouts drain the earlier build only. */
    private static int drawReplaced(Random random, int appliances) {
        int appliance = random.nextInt(appliances);
        return isOfTrialBuild(appliance) ? Math.max(1, appliance - 1) : appliance;
    }

    static boolean isOfTrialBuild(int appliance) {
        return appliance % TRIAL_ONE_IN == 0;
    }

    SoakPlan withFaults(List<PlannedFault> remaining) {
        return new SoakPlan(seed, agents, appliances, loadMs, load, List.copyOf(remaining), floods);
    }
}
