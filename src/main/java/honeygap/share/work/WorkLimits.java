package honeygap.share.work;

/**
 * What one kind of work may take.
 *
 * @param running pieces at once
 * @param waiting pieces that may wait
 * @param ages a piece that has waited for so long goes before the next more pressing kind's newest, in tenths of a
 *        millisecond
 * @param stale what has waited for so long is of no use any more
 */
public record WorkLimits(int maxRunning, int maxQueued, long agingInterval, long maxWait) { }
