package honeygap;

import honeygap.fleet.Appliance;
import honeygap.fleet.Build;
import honeygap.fleet.Rpc;

/**
 * Carries out decisions. Each call of {@link DecisionEngine#nextDecision} makes at most one of these calls.
 * Durations are in tenths of a millisecond.
 */
public interface DecisionHandler {

    /**
     * Sends the last pick of the RPC to the appliance; it times out after {@code timeout}. The host calls
     * {@link DecisionEngine#beginSending} just before it writes the request, now or later, writes it only if that
     * returns true, and reports {@link DecisionEngine#pickWritten} when its last byte is written.
     */
    void sendPick(Rpc rpc, Appliance appliance, long timeout);

    /** Final answer: pushed back. A retry is safe; the client should wait for {@code retryAfter} first. */
    void pushBack(Rpc rpc, long retryAfter);

    /** Final answer: aborted. The RPC may or may not have taken effect. */
    void abort(Rpc rpc);

    /** Cancels the pick of the RPC with this index. */
    void cancelPick(Rpc rpc, int pickIndex);

    /** Checks whether the appliance is reachable. */
    void probe(Appliance appliance);

    /** Casts this agent's vote on a stage of the build: one of the {@code Build.VOTE_} constants. */
    void castVote(Build build, int stage, int verdict);

    /** Starts a watch on the appliance list: all changes from now on. */
    void watchList();

    /** Fetches the whole appliance list once. */
    void fetchList();

    /** Requests a wake-up after this delay. */
    void wakeAfter(long delay);

    /** Writes a line to the log for operators. */
    void logNote(String line);
}
