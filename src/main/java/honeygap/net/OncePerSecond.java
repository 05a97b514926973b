package honeygap.net;

/** Lets one line a second into the log of a kind of event that may come in floods; what is left out is only counted. */
public final class OncePerSecond {

    private static final long TENTHS_PER_SECOND = 10_000;

    private final Loop loop;
    private long nextAt = Long.MIN_VALUE;

    public OncePerSecond(Loop loop) {
        this.loop = loop;
    }

    /** Whether this event may be logged; the next one that may comes a second later. */
    public boolean isDue() {
        boolean due = loop.now() >= nextAt;
        nextAt = due ? loop.now() + TENTHS_PER_SECOND : nextAt;
        return due;
    }
}
