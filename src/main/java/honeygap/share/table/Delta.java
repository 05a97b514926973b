package honeygap.share.table;

import java.util.List;

/**
 * Entries of one owner on their way to another process, older counts first, with the age of each.
 *
 * @param from the count up to which the other had heard: to one that has not, this parcel says too little
 */
public record Delta(String owner, long generation, long afterSequence, List<AgedEntry> entries) {

    /** The age is the time since its writing, in tenths of a millisecond: clocks need not agree. */
    public record AgedEntry(Entry entry, long age) { }
}
