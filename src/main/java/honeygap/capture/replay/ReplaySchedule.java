package honeygap.capture.replay;

import honeygap.capture.message.RecordedRpc;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Decides when each recorded RPC is replayed, and on which connection. It does no I/O and is driven like the decision
 * module: inputs update its state, and {@link #next} emits actions until none is left. The load is open-loop: an RPC
 * is due at its recorded time, whether or not earlier ones have completed. Only RPCs of one connection wait for each
 * other, as they did in the recording. Lateness is measured against the recorded schedule. Times are in nanoseconds.
 */
public final class ReplaySchedule {

    /** Receives the actions to carry out; each call of {@link #next} emits at most one. */
    public interface Sender {

        /** Sends an RPC on a connection; {@code dueNs} is its due time on the replay clock. */
        void send(RecordedConnection connection, RecordedRpc rpc, long dueNs);

        /** Closes a connection that has reached the idle timeout. */
        void close(RecordedConnection connection);
    }

    /** A connection of the recording, in one round of the replay. */
    public final class RecordedConnection {

        /** State of the sender for this connection. */
        public Object attachment;
        private final ArrayDeque<ScheduledRpc> waiting = new ArrayDeque<>();
        private boolean isBusy;
        private long idleSinceNs;
        private final String name;
        private final int roundNumber;

        private RecordedConnection(String name, int roundNumber) {
            this.name = name;
            this.roundNumber = roundNumber;
        }

        /** The round of the replay that its RPCs belong to, from 0. */
        public int roundNumber() {
            return roundNumber;
        }
    }

    private static final class ScheduledRpc implements Comparable<ScheduledRpc> {
        final RecordedRpc rpc;
        final long dueNs;
        final long sequence;
        final RecordedConnection connection;

        ScheduledRpc(RecordedRpc rpc, long dueNs, long sequence, RecordedConnection connection) {
            this.rpc = rpc;
            this.dueNs = dueNs;
            this.sequence = sequence;
            this.connection = connection;
        }

        @Override
        public int compareTo(ScheduledRpc other) {
            return dueNs != other.dueNs ? Long.compare(dueNs, other.dueNs) : Long.compare(sequence, other.sequence);
        }
    }

    private final double speed;
    private final boolean includeEffects;
    private final Predicate<RecordedRpc> filter;
    private final long idleTimeoutNs;
    private final PriorityQueue<ScheduledRpc> scheduled = new PriorityQueue<>();
    /** Free connections whose next RPC is due. */
    private final ArrayDeque<RecordedConnection> ready = new ArrayDeque<>();
    private final Map<String, RecordedConnection> connections = new HashMap<>();
    /** Connections without a waiting RPC, longest idle first. */
    private final Set<RecordedConnection> idle = new LinkedHashSet<>();
    private long nowNs;
    private long firstRequestNs = Long.MIN_VALUE;
    private int round;
    private long roundStartNs;
    private long lastDueNs;
    private long nextSequence;
    private int incomplete;
    private long skippedForEffects;
    private long notSelected;
    private long delayedByPrevious;

    /**
     * Creates an empty schedule.
     *
     * @param speed factor by which the replay is faster than the recording
     * @param includeEffects whether RPCs that may have effects are replayed
     * @param filter selects the RPCs to replay
     * @param idleTimeoutNs how long an idle connection is kept open
     */
    public ReplaySchedule(double speed, boolean includeEffects, Predicate<RecordedRpc> filter, long idleTimeoutNs) {
        this.speed = speed;
        this.includeEffects = includeEffects;
        this.filter = filter;
        this.idleTimeoutNs = idleTimeoutNs;
    }

    /** Sets the time on the replay clock, which starts at 0. */
    public void setNow(long nowNs) {
        this.nowNs = nowNs;
    }

    /** Starts another round of the recording: RPCs scheduled from now on are due after all earlier ones. */
    public void startRound() {
        round++;
        roundStartNs = lastDueNs;
        firstRequestNs = Long.MIN_VALUE;
    }

    /** Schedules a recorded RPC; those of one connection have to be added in order. */
    public void schedule(RecordedRpc rpc) {
        if (!filter.test(rpc)) {
            notSelected++;
            return;
        }
        if (!includeEffects && !rpc.isReadOnly) {
            skippedForEffects++;
            return;
        }
        if (firstRequestNs == Long.MIN_VALUE) {
            firstRequestNs = rpc.requestTimeNs;
        }
        long dueNs = Math.max(0, roundStartNs + (long) ((rpc.requestTimeNs - firstRequestNs) / speed));
        lastDueNs = Math.max(lastDueNs, dueNs);
        RecordedConnection connection = connections.computeIfAbsent(
                round + "/" + rpc.connection + "/" + rpc.client, name -> new RecordedConnection(name, round));
        idle.remove(connection);
        scheduled.add(new ScheduledRpc(rpc, dueNs, nextSequence++, connection));
        incomplete++;
    }

    /** Handles the end of the RPC in flight on a connection, with or without a response. */
    public void rpcCompleted(RecordedConnection connection) {
        connection.isBusy = false;
        incomplete--;
        if (connection.waiting.isEmpty()) {
            connection.idleSinceNs = nowNs;
            idle.add(connection);
        } else {
            ready.add(connection);
        }
    }

    /** Number of RPCs that are scheduled or in flight. */
    public int incomplete() {
        return incomplete;
    }

    /** When the next RPC is due; {@link Long#MAX_VALUE} if none is scheduled. */
    public long nextDueNs() {
        return scheduled.isEmpty() ? Long.MAX_VALUE : scheduled.peek().dueNs;
    }

    /** Number of RPCs skipped because they may have effects. */
    public long skippedForEffects() {
        return skippedForEffects;
    }

    public long notSelected() {
        return notSelected;
    }

    /** Number of RPCs that were delayed by the previous RPC on their connection. */
    public long delayedByPrevious() {
        return delayedByPrevious;
    }

    public boolean next(Sender sender) {
        while (!scheduled.isEmpty() && scheduled.peek().dueNs <= nowNs) {
            ScheduledRpc rpc = scheduled.poll();
            if (rpc.connection.isBusy || !rpc.connection.waiting.isEmpty()) {
                delayedByPrevious++;
            } else {
                ready.add(rpc.connection);
            }
            rpc.connection.waiting.add(rpc);
        }
        while (!ready.isEmpty()) {
            RecordedConnection connection = ready.poll();
            if (!connection.isBusy && !connection.waiting.isEmpty()) {
                ScheduledRpc rpc = connection.waiting.poll();
                connection.isBusy = true;
                sender.send(connection, rpc.rpc, rpc.dueNs);
                return true;
            }
        }
        if (!idle.isEmpty()) {
            RecordedConnection connection = idle.iterator().next();
            if (nowNs - connection.idleSinceNs > idleTimeoutNs) {
                idle.remove(connection);
                // A connection with more RPCs scheduled is kept, and reopened when they are due.
                if (scheduled.stream().noneMatch(rpc -> rpc.connection == connection)) {
                    connections.remove(connection.name);
                }
                sender.close(connection);
                return true;
            }
        }
        return false;
    }
}
