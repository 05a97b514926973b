package honeygap.manage;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What an agent knows of the commands that it was given: decides whether one is carried out, was carried out before, or
 * comes too late. A command is known by its id, ordered by its number, and meant for one generation of the agent. It
 * has no I/O: the host makes what {@link #applied} says durable before it answers, and brings it back by
 * {@link #restored}. Bounded: the oldest is forgotten, and what is older than all that are remembered is turned down.
 */
public final class Ledger {

    /** What becomes of a command. */
    public enum Answer {
        /** Carry it out. */
        APPLY,
        /** It was: here is what came of it. */
        ALREADY,
        /** A newer one has been carried out, or it was called off, or it is older than all that is remembered. */
        TOO_LATE,
        /** It is meant for another process under this name. */
        OTHER_GENERATION
    }

    /** A command that was carried out, or called off before it came. */
    public record Entry(String id, long number, String action, String outcome) { }

    private final int capacity;
    private final long generation;
    private final LinkedHashMap<String, Entry> entries = new LinkedHashMap<>();
    /** The newest number that was carried out, and the newest that has been forgotten. */
    private long newestApplied;
    private long newestEvicted;

    /** Remembers so many commands; the generation is this process's. */
    public Ledger(int capacity, long generation) {
        this.capacity = Math.max(1, capacity);
        this.generation = generation;
    }

    public long generation() {
        return generation;
    }

    public long newestApplied() {
        return newestApplied;
    }

    /** An entry from before the process started, in the order in which they were made. */
    public void restored(Entry entry) {
        add(entry);
    }

    /** Whether a command is to be carried out; a generation of 0 means any. */
    public Answer asked(String id, long number, long forGeneration) {
        Entry entry = entries.get(id);
        if (entry != null) {
            return entry.outcome.equals(CALLED_OFF) ? Answer.TOO_LATE : Answer.ALREADY;
        }
        if (forGeneration != 0 && forGeneration != generation) {
            return Answer.OTHER_GENERATION;
        }
        return number <= newestApplied || number <= newestEvicted ? Answer.TOO_LATE : Answer.APPLY;
    }

    /** The outcome of one that was called off. */
    public static final String CALLED_OFF = "called off";

    /** A command has been carried out. */
    public Entry applied(String id, long number, String action, String outcome) {
        Entry entry = new Entry(id, number, action, outcome);
        add(entry);
        return entry;
    }

    /** Fences a command that may still be on its way: it will not be carried out. What became of it if it was. */
    public Entry calledOff(String id, long number) {
        Entry entry = entries.get(id);
        return entry != null ? entry : applied(id, number, "", CALLED_OFF);
    }

    private void add(Entry entry) {
        entries.put(entry.id, entry);
        if (!entry.outcome.equals(CALLED_OFF)) {
            newestApplied = Math.max(newestApplied, entry.number);
        }
        while (entries.size() > capacity) {
            Map.Entry<String, Entry> eldest = entries.entrySet().iterator().next();
            newestEvicted = Math.max(newestEvicted, eldest.getValue().number);
            entries.remove(eldest.getKey());
        }
    }

    /** What became of a command; null where it is not remembered. */
    public Entry entry(String id) {
        return entries.get(id);
    }

    public Collection<Entry> entries() {
        return entries.values();
    }
}
