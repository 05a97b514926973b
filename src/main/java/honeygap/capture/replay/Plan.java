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
    public interface Out {

        /** Sends an RPC on a line; it was due at that time of the replay. */
        void send(Line line, Spoken spoken, long due);

        /** A line has rested for long: its connection may go. */
        void close(Line line);
    }

    /** A connection of the record, in one round of it. */
    public final class Line {

        /** For whoever carries it out. */
        public Object subject;
        private final ArrayDeque<Due> waiting = new ArrayDeque<>();
        private boolean isBusy;
        private long restsSince;
        private final String name;

        private Line(String name) {
            this.name = name;
        }
    }

    private static final class Due implements Comparable<Due> {
        final Spoken spoken;
        final long at;
        final long number;
        final Line line;

        Due(Spoken spoken, long at, long number, Line line) {
            this.spoken = spoken;
            this.at = at;
            this.number = number;
            this.line = line;
        }

        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    private final double speed;
    private final boolean effects;
    private final Predicate<Spoken> wanted;
    private final long rest;
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    /** Lines whose next RPC is due and that are free. */
    private final ArrayDeque<Line> ready = new ArrayDeque<>();
    private final Map<String, Line> lines = new HashMap<>();
    /** Those with nothing to do, the one that has rested longest first. */
    private final Set<Line> resting = new LinkedHashSet<>();
    private long now;
    private long firstAt = Long.MIN_VALUE;
    private int round;
    private long roundFrom;
    private long lastDue;
    private long numbers;
    private int open;
    private long leftOut;
    private long unwanted;
    private long held;

    /** How many times as fast; whether what may have an effect is sent; which are; how long a free line is kept. */
    public Plan(double speed, boolean effects, Predicate<Spoken> wanted, long rest) {
        this.speed = speed;
        this.effects = effects;
        this.wanted = wanted;
        this.rest = rest;
    }

    /** The time of the replay, from 0. */
    public void now(long now) {
        this.now = now;
    }

    /** The record begins anew: what comes now is due behind all that was. */
    public void again() {
        round++;
        roundFrom = lastDue;
        firstAt = Long.MIN_VALUE;
    }

    /** The next recorded RPC; of one connection they come in their order. */
    public void recorded(Spoken spoken) {
        if (!wanted.test(spoken)) {
            unwanted++;
            return;
        }
        if (!effects && !spoken.isRead) {
            leftOut++;
            return;
        }
        if (firstAt == Long.MIN_VALUE) {
            firstAt = spoken.at;
        }
        long at = Math.max(0, roundFrom + (long) ((spoken.at - firstAt) / speed));
        lastDue = Math.max(lastDue, at);
        Line line = lines.computeIfAbsent(round + "/" + spoken.connection + "/" + spoken.client, Line::new);
        resting.remove(line);
        due.add(new Due(spoken, at, numbers++, line));
        open++;
    }

    /** What was sent on a line has its answer, or will have none. */
    public void ended(Line line) {
        line.isBusy = false;
        open--;
        if (line.waiting.isEmpty()) {
            line.restsSince = now;
            resting.add(line);
        } else {
            ready.add(line);
        }
    }

    /** RPCs known and not ended. */
    public int open() {
        return open;
    }

    /** When the next one is due; the greatest number where none is. */
    public long wakeAt() {
        return due.isEmpty() ? Long.MAX_VALUE : due.peek().at;
    }

    /** Recorded ones that were not sent since they may have an effect. */
    public long leftOut() {
        return leftOut;
    }

    public long unwanted() {
        return unwanted;
    }

    /** Those that waited for the one before them on their connection. */
    public long held() {
        return held;
    }

    public boolean next(Out out) {
        while (!due.isEmpty() && due.peek().at <= now) {
            Due one = due.poll();
            if (one.line.isBusy || !one.line.waiting.isEmpty()) {
                held++;
            } else {
                ready.add(one.line);
            }
            one.line.waiting.add(one);
        }
        while (!ready.isEmpty()) {
            Line line = ready.poll();
            if (!line.isBusy && !line.waiting.isEmpty()) {
                Due one = line.waiting.poll();
                line.isBusy = true;
                out.send(line, one.spoken, one.at);
                return true;
            }
        }
        if (!resting.isEmpty()) {
            Line line = resting.iterator().next();
            if (now - line.restsSince > rest) {
                resting.remove(line);
                // One that has more to come is opened anew.
                if (due.stream().noneMatch(one -> one.line == line)) {
                    lines.remove(line.name);
                }
                out.close(line);
                return true;
            }
        }
        return false;
    }
}
