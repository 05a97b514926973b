package honeygap.cli;

import java.util.function.Supplier;

/** One line on a terminal that says how far a command is; nothing at all in a pipe. */
final class Progress {

    private static final long UPDATE_INTERVAL_NS = 200_000_000;

    private final boolean isTerminal = System.console() != null;
    private long lastShownAt = System.nanoTime();
    private boolean isLineShown;
    private int calls;

    /** The words are made only when they are shown. */
    void update(Supplier<String> text) {
        if (!isTerminal || (++calls & 255) != 0 || System.nanoTime() - lastShownAt < UPDATE_INTERVAL_NS) {
            return;
        }
        show(text.get());
    }

    void show(String text) {
        if (isTerminal) {
            lastShownAt = System.nanoTime();
            isLineShown = true;
            System.err.print("\r" + text + "\033[K");
            System.err.flush();
        }
    }

    void clear() {
        if (isLineShown) {
            System.err.print("\r\033[K");
            System.err.flush();
            isLineShown = false;
        }
    }
}
