package honeygap.net;

import java.util.LinkedHashMap;
import java.util.Map;

/** Named counters in groups, for readable log lines as well as for JSON. */
public final class Counters {

    /** A component that reports counters. */
    public interface Group {

        /** Adds the current values to the counters. */
        void report(Counters counters);
    }

    private final Map<String, Map<String, Long>> groups = new LinkedHashMap<>();
    private Map<String, Long> currentGroup = Map.of();

    /** Begins or continues the group with this name and adds the counters of the source. Names are in lower case. */
    public Counters group(String name, Group source) {
        currentGroup = groups.computeIfAbsent(name, n -> new LinkedHashMap<>());
        source.report(this);
        return this;
    }

    /** Sets a counter of the current group. */
    public void count(String name, long value) {
        currentGroup.put(name, value);
    }

    /** Values by group and name, in insertion order. */
    public Map<String, Map<String, Long>> groups() {
        return groups;
    }

    /** Each group as name[counter value, ...]; counters that are zero are left out. */
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
