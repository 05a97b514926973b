package honeygap.lab.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * All that a seed decides of a run.
 *
 * @param loadMs for how long clients send
 */
record SoakPlan(long seed, int agents, int appliances, long loadMs, SoakLoad load, List<PlannedFault> faults) {

    private static final int FAULTS_A_MINUTE = 60;
    private static final int APPLIANCES_AT_LEAST = 12;
    private static final long LONGEST_FAULT_MS = 4000;
    private static final int TRIAL_EVERY = 5;
    private static final long OUTAGE_MS = 8000;
    private static final long SHORTEST_STOP_MS = 150;
    private static final int ROLL_STEPS = 10;
    private static final long ROLL_FROM_MS = 1500;
    private static final long ROLL_BEFORE_END_MS = 5000;
    private static final long HANGS_FOR_MS = 5000;

    static SoakPlan drawn(long seed, int agents, long loadMs) {
        Random random = new Random(seed);
        int appliances = Math.max(APPLIANCES_AT_LEAST, agents);
        List<PlannedFault> faults = new ArrayList<>();
        int many = (int) Math.max(4, FAULTS_A_MINUTE * loadMs / 60_000);
        FaultKind[] kinds = FaultKind.values();
        for (int i = 0; i < many; i++) {
            FaultKind kind = kinds[random.nextInt(kinds.length)];
            long lasts = kind == FaultKind.AGENT_STOPPED ? SHORTEST_STOP_MS + random.nextInt(1000)
                    : 500 + random.nextInt((int) LONGEST_FAULT_MS);
            int target = kind == FaultKind.APPLIANCE_REPLACED ? replaced(random, appliances)
                    : random.nextInt(kind.name().startsWith("AGENT") ? agents : appliances);
            faults.add(new PlannedFault(kind, 1000 + random.nextInt((int) Math.max(1, loadMs - 3000)),
                    kind.lasts ? lasts : 0, target));
        }
        // In each run, since it is what lists are leased for: agents are killed after an outage while appliances are replaced.
        long down = 1000 + random.nextInt((int) Math.max(1, loadMs / 4));
        faults.add(new PlannedFault(FaultKind.DISCOVERY_DOWN, down, OUTAGE_MS, 0));
        for (int i = 0; i < appliances / 3; i++) {
            faults.add(new PlannedFault(FaultKind.APPLIANCE_REPLACED, down + 2000 + random.nextInt(8000), 0,
                    replaced(random, appliances)));
        }
        for (int i = 0; i < agents / 2; i++) {
            faults.add(new PlannedFault(FaultKind.AGENT_KILLED, down + OUTAGE_MS + random.nextInt(2000), 0,
                    random.nextInt(agents)));
        }
        roll(random, agents, appliances, loadMs, faults);
        faults.sort(Comparator.comparingLong(PlannedFault::atMs));
        return new SoakPlan(seed, agents, appliances, loadMs, SoakLoad.drawn(seed, agents), List.copyOf(faults));
    }

    /** Each agent is told to end once, a tenth of the fleet at a time, while an appliance hangs. */
    private static void roll(Random random, int agents, int appliances, long loadMs, List<PlannedFault> faults) {
        int atOnce = (agents + ROLL_STEPS - 1) / ROLL_STEPS;
        long last = Math.max(ROLL_FROM_MS, loadMs - ROLL_BEFORE_END_MS);
        for (int i = 0; i < agents; i++) {
            long at = ROLL_FROM_MS + (last - ROLL_FROM_MS) * (i / atOnce) / ROLL_STEPS;
            faults.add(new PlannedFault(FaultKind.AGENT_TERMINATED, at, 0, i));
            if (i % atOnce == 0) {
                faults.add(new PlannedFault(FaultKind.APPLIANCE_HANGS, at, HANGS_FOR_MS, random.nextInt(appliances)));
            }
        }
    }

    /** Drains follow from rollouts: one of the earlier build, never of the newest. */
    private static int replaced(Random random, int appliances) {
        int drawn = random.nextInt(appliances);
        return isOfTrialBuild(drawn) ? Math.max(1, drawn - 1) : drawn;
    }

    static boolean isOfTrialBuild(int appliance) {
        return appliance % TRIAL_EVERY == 0;
    }

    SoakPlan with(List<PlannedFault> fewer) {
        return new SoakPlan(seed, agents, appliances, loadMs, load, List.copyOf(fewer));
    }
}
