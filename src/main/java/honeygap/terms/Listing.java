package honeygap.terms;

/**
 * The list of appliances.
 *
 * @param watched whether the module must call discovery for it
 * @param pushed whether its changes count as told without a call; discovery has no queue of calls then
 * @param askWithin for how long it may go without a call, in tenths of a millisecond
 * @param lease for how long it may be relied on after discovery confirmed it, in tenths of a millisecond; 0 for ever
 */
public record Listing(boolean watched, boolean pushed, long askWithin, long lease) { }
