package honeygap.terms;

/**
 * How much traffic a build on trial may receive.
 *
 * @param caps share of the traffic, by stage
 * @param waves share of the fleet that runs the build, by stage
 * @param window time over which picks are counted, in tenths of a millisecond
 * @param uncounted picks allowed on top of the cap
 * @param perMethod whether each method is counted on its own
 * @param shielded number of stages, from the first, in which only idempotent methods reach the build
 * @param keysStay whether a key stays with the build once an RPC with it was sent there
 */
public record Exposure(double[] caps, double[] waves, long window, double uncounted, boolean perMethod,
                       int shielded, boolean keysStay) { }
