package honeygap.net;

/** Limits the log lines for an event that may occur in bursts to one per second; the caller counts all of them. */
public final class OncePerSecond {

    private static final long TENTHS_PER_SECOND = 10_000;

    private final Loop loop;
    private long nextAt = Long.MIN_VALUE;

    public OncePerSecond(Loop loop) {
        this.loop = loop;
    }

    /** Whether this event may be logged; if so, the next one is allowed a second later. */
    public boolean isDue() {
        boolean due = loop.now() >= nextAt;
        nextAt = due ? loop.now() + TENTHS_PER_SECOND : nextAt;
        return due;
    }
}
