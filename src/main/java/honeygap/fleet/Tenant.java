package honeygap.fleet;

/** A customer, and the share of its picks at earlier builds that lately ended in an error. */
public final class Tenant {

    public double failureShare;
}
