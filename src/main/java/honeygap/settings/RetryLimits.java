package honeygap.settings;

/**
 * Limits on retries.
 *
 * @param maxPicks maximum number of picks of an RPC
 * @param retryAfterHonored whether clients honor a retry-after
 * @param maxRetryAfter longest retry-after that they honor, in tenths of a millisecond
 */
public record RetryLimits(int maxPicks, boolean retryAfterHonored, long maxRetryAfter) { }
