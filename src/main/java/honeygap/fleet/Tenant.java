package honeygap.fleet;

/** One tenant and its share of the service. */
public final class Tenant {

    public final double share;
    /** RPCs a second within its share, all agents together. */
    public final double quotaPerS;
    /** RPCs lately taken from it by this agent, fading. */
    public double recent;
    public long recentAt;

    public Tenant(double share, double quotaPerS) {
        this.share = share;
        this.quotaPerS = quotaPerS;
    }
}
