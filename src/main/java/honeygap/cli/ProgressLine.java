package honeygap.cli;

import java.util.function.Supplier;

/** A progress line on the terminal; prints nothing if the program is not attached to a terminal. */
final class ProgressLine {

    private static final long UPDATE_INTERVAL_NS = 200_000_000;

    private final boolean isTerminal = System.console() != null;
    private long lastShownAt = System.nanoTime();
    private boolean isLineShown;
    private int calls;

    /** Shows progress at most once per interval; the text is computed only if it is shown. */
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
