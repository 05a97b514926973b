package honeygap.replication.work;

/** Kinds of background work, highest priority first. */
public enum WorkKind { PROBE, EXCHANGE, EXPIRE, STORE }
