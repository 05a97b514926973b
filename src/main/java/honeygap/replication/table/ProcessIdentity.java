package honeygap.replication.table;

import java.util.concurrent.atomic.AtomicLong;

/** Name and generation of this process; the generation is higher than those of earlier processes of the same name. */
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

    /** Raises the generation above the other one, so that this process's entries take precedence. Thread-safe. */
    public void raiseGenerationAbove(long otherGeneration) {
        generation.accumulateAndGet(otherGeneration + 1, Math::max);
    }
}
