package honeygap.fleet;

/** A tenant, and the share of its recent picks at earlier builds that ended in an error. */
public final class Tenant {

    public double failureShare;
}
