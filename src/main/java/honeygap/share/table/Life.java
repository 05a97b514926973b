package honeygap.share.table;

import java.util.concurrent.atomic.AtomicLong;

/** This process's name, and the generation by which its present life goes before all earlier ones. */
public final class Life {

    private final String name;
    private final AtomicLong generation;

    public Life(String name, long generation) {
        this.name = name;
        this.generation = new AtomicLong(generation);
    }

    public String name() {
        return name;
    }

    public long generation() {
        return generation.get();
    }

    /** From any thread: what this process says from now on goes before what goes under that generation. */
    public void raiseAbove(long other) {
        generation.accumulateAndGet(other + 1, Math::max);
    }
}
