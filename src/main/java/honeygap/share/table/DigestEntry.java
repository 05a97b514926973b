package honeygap.share.table;

/** One line of a digest: up to which of an owner's counts, in which of its lives, a process has heard. */
public record DigestEntry(String owner, long generation, long highestSequence) { }
