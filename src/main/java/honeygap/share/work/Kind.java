package honeygap.share.work;

/** Kinds of work beside the loop, the most pressing first. */
public enum Kind { PROBE, EXCHANGE, EXPIRE, STORE }
