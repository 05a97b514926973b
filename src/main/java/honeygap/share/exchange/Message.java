package honeygap.share.exchange;

import honeygap.share.table.DigestEntry;
import honeygap.share.table.Delta;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What goes between two processes, a part a table: how far the sender has heard, and entries.
 *
 * @param from the sender
 * @param version of the form that the sender speaks
 */
public record Message(String from, int version, Map<String, TableSection> sections) {

    /** The version of the form spoken here. */
    public static final int VERSION = 1;

    /** Either may be empty. */
    public record TableSection(List<DigestEntry> digest, List<Delta> deltas) { }

    public static Message of(String from) {
        return new Message(from, VERSION, new LinkedHashMap<>());
    }

    public boolean hasNewerVersion() {
        return version > VERSION;
    }
}
