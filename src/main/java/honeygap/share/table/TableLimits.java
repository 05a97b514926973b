package honeygap.share.table;

/**
 * What a table may hold, whatever others send.
 *
 * @param owners at most so many owners
 * @param names entries of one owner at most, those taken back included
 * @param text characters of an entry's name or an owner's
 * @param value characters of a value
 * @param ttl the longest time that an entry may hold, in tenths of a millisecond
 */
public record TableLimits(int maxOwners, int maxEntriesPerOwner, int maxNameLength, int maxValueLength, long maxTtl) { }
