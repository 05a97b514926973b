package honeygap.manage;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.zip.CRC32;

/**
 * Decides what becomes of operations: which step is sent when, what an answer or its lack means, when to ask an
 * instance's ledger, when to pause, and when all is over. Driven as {@code Rules} is: inputs only update what is known,
 * {@link #next} makes one decision at a time. Nothing goes out before what it rests on is written down: the host keeps
 * each record that it is told to, and only then pulls on. A step whose answer did not come is never sent again blindly:
 * first its instance's ledger is asked. Times are tenths of a millisecond.
 */
public final class Operations {

    /** The way decisions go out; each call of {@link #next} makes at most one, or keeps and then sends. */
    public interface Out {

        /** To be durable before anything else is pulled. */
        void keep(Operation operation);

        /** Tells an instance to do it, fenced by the operation's number and, unless 0, the generation. */
        void send(Operation operation, Step step, long generation);

        /** Asks an instance's ledger what became of it. */
        void ask(Operation operation, Step step);

        /** Fences it at an instance: it is not to be carried out any more; the ledger's word comes back. */
        void callOff(Operation operation, Step step);
    }

    /** How an asking was taken. */
    public enum Taken { NEW, SAME, BUSY, INVALID }

    /** The same command, without its id, within this time is the same operation. */
    private static final long SAME_WITHIN = 100_000;
    private static final long PATIENCE = 20_000;
    private static final long PAUSE_FIRST = 2_000;
    private static final long PAUSE_MOST = 100_000;
    /** Times its own time after the deadline, an operation ends with steps that are still unknown. */
    private static final int GIVE_UP = 2;
    private static final int KEPT = 1_000;

    private final long seed;
    private final Membership membership;
    private final LinkedHashMap<String, Operation> operations = new LinkedHashMap<>();
    /** Instances out of service, by what they said last. */
    private final Set<String> drained = new TreeSet<>();
    private final List<Operation> toKeep = new ArrayList<>();
    private long now;
    private long numbers;
    private long draws;

    public Operations(long seed, Membership membership) {
        this.seed = seed;
        this.membership = membership;
    }

    public void now(long now) {
        this.now = now;
    }

    /** One that was just asked for can't be written down: nobody was told that it was taken on. */
    public void withdrawn(Operation operation) {
        operations.remove(operation.id);
        toKeep.removeIf(other -> other == operation);
    }

    /**
     * An operation as it was kept before a restart: what was on its way may have arrived or not. Its time begins anew where
     * it is open: the wall clock may have been stepped meanwhile, and does not say how much of it is left.
     */
    public void restored(Operation kept) {
        Operation operation = Operation.restored(kept.written(), kept.isOpen() ? now : now - SAME_WITHIN);
        operations.put(operation.id, operation);
        numbers = Math.max(numbers, operation.number);
        for (Step step : operation.steps) {
            if (step.state == Step.State.SENT) {
                step.state = Step.State.UNKNOWN;
                step.dueAt = now;
            }
        }
    }

    /** A command is asked for; the operation that it is from now on, or the one that stands in its way. */
    public Operation asked(String id, String action, String argument, List<String> instances, int atOnce,
                           int failuresToPause, long within, boolean isAgain, Taken[] taken) {
        Operation same = operations.get(id);
        if (same != null) {
            taken[0] = same.isSame(action, argument, instances) ? Taken.SAME : Taken.INVALID;
            return same;
        }
        for (Operation other : operations.values()) {
            if (!isAgain && other.isSame(action, argument, instances)
                    && (other.isOpen() || now - other.askedAt < SAME_WITHIN)) {
                taken[0] = Taken.SAME;
                return other;
            }
            // Two operators at once: the first one's subjects are its own until it has ended.
            if (other.isOpen() && other.steps.stream().anyMatch(step -> step.state.isOpen()
                    && instances.contains(step.instance))) {
                taken[0] = Taken.BUSY;
                return other;
            }
        }
        Operation operation = new Operation(id, ++numbers, action, argument, instances, Math.max(1, atOnce),
                failuresToPause, now, now + within);
        operations.put(id, operation);
        toKeep.add(operation);
        forget();
        taken[0] = Taken.NEW;
        return operation;
    }

    private void forget() {
        for (var all = operations.values().iterator(); operations.size() > KEPT && all.hasNext();) {
            if (!all.next().isOpen()) {
                all.remove();
            }
        }
    }

    /** An operator calls it off: what is not sent is not, what is on its way is fenced. */
    public void cancelled(Operation operation) {
        if (operation.state == Operation.State.RUNNING || operation.state == Operation.State.PAUSED) {
            operation.state = Operation.State.CANCELLING;
            toKeep.add(operation);
        }
    }

