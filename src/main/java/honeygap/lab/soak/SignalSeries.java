package honeygap.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** The signals between the first SIGTERM to a process and the SIGKILL, as a seed draws them. */
record SignalSeries(List<Step> steps) {

    /**
     * One signal.
     *
     * @param afterMs how long after the one before
     */
    record Step(String signal, long afterMs) { }

    private static final long LONGEST_GAP_MS = 1000;
    private static final int MOST_STEPS = 3;
    private static final int PLAIN_OF = 2;

    /** Half of all processes get nothing but SIGTERM; the others more of it, SIGHUP, or a stop and a continuation. */
    static SignalSeries drawn(Random random) {
        List<Step> steps = new ArrayList<>();
        int many = random.nextInt(PLAIN_OF) == 0 ? 0 : 1 + random.nextInt(MOST_STEPS);
        for (int i = 0; i < many; i++) {
            long gap = random.nextInt((int) LONGEST_GAP_MS + 1);
            switch (random.nextInt(3)) {
                case 0 -> steps.add(new Step("TERM", gap));
                case 1 -> steps.add(new Step("HUP", gap));
                default -> {
                    steps.add(new Step("STOP", gap));
                    steps.add(new Step("CONT", random.nextInt((int) LONGEST_GAP_MS + 1)));
                }
            }
        }
        return new SignalSeries(List.copyOf(steps));
    }
}
