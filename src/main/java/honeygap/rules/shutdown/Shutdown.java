package honeygap.rules.shutdown;

import honeygap.fleet.Fleet;
import honeygap.fleet.Pick;
import honeygap.fleet.Rpc;
import honeygap.rules.work.WorkEstimate;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the work on RPCs in a process that is shutting down. Every accepted RPC must be answered before the process
 * ends. So all decisions use the earlier of the RPC's own deadline and the shutdown deadline.
 */
public final class Shutdown {

    private final Fleet fleet;
    private final Set<Pick> inFlight = new LinkedHashSet<>();
    private ShutdownSchedule schedule;

    public Shutdown(Fleet fleet) {
        this.fleet = fleet;
    }

    /** The process has been signalled to shut down; after a second signal the first schedule still holds. */
    public void begin(ShutdownSchedule newSchedule) {
        schedule = schedule == null ? newSchedule : schedule;
    }

    public ShutdownPhase phase() {
        return schedule == null ? ShutdownPhase.SERVING : schedule.phase(fleet.now);
    }

    /** Time by which the RPC must have its final answer. */
    public long deadline(Rpc rpc) {
        return schedule == null ? rpc.deadline : Math.min(rpc.deadline, schedule.answersBy());
    }

    /**
     * Whether an RPC that has not been sent is refused at once because a typical answer would come too late, so that
     * its client still has time to use another agent. Before the first answer of a method, its soft deadline is
     * assumed.
     */
    public boolean refuses(Rpc rpc) {
        if (schedule == null || rpc.attemptCount() > 0) {
            return false;
        }
        double softTimeLeft = Math.min(rpc.receivedAt + rpc.method.softDeadline, rpc.deadline) - fleet.now;
        double timeNeeded = rpc.method.meanLatency > 0 ? WorkEstimate.SLOW_RATIO * WorkEstimate.expectedLatency(rpc)
                : softTimeLeft;
        return schedule.answersBy() - fleet.now < Math.min(softTimeLeft, timeNeeded) || phase() == ShutdownPhase.ENDED;
    }

    public void pickDecided(Pick pick) {
        inFlight.add(pick);
    }

    public void pickEnded(Pick pick) {
        inFlight.remove(pick);
    }

    /** Removes and returns a pick to cancel because its RPC must be answered now; null if there is none. */
    public Pick takeOverdue() {
        if (phase() != ShutdownPhase.ENDED || inFlight.isEmpty()) {
            return null;
        }
        Pick first = inFlight.iterator().next();
        inFlight.remove(first);
        return first;
    }

    /** When picks in flight have to be cancelled. */
    public long nextWakeAt() {
        return schedule == null || inFlight.isEmpty() ? Long.MAX_VALUE : schedule.answersBy();
    }
}
