package honeygap.terms;

/** Exposure: cap and share of the fleet by stage, and how picks are counted. */
public record Exposure(double[] caps, double[] waves, long window, double uncounted, boolean perMethod,
                       int shielded, boolean keysStay) { }
