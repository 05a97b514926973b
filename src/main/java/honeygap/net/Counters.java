package honeygap.net;

import java.util.LinkedHashMap;
import java.util.Map;

/** Counters in groups with names: the same for a line that people read and for one that programs do. */
public final class Counters {

    /** Something that counts. */
    public interface Group {

        void report(Counters counters);
    }

    private final Map<String, Map<String, Long>> groups = new LinkedHashMap<>();
    private Map<String, Long> currentGroup = Map.of();

    /** Names are in small letters; a group named twice goes on. */
    public Counters group(String name, Group source) {
        currentGroup = groups.computeIfAbsent(name, n -> new LinkedHashMap<>());
        source.report(this);
        return this;
    }

    public void count(String name, long value) {
        currentGroup.put(name, value);
    }

    /** Values by group and name, in the order of their coming. */
    public Map<String, Map<String, Long>> groups() {
        return groups;
    }

    /** A group in square brackets; counters that stand at zero are left out. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        groups.forEach((name, counters) -> {
            text.append(text.length() > 0 ? " " : "").append(name).append('[');
            int groupStart = text.length();
            counters.forEach((counter, value) -> {
                if (value != 0) {
                    text.append(text.length() > groupStart ? ", " : "").append(counter).append(' ').append(value);
                }
            });
            text.append(']');
        });
        return text.toString();
    }
}
