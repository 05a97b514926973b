package honeygap.replication.work;

/**
 * Limits and scheduling parameters of one kind of work. Times are in units of 0.1 ms.
 *
 * @param maxRunning maximum number of items that run at once
 * @param maxQueued maximum number of queued items
 * @param agingInterval waiting time that raises an item's priority by one kind
 * @param maxWait items that have waited for longer are discarded as stale
 */
public record WorkLimits(int maxRunning, int maxQueued, long agingInterval, long maxWait) { }
