package honeygap.rules.shutdown;

import honeygap.fleet.Fleet;
import honeygap.fleet.Pick;
import honeygap.fleet.Rpc;
import honeygap.rules.work.WorkEstimate;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * How long is an RPC worked on in a process that has been told to end? What was taken on is owed its answer, and nobody is there to
 * give it after the end: so an RPC's deadline is the earlier of its own and the shutdown deadline, for all that is decided about it.
 */
public final class Shutdown {

    private final Fleet fleet;
    private final Set<Pick> inFlight = new LinkedHashSet<>();
    private ShutdownSchedule schedule;

    public Shutdown(Fleet fleet) {
        this.fleet = fleet;
    }

    /** The process has been told to end; told again, the first schedule holds. */
    public void begin(ShutdownSchedule newSchedule) {
        schedule = schedule == null ? newSchedule : schedule;
    }

    public ShutdownPhase phase() {
        return schedule == null ? ShutdownPhase.SERVING : schedule.phase(fleet.now);
    }

    /** By when the RPC must have its final answer. */
    public long deadline(Rpc rpc) {
        return schedule == null ? rpc.deadline : Math.min(rpc.deadline, schedule.answersBy());
    }

    /**
     * Whether an RPC that has not been sent is refused at once, so that its client goes elsewhere with time left: an answer of the
     * usual kind would come too late. Without an answer to go by, one at the soft deadline.
     */
    public boolean refuses(Rpc rpc) {
        if (schedule == null || !rpc.picks.isEmpty()) {
            return false;
        }
        double softTimeLeft = Math.min(rpc.receivedAt + rpc.method.softDeadline, rpc.deadline) - fleet.now;
        double timeNeeded = rpc.method.meanLatency > 0 ? WorkEstimate.SLOW_RATIO * WorkEstimate.expectedLatency(rpc) : softTimeLeft;
        return schedule.answersBy() - fleet.now < Math.min(softTimeLeft, timeNeeded) || phase() == ShutdownPhase.ENDED;
    }

    public void pickSent(Pick pick) {
        inFlight.add(pick);
    }

    public void pickEnded(Pick pick) {
        inFlight.remove(pick);
    }

    /** A pick to stop waiting for, since its RPC must be answered now; null where there is none. */
    public Pick takeOverdue() {
        if (phase() != ShutdownPhase.ENDED || inFlight.isEmpty()) {
            return null;
        }
        Pick first = inFlight.iterator().next();
        inFlight.remove(first);
        return first;
    }

    /** When picks have to be given up at the latest. */
    public long nextWakeAt() {
        return schedule == null || inFlight.isEmpty() ? Long.MAX_VALUE : schedule.answersBy();
    }
}
