package honeygap.replication.table;

/** The state of one owner in a digest: its generation and the highest sequence number received of it. */
public record DigestEntry(String owner, long generation, long highestSequence) { }
