package honeygap.replication.exchange;

import honeygap.replication.table.DigestEntry;
import honeygap.replication.table.Delta;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A message between two processes. It has one section per table: the sender's digest and deltas for the receiver.
 *
 * @param from name of the sending process
 * @param version message format version of the sender
 */
public record Message(String from, int version, Map<String, TableSection> sections) {

    /** Message format version of this build. */
    public static final int VERSION = 1;

    /** One table's digest and deltas; either list may be empty. */
    public record TableSection(List<DigestEntry> digest, List<Delta> deltas) { }

    public static Message of(String from) {
        return new Message(from, VERSION, new LinkedHashMap<>());
    }

    public boolean hasNewerVersion() {
        return version > VERSION;
    }
}
