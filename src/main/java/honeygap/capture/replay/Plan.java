package honeygap.capture.replay;

import honeygap.capture.message.Spoken;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Decides when each recorded RPC is sent again, and on which connection. It has no I/O and is driven as the decision
 * module is: inputs update what is known, {@link #next} says what is to be done until there is nothing. The load is
 * open: an RPC is due at its recorded time, whatever became of the ones before; only those of one connection wait for
 * each other, as they did. What goes out late is late by the clock of the record. Times are nanoseconds.
 */
public final class Plan {

    /** The way decisions go out; each call of {@link #next} makes at most one. */
    public interface Sender {

        /** Sends an RPC on a line; it was due at that time of the replay. */
        void send(RecordedConnection connection, Spoken rpc, long dueNs);

        /** A line has rested for long: its connection may go. */
        void close(RecordedConnection connection);
    }

    /** A connection of the record, in one round of it. */
    public final class RecordedConnection {

        /** For whoever carries it out. */
        public Object attachment;
        private final ArrayDeque<ScheduledRpc> waiting = new ArrayDeque<>();
        private boolean isBusy;
        private long idleSinceNs;
        private final String name;

        private RecordedConnection(String name) {
            this.name = name;
        }
    }

    private static final class ScheduledRpc implements Comparable<ScheduledRpc> {
        final Spoken rpc;
        final long dueNs;
        final long sequence;
        final RecordedConnection connection;

        ScheduledRpc(Spoken rpc, long dueNs, long sequence, RecordedConnection connection) {
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
    private final Predicate<Spoken> filter;
    private final long idleTimeoutNs;
    private final PriorityQueue<ScheduledRpc> scheduled = new PriorityQueue<>();
    /** Lines whose next RPC is due and that are free. */
    private final ArrayDeque<RecordedConnection> ready = new ArrayDeque<>();
    private final Map<String, RecordedConnection> connections = new HashMap<>();
    /** Those with nothing to do, the one that has rested longest first. */
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

    /** How many times as fast; whether what may have an effect is sent; which are; how long a free line is kept. */
    public Plan(double speed, boolean includeEffects, Predicate<Spoken> filter, long idleTimeoutNs) {
        this.speed = speed;
        this.includeEffects = includeEffects;
        this.filter = filter;
        this.idleTimeoutNs = idleTimeoutNs;
    }

    /** The time of the replay, from 0. */
    public void setNow(long nowNs) {
        this.nowNs = nowNs;
    }

    /** The record begins anew: what comes now is due behind all that was. */
    public void startRound() {
        round++;
        roundStartNs = lastDueNs;
        firstRequestNs = Long.MIN_VALUE;
    }

    /** The next recorded RPC; of one connection they come in their order. */
    public void schedule(Spoken rpc) {
        if (!filter.test(rpc)) {
            notSelected++;
            return;
        }
        if (!includeEffects && !rpc.isReadOnly) {
            skippedForEffects++;
            return;
        }
        if (firstRequestNs == Long.MIN_VALUE) {
            firstRequestNs = rpc.at;
        }
        long dueNs = Math.max(0, roundStartNs + (long) ((rpc.at - firstRequestNs) / speed));
        lastDueNs = Math.max(lastDueNs, dueNs);
        RecordedConnection connection = connections.computeIfAbsent(round + "/" + rpc.connection + "/" + rpc.client, RecordedConnection::new);
        idle.remove(connection);
        scheduled.add(new ScheduledRpc(rpc, dueNs, nextSequence++, connection));
        incomplete++;
    }

    /** What was sent on a line has its answer, or will have none. */
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

    /** RPCs known and not ended. */
    public int incomplete() {
        return incomplete;
    }

    /** When the next one is due; the greatest number where none is. */
    public long nextDueNs() {
        return scheduled.isEmpty() ? Long.MAX_VALUE : scheduled.peek().dueNs;
    }

    /** Recorded ones that were not sent since they may have an effect. */
    public long skippedForEffects() {
        return skippedForEffects;
    }

    public long notSelected() {
        return notSelected;
    }

    /** Those that waited for the one before them on their connection. */
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
                // One that has more to come is opened anew.
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
