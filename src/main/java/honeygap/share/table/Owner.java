package honeygap.share.table;

import java.util.LinkedHashMap;
import java.util.Map;

/** All that is held of one owner in a table, in its present life. */
public final class Owner {

    public final String name;
    public long generation;
    /** The highest of its counts that has come here: all up to it was seen, or has been written anew since. */
    public long highest;
    /** When anything new of it came last. */
    public long heardAt;
    /** By name, older counts first. */
    final Map<String, Held> entries = new LinkedHashMap<>();

    Owner(String name) {
        this.name = name;
    }

    void put(Held held) {
        entries.remove(held.entry().name());    // Or it would keep the place of its older count.
        entries.put(held.entry().name(), held);
    }
}
