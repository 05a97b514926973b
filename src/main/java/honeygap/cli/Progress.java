package honeygap.cli;

import java.util.function.Supplier;

/** One line on a terminal that says how far a command is; nothing at all in a pipe. */
final class Progress {

    private static final long EVERY = 200_000_000;

    private final boolean isShown = System.console() != null;
    private long told = System.nanoTime();
    private boolean hasTold;
    private int calls;

    /** The words are made only when they are shown. */
    void tell(Supplier<String> words) {
        if (!isShown || (++calls & 255) != 0 || System.nanoTime() - told < EVERY) {
            return;
        }
        now(words.get());
    }

    void now(String words) {
        if (isShown) {
            told = System.nanoTime();
            hasTold = true;
            System.err.print("\r" + words + "\033[K");
            System.err.flush();
        }
    }

    void end() {
        if (hasTold) {
            System.err.print("\r\033[K");
            System.err.flush();
            hasTold = false;
        }
    }
}
