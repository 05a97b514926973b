package honeygap.share.table;

import java.util.concurrent.atomic.AtomicLong;

/** This process's name, and the generation by which its present life goes before all earlier ones. */
public final class ProcessIdentity {

    private final String name;
    private final AtomicLong generation;

    public ProcessIdentity(String name, long generation) {
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
    public void raiseGenerationAbove(long otherGeneration) {
        generation.accumulateAndGet(otherGeneration + 1, Math::max);
    }
}
