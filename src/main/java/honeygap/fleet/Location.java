package honeygap.fleet;

/** Where appliances stand, and how the way there and back has been for this agent. */
public final class Location {

    /** Time of the answers from there over what they should take; 1 is as usual. */
    public double latencyRatio = 1;
    /** Picks of this agent now out there, and how many may be until then, by what servers there have said. */
    public int out;
    public int most;
    public long limitedUntil = Long.MIN_VALUE / 2;
    /** When a connection there last broke under a pick. */
    public long lastResetAt = Long.MIN_VALUE / 2;
    /** When the last pick went there. */
    public long lastPickAt = Long.MIN_VALUE / 2;
}
