package honeygap.fleet;

/** A zone of appliances, and what this agent has observed of the network path to it. */
public final class Zone {

    /** Mean ratio of the latency of its answers to the expected latency; 1 is normal. */
    public double latencyRatio = 1;
    /** Picks of this agent in flight there, and the limit that its servers have set until a given time. */
    public int inFlight;
    public int maxInFlight;
    public long limitedUntil = Long.MIN_VALUE / 2;
    /** When a connection there was last reset during a pick. */
    public long lastResetAt = Long.MIN_VALUE / 2;
    /** When the last pick was sent there. */
    public long lastPickAt = Long.MIN_VALUE / 2;
}
