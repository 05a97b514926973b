package honeygap;

import honeygap.fleet.Appliance;
import honeygap.fleet.Build;
import honeygap.fleet.Rpc;

/**
 * The way decisions go out. {@link Rules#next} makes at most one of these calls each time it is pulled.
 * Durations are in tenths of a millisecond.
 */
public interface Ctl {

    /** Sends a pick of the RPC to the appliance; it times out after {@code within}. */
    void pick(Rpc rpc, Appliance appliance, long timeout);

    /** Final answer: pushed back; asking again is harmless, best not before {@code stayAway} has passed. */
    void pushBack(Rpc rpc, long retryAfter);

    /** Final answer: aborted; nothing is promised about its effect. */
    void abort(Rpc rpc);

    /** Stops waiting for one pick. */
    void cancel(Rpc rpc, int pickIndex);

    void probe(Appliance appliance);

    /** Casts this agent's one vote: one of the {@code Build.VOTE_} verdicts. */
    void vote(Build build, int stage, int verdict);

    /** Asks the appliance list for all changes from now on. */
    void watch();

    /** Asks the appliance list for the whole list, once. */
    void fetch();

    /** Wants to be woken after this delay. */
    void wake(long delay);

    /** A line for the report of on-call staff. */
    void note(String line);
}