    /** An operator lets a paused one go on. */
    public void resumed(Operation operation) {
        if (operation.state == Operation.State.PAUSED) {
            operation.state = Operation.State.RUNNING;
            toKeep.add(operation);
        }
    }

    /** An instance has said whether it is out of service. */
    public void stands(String instance, boolean isDrained) {
        if (isDrained) {
            drained.add(instance);
        } else {
            drained.remove(instance);
        }
    }

    /** An instance has answered what it was sent, or its ledger knows of it: applied, or turned down for good. */
    public void answered(Operation operation, Step step, boolean isApplied, String word) {
        if (!step.state.isOpen()) {
            return;
        }
        step.word = word;
        step.state = isApplied ? Step.State.APPLIED : Step.State.NOT_APPLIED;
        if (isApplied) {
            stands(step.instance, operation.action.equals("drain") || !operation.action.equals("undrain")
                    && drained.contains(step.instance));
        }
        toKeep.add(operation);
    }

    /**
     * A ledger does not know of it. It may be sent again: the same process drops a second copy by its id, another one
     * turns down what was meant for the one before.
     */
    public void notInLedger(Operation operation, Step step) {
        if (step.state != Step.State.UNKNOWN) {
            return;
        }
        if (operation.state == Operation.State.CANCELLING || now >= operation.deadline) {
            step.dueAt = now;
        } else {
            step.state = Step.State.PLANNED;
            step.dueAt = now + pause(step.tries);
            toKeep.add(operation);
        }
    }

    /** What was sent, or asked, has surely not arrived. */
    public void unreached(Operation operation, Step step) {
        if (step.state == Step.State.SENT) {
            step.state = Step.State.PLANNED;
            step.dueAt = now + pause(step.tries);
            toKeep.add(operation);
        } else if (step.state == Step.State.UNKNOWN) {
            step.dueAt = now + pause(step.tries++);
        }
    }

    /** No answer has come: it may have arrived. */
    public void noAnswer(Operation operation, Step step) {
        if (step.state == Step.State.SENT) {
            step.state = Step.State.UNKNOWN;
            step.dueAt = now;
            toKeep.add(operation);
        } else if (step.state == Step.State.UNKNOWN) {
            step.dueAt = now + pause(step.tries++);
        }
    }

    /** Grows with each try, and is drawn, so that many do not come at once. */
    private long pause(int tries) {
        CRC32 crc = new CRC32();
        crc.update(java.nio.ByteBuffer.allocate(16).putLong(seed).putLong(draws++).array());
        double most = Math.min(PAUSE_MOST, PAUSE_FIRST * Math.pow(2, Math.min(20, tries)));
        return (long) (most * (0.5 + crc.getValue() / 4294967296.0 / 2));
    }

    /** Makes at most one call; false when there is nothing to decide now. */
    public boolean next(Out out) {
        if (!toKeep.isEmpty()) {
            Operation operation = toKeep.get(0);
            settle(operation);
            // Where it can't be written down it stays first in line, and nothing else goes out before it.
            out.keep(operation);
            toKeep.remove(0);
            return true;
        }
        for (Operation operation : operations.values()) {
            if (operation.isOpen() && next(operation, out)) {
                return true;
            }
        }
        return false;
    }

    /** Whether all its steps have ended, or it must stop. */
    private void settle(Operation operation) {
        if (!operation.isOpen()) {
            return;
        }
        long failed = operation.steps.stream().filter(step -> step.state == Step.State.NOT_APPLIED).count();
        if (operation.state == Operation.State.RUNNING && operation.failuresToPause > 0
                && failed >= operation.failuresToPause
                && operation.steps.stream().anyMatch(step -> step.state == Step.State.PLANNED)) {
            operation.state = Operation.State.PAUSED;
        }
        boolean isCancelling = operation.state == Operation.State.CANCELLING;
        for (Step step : operation.steps) {
            if (step.state == Step.State.PLANNED && (isCancelling || now >= operation.deadline)) {
                if (step.tries > 0) {
                    // Guards against an earlier copy that is still on its way: it is fenced at the instance first.
                    step.state = Step.State.UNKNOWN;
                    step.dueAt = now;
                    continue;
                }
                step.state = Step.State.NOT_APPLIED;
                step.word = isCancelling ? "cancelled before it was sent" : "not sent before the deadline";
            }
        }
        // An instance that is gone for good would keep the operation for ever: its step stays unknown, and says so.
        boolean isGivenUp = isGivenUp(operation)
                && operation.steps.stream().noneMatch(step -> step.state == Step.State.PLANNED);
        if (isGivenUp || operation.steps.stream().noneMatch(step -> step.state.isOpen())) {
            boolean isWhole = operation.steps.stream().allMatch(step -> step.state == Step.State.APPLIED);
            operation.state = isCancelling ? Operation.State.CANCELLED : isWhole ? Operation.State.DONE
                    : Operation.State.FAILED;
        }
    }

