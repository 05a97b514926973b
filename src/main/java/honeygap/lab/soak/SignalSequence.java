package honeygap.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Signals sent to a process between the first SIGTERM and the SIGKILL. */
record SignalSequence(List<Step> steps) {

    /**
     * A signal of the sequence.
     *
     * @param delayMs delay in milliseconds after the previous signal
     */
    record Step(String signal, long delayMs) { }

    private static final long MAX_GAP_MS = 1000;
    private static final int MAX_STEPS = 3;
    /** One process in this many gets no signal between SIGTERM and SIGKILL. */
    private static final int PLAIN_ONE_IN = 2;

    /**
     * Half of all processes get no further signal; the others get more SIGTERM, SIGHUP, or SIGSTOP followed by
     * SIGCONT.
     */
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
