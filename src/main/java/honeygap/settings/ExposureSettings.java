package honeygap.settings;

/**
 * How much traffic a build on trial may receive.
 *
 * @param caps share of the traffic, by stage
 * @param stageShares share of the fleet that runs the build, by stage
 * @param window time over which picks are counted, in tenths of a millisecond
 * @param freeAllowance picks allowed on top of the cap
 * @param perMethod whether each method is counted on its own
 * @param idempotentOnlyStages number of stages, from the first, in which only idempotent methods reach the build
 * @param stickyKeys whether a key stays with the build once an RPC with it was sent there
 */
public record ExposureSettings(double[] caps, double[] stageShares, long window, double freeAllowance,
                               boolean perMethod, int idempotentOnlyStages, boolean stickyKeys) { }
