package honeygap.replication.table;

import java.util.List;

/**
 * Entries of one owner for another process, in ascending order of sequence numbers, each with its age.
 *
 * @param afterSequence the sequence number up to which the receiver was up to date; a receiver that is further behind
 *         cannot use this delta
 */
public record Delta(String owner, long generation, long afterSequence, List<AgedEntry> entries) {

    /** An entry and the time since it was written, in units of 0.1 ms. Ages are sent because clocks may differ. */
    public record AgedEntry(Entry entry, long age) { }
}
