package honeygap.share.work;

/** Kinds of work beside the loop, the most pressing first. */
public enum WorkKind { PROBE, EXCHANGE, EXPIRE, STORE }
