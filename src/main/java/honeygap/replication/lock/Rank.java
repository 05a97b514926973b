package honeygap.replication.lock;

/**
 * Lock order: a thread that holds a lock may acquire only locks that are listed after it. Each table has a lock, and
 * so has every other object that workers share. docs/sites.md gives the reason for each position.
 */
public enum Rank {

    /** Guards the members and suspects tables and the failure detector. */
    MEMBERS,
    /** Guards the table of load per appliance. */
    LOAD,
    /** For further tables, in the order in which they are added. */
    OTHER_TABLES,
    /** Guards the selection of exchange partners. */
    PARTNERS,
    /** Guards the work queue. Innermost, because work may be submitted while any other lock is held. */
    QUEUE
}