    private boolean isGivenUp(Operation operation) {
        return now >= operation.deadline + GIVE_UP * (operation.deadline - operation.askedAt);
    }

    private boolean next(Operation operation, Out out) {
        for (Step step : operation.steps) {
            boolean isLate = now >= operation.deadline;
            if (isGivenUp(operation)) {
                settle(operation);
                out.keep(operation);
                return true;
            }
            if (step.state == Step.State.PLANNED && (isLate || operation.state == Operation.State.CANCELLING)) {
                settle(operation);
                out.keep(operation);
                return true;
            }
            if (step.state == Step.State.SENT && now >= step.patienceAt) {
                noAnswer(operation, step);
                return true;
            }
            if (step.state == Step.State.UNKNOWN && now >= step.dueAt) {
                step.dueAt = now + PATIENCE + pause(step.tries);
                if (isLate || operation.state == Operation.State.CANCELLING) {
                    out.callOff(operation, step);
                } else {
                    out.ask(operation, step);
                }
                return true;
            }
            if (step.state == Step.State.PLANNED && operation.state == Operation.State.RUNNING && now >= step.dueAt
                    && mayGo(operation, step)) {
                Membership.Member member = membership.member(step.instance);
                step.state = Step.State.SENT;
                step.generation = member.generation;
                step.tries++;
                step.patienceAt = now + PATIENCE;
                // It is written down as sent before it is: after a restart it counts as unknown.
                keepSent(operation, step, out);
                out.send(operation, step, member.generation);
                return true;
            }
        }
        return false;
    }

    /** Where it can't be written down as sent it is not sent, and is tried again later. */
    private void keepSent(Operation operation, Step step, Out out) {
        try {
            out.keep(operation);
        } catch (RuntimeException e) {
            step.state = Step.State.PLANNED;
            step.dueAt = now + pause(step.tries);
            toKeep.add(operation);
            throw e;
        }
    }

    /** Known to be alive, and no more on their way or out of service than may be. */
    private boolean mayGo(Operation operation, Step step) {
        Membership.Member member = membership.member(step.instance);
        if (member == null || member.standing() != Membership.Standing.ALIVE || membership.isCutOff()) {
            return false;
        }
        if (!operation.action.equals("drain") && !operation.action.equals("restart")) {
            return onTheirWay() < operation.atOnce;
        }
        Set<String> out = new TreeSet<>(drained);
        operations.values().stream().filter(other -> other.isOpen() && !other.action.equals("undrain"))
                .flatMap(other -> other.steps.stream())
                .filter(other -> other.state == Step.State.SENT || other.state == Step.State.UNKNOWN)
                .forEach(other -> out.add(other.instance));
        out.remove(step.instance);
        return out.size() < operation.atOnce;
    }

    private long onTheirWay() {
        return operations.values().stream().filter(Operation::isOpen).flatMap(other -> other.steps.stream())
                .filter(step -> step.state == Step.State.SENT || step.state == Step.State.UNKNOWN).count();
    }

    public Operation operation(String id) {
        return operations.get(id);
    }

    public Collection<Operation> operations() {
        return operations.values();
    }

    public Set<String> drained() {
        return drained;
    }

    /** For whoever waits: the next time at which something may be due; the greatest number where nothing is. */
    public long wakeAt() {
        long at = Long.MAX_VALUE;
        for (Operation operation : operations.values()) {
            if (operation.isOpen()) {
                at = Math.min(at, operation.deadline);
                for (Step step : operation.steps) {
                    if (step.state == Step.State.SENT) {
                        at = Math.min(at, step.patienceAt);
                    } else if (step.state.isOpen()) {
                        at = Math.min(at, Math.max(step.dueAt, now));
                    }
                }
            }
        }
        return at;
    }

    /** For the report: how many steps of each kind. */
    public static Map<Step.State, Integer> tally(Operation operation) {
        Map<Step.State, Integer> tally = new java.util.EnumMap<>(Step.State.class);
        operation.steps.forEach(step -> tally.merge(step.state, 1, Integer::sum));
        return tally;
    }
}
