package honeygap.terms;

/** Picks of one RPC at most, and whether and how long clients heed being told to stay away. */
public record Tries(int maxPicks, boolean retryAfterHonored, long maxRetryAfter) { }
