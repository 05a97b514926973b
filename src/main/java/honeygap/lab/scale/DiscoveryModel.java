package honeygap.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Model of a discovery service that processes calls sequentially. Each call costs a fixed time. A call that would wait
 * longer than the longest wait fails after that wait but still costs its time, since the service notices only when it
 * dequeues the call that the caller has given up. A call that finds the queue full fails at once. An answered call
 * becomes a watch, and writing a change to a watch costs the same time as a call. During an outage watches end, and
 * calls fail after the longest wait. Times are tenths of a millisecond.
 */
public final class DiscoveryModel {

    /** Limit of the queue, as a multiple of the longest wait. */
    private static final double QUEUE_LIMIT = 2.5;

    private final VirtualClock clock;
    private final long callCost;
    private final long longestWait;
    private final List<Consumer<Boolean>> watches = new ArrayList<>();
    private long busyUntil;
    private long nextChangeWriteAt;
    private boolean isDown;
    private long calls;
    private long failures;

    public DiscoveryModel(VirtualClock clock, long callCost, long longestWait) {
        this.clock = clock;
        this.callCost = callCost;
        this.longestWait = longestWait;
    }

    /** Number of calls made. */
    public long calls() {
        return calls;
    }

    /** Number of calls that failed. */
    public long failures() {
        return failures;
    }

    /**
     * Makes a call: the caller receives true when it is answered, and false when it fails or, later, its watch ends.
     */
    public void call(Consumer<Boolean> caller) {
        calls++;
        long now = clock.now();
        if (isDown) {
            failLater(caller, longestWait);
        } else if (busyUntil - now > QUEUE_LIMIT * longestWait) {
            failLater(caller, 0);
        } else {
            busyUntil = Math.max(now, busyUntil) + callCost;
            if (busyUntil - now > longestWait) {
                failLater(caller, longestWait);
            } else {
                clock.schedule(busyUntil, () -> answer(caller));
            }
        }
    }

    private void failLater(Consumer<Boolean> caller, long delay) {
        failures++;
        clock.schedule(clock.now() + delay, () -> caller.accept(false));
    }

    private void answer(Consumer<Boolean> caller) {
        if (isDown) {
            caller.accept(false);
        } else {
            watches.add(caller);
            caller.accept(true);
        }
    }

    /** Cancels the watch of a caller whose process has ended; the caller is not notified any more. */
    public void cancelWatch(Consumer<Boolean> caller) {
        watches.remove(caller);
    }

    /**
     * Publishes a change of the list to every watch; changes made while an earlier one is still queued are merged into
     * it.
     */
    public void publishChange() {
        if (clock.now() >= nextChangeWriteAt) {
            nextChangeWriteAt = Math.max(clock.now(), busyUntil);
            busyUntil = nextChangeWriteAt + callCost * watches.size();
        }
    }

    /** Starts an outage, which ends all watches, or ends it with an empty queue. */
    public void setDown(boolean isDown) {
        this.isDown = isDown;
        busyUntil = clock.now();
        if (isDown) {
            List<Consumer<Boolean>> endedWatches = List.copyOf(watches);
            watches.clear();
            endedWatches.forEach(caller -> caller.accept(false));
        }
    }
}
