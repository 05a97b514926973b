package honeygap.share.lock;

/**
 * The order of locks: a thread that holds one may take only such as stand below it here. One lock a table, one for
 * each of the other things that workers share. docs/sites.md says why each stands where it does.
 */
public enum Rank {

    /** The table of members, and what this process makes of each of them. */
    MEMBERS,
    /** The table of load at appliances. */
    LOAD,
    /** Further tables, in the order of their coming. */
    OTHER_TABLES,
    /** Who was spoken with, and when. */
    PARTNERS,
    /** Work that waits for a worker: innermost, since work may be offered under any of the others. */
    QUEUE
}
