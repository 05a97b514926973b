package honeygap.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A discovery service that answers calls one after another. A call costs a fixed time; one that would wait longer than
 * the longest wait fails then, and still costs its time, since the service learns only at its turn that nobody waits;
 * one that finds the queue full fails at once. A call that is answered becomes a watch, to which each change costs
 * the same time. During an outage watches end, and calls fail after the longest wait. Times are tenths of a millisecond.
 */
public final class DiscoveryModel {

    /** Times the longest wait that the queue may hold. */
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

    /** Calls made, and how many of them failed. */
    public long calls() {
        return calls;
    }

    public long failures() {
        return failures;
    }

    /** A call: the caller hears true when it is answered, and false when it fails or, later, its watch ends. */
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

    /** The watch of a caller that has died; nothing is told to it any more. */
    public void cancelWatch(Consumer<Boolean> caller) {
        watches.remove(caller);
    }

    /** A change of the list, written to every watch; one that comes before the last one's turn is written with it. */
    public void publishChange() {
        if (clock.now() >= nextChangeWriteAt) {
            nextChangeWriteAt = Math.max(clock.now(), busyUntil);
            busyUntil = nextChangeWriteAt + callCost * watches.size();
        }
    }

    /** Goes down, which ends all watches, or comes back with an empty queue. */
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
