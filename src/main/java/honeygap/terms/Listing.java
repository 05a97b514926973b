package honeygap.terms;

/** The appliance list: whether it must be asked, and how long it may go unasked. */
public record Listing(boolean asked, long askWithin) { }
