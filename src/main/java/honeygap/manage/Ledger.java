package honeygap.manage;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The commands that an agent has executed or refused in advance. Decides whether a command is executed, was executed
 * before, or comes too late. A command is identified by its id, ordered by its number, and addressed to one
 * generation of the agent. The class does no I/O: the host makes the entries of {@link #recordApplied} durable before
 * it answers, and reloads them with {@link #restore}. Memory is bounded: the oldest entry is evicted first, and
 * commands that are not newer than the evicted ones are refused.
 */
public final class Ledger {

    /** The decision on a command. */
    public enum Answer {
        /** Execute the command. */
        APPLY,
        /** It was executed before; its outcome is known. */
        ALREADY,
        /** A newer command was executed, this one was called off, or it is older than an evicted one. */
        TOO_LATE,
        /** It is addressed to another process of the same name. */
        OTHER_GENERATION
    }

    /** A command that was executed, or called off before it arrived. */
    public record Entry(String id, long number, String action, String outcome) { }

    private final int capacity;
    private final long generation;
    private final LinkedHashMap<String, Entry> entries = new LinkedHashMap<>();
    /** The highest number that was executed, and the highest that was evicted. */
    private long newestApplied;
    private long newestEvicted;

    /** Holds up to capacity commands; the generation is that of this process. */
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

    /** Restores an entry of an earlier process; call in the order in which the entries were made. */
    public void restore(Entry entry) {
        add(entry);
    }

    /** Decides whether a command is to be executed; a generation of 0 matches any. */
    public Answer decide(String id, long number, long forGeneration) {
        Entry entry = entries.get(id);
        if (entry != null) {
            return entry.outcome.equals(CALLED_OFF) ? Answer.TOO_LATE : Answer.ALREADY;
        }
        if (forGeneration != 0 && forGeneration != generation) {
            return Answer.OTHER_GENERATION;
        }
        return number <= newestApplied || number <= newestEvicted ? Answer.TOO_LATE : Answer.APPLY;
    }

    /** The outcome of a command that was called off. */
    public static final String CALLED_OFF = "called off";

    /** Records that a command was executed. */
    public Entry recordApplied(String id, long number, String action, String outcome) {
        Entry entry = new Entry(id, number, action, outcome);
        add(entry);
        return entry;
    }

    /**
     * Fences off a command that may still arrive, so that it will not be executed. If it already was, returns its
     * entry.
     */
    public Entry callOff(String id, long number) {
        Entry entry = entries.get(id);
        return entry != null ? entry : recordApplied(id, number, "", CALLED_OFF);
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

    /** Returns a command's entry, or null if there is none. */
    public Entry entry(String id) {
        return entries.get(id);
    }

    public Collection<Entry> entries() {
        return entries.values();
    }
}
