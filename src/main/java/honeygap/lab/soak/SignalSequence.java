package honeygap.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** The signals between the first SIGTERM to a process and the SIGKILL, as a seed draws them. */
record SignalSequence(List<Step> steps) {

    /**
     * One signal.
     *
     * @param afterMs how long after the one before
     */
    record Step(String signal, long delayMs) { }

    private static final long MAX_GAP_MS = 1000;
    private static final int MAX_STEPS = 3;
    private static final int PLAIN_ONE_IN = 2;

    /** Half of all processes get nothing but SIGTERM; the others more of it, SIGHUP, or a stop and a continuation. */
    static SignalSequence generate(Random random) {
        List<Step> steps = new ArrayList<>();
        int count = random.nextInt(PLAIN_ONE_IN) == 0 ? 0 : 1 + random.nextInt(MAX_STEPS);
        for (int i = 0; i < count; i++) {
            long delayMs = random.nextInt((int) MAX_GAP_MS + 1);
            switch (random.nextInt(3)) {
                case 0 -> steps.add(new Step("TERM", delayMs));
                case 1 -> steps.add(new Step("HUP", delayMs));
                default -> {
                    steps.add(new Step("STOP", delayMs));
                    steps.add(new Step("CONT", random.nextInt((int) MAX_GAP_MS + 1)));
                }
            }
        }
        return new SignalSequence(List.copyOf(steps));
    }
}
