package honeygap.terms;

/** The appliance list: whether the module must open a watch on it, and for how long it may go without one. */
public record Listing(boolean watched, long askWithin) { }
