package honeygap.replication.table;

/**
 * Limits of a table, whatever other processes send.
 *
 * @param maxOwners maximum number of owners
 * @param maxEntriesPerOwner maximum number of entries of one owner, tombstones included
 * @param maxNameLength maximum number of characters of an entry's or owner's name
 * @param maxValueLength maximum number of characters of a value
 * @param maxTtl maximum TTL of an entry, in units of 0.1 ms
 */
public record TableLimits(int maxOwners, int maxEntriesPerOwner, int maxNameLength, int maxValueLength, long maxTtl) { }
