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
 * {@link #decideNext} makes one decision at a time. Nothing goes out before what it rests on is written down: the host keeps
 * each record that it is told to, and only then pulls on. A step whose answer did not come is never sent again blindly:
 * first its instance's ledger is asked. Times are tenths of a millisecond.
 */
public final class OperationScheduler {

    /** The way decisions go out; each call of {@link #decideNext} makes at most one, or keeps and then sends. */
    public interface Actions {

        /** To be durable before anything else is pulled. */
        void persist(Operation operation);

        /** Tells an instance to do it, fenced by the operation's number and, unless 0, the generation. */
        void send(Operation operation, Step step, long generation);

        /** Asks an instance's ledger what became of it. */
        void queryLedger(Operation operation, Step step);

        /** Fences it at an instance: it is not to be carried out any more; the ledger's word comes back. */
        void callOff(Operation operation, Step step);
    }

    /** How an asking was taken. */
    public enum Admission { NEW, SAME, BUSY, INVALID }

    /** The same command, without its id, within this time is the same operation. */
    private static final long DUPLICATE_WINDOW = 100_000;
    private static final long ANSWER_TIMEOUT = 20_000;
    private static final long RETRY_DELAY_INITIAL = 2_000;
    private static final long RETRY_DELAY_MAX = 100_000;
    /** Times its own time after the deadline, an operation ends with steps that are still unknown. */
    private static final int GIVE_UP_FACTOR = 2;
    private static final int MAX_RETAINED = 1_000;

    private final long seed;
    private final Membership membership;
    private final LinkedHashMap<String, Operation> operations = new LinkedHashMap<>();
    /** Instances out of service, by what they said last. */
    private final Set<String> drained = new TreeSet<>();
    private final List<Operation> toPersist = new ArrayList<>();
    private long now;
    private long lastNumber;
    private long randomDraws;

    public OperationScheduler(long seed, Membership membership) {
        this.seed = seed;
        this.membership = membership;
    }

    public void setNow(long now) {
        this.now = now;
    }

    /** One that was just asked for can't be written down: nobody was told that it was taken on. */
    public void withdraw(Operation operation) {
        operations.remove(operation.id);
        toPersist.removeIf(other -> other == operation);
    }

    /**
     * An operation as it was kept before a restart: what was on its way may have arrived or not. Its time begins anew where
     * it is open: the wall clock may have been stepped meanwhile, and does not say how much of it is left.
     */
    public void restore(Operation persisted) {
        Operation operation = Operation.restored(persisted.snapshot(), persisted.isOpen() ? now : now - DUPLICATE_WINDOW);
        operations.put(operation.id, operation);
        lastNumber = Math.max(lastNumber, operation.number);
        for (Step step : operation.steps) {
            if (step.state == Step.State.SENT) {
                step.state = Step.State.UNKNOWN;
                step.nextAttemptAt = now;
            }
        }
    }

    /** A command is asked for; the operation that it is from now on, or the one that stands in its way. */
    public Operation request(String id, String action, String argument, List<String> instances, int maxConcurrent,
                           int failuresToPause, long timeout, boolean allowRepeat, Admission[] admission) {
        Operation existing = operations.get(id);
        if (existing != null) {
            admission[0] = existing.isSameCommand(action, argument, instances) ? Admission.SAME : Admission.INVALID;
            return existing;
        }
        for (Operation other : operations.values()) {
            if (!allowRepeat && other.isSameCommand(action, argument, instances)
                    && (other.isOpen() || now - other.requestedAt < DUPLICATE_WINDOW)) {
                admission[0] = Admission.SAME;
                return other;
            }
            // Two operators at once: the first one's subjects are its own until it has ended.
            if (other.isOpen() && other.steps.stream().anyMatch(step -> step.state.isOpen()
                    && instances.contains(step.instance))) {
                admission[0] = Admission.BUSY;
                return other;
            }
        }
        Operation operation = new Operation(id, ++lastNumber, action, argument, instances, Math.max(1, maxConcurrent),
                failuresToPause, now, now + timeout);
        operations.put(id, operation);
        toPersist.add(operation);
        evictEnded();
        admission[0] = Admission.NEW;
        return operation;
    }

    private void evictEnded() {
        for (var all = operations.values().iterator(); operations.size() > MAX_RETAINED && all.hasNext();) {
            if (!all.next().isOpen()) {
                all.remove();
            }
        }
    }

    /** An operator calls it off: what is not sent is not, what is on its way is fenced. */
    public void cancel(Operation operation) {
        if (operation.state == Operation.State.RUNNING || operation.state == Operation.State.PAUSED) {
            operation.state = Operation.State.CANCELLING;
            toPersist.add(operation);
        }
    }

    /** An operator lets a paused one go on. */
    public void resume(Operation operation) {
        if (operation.state == Operation.State.PAUSED) {
            operation.state = Operation.State.RUNNING;
            toPersist.add(operation);
        }
    }

    /** An instance has said whether it is out of service. */
    public void setDrained(String instance, boolean isDrained) {
        if (isDrained) {
            drained.add(instance);
        } else {
            drained.remove(instance);
        }
    }

    /** An instance has answered what it was sent, or its ledger knows of it: applied, or turned down for good. */
    public void onAnswer(Operation operation, Step step, boolean isApplied, String detail) {
        if (!step.state.isOpen()) {
            return;
        }
        step.detail = detail;
        step.state = isApplied ? Step.State.APPLIED : Step.State.NOT_APPLIED;
        if (isApplied) {
            setDrained(step.instance, operation.action.equals("drain") || !operation.action.equals("undrain")
                    && drained.contains(step.instance));
        }
        toPersist.add(operation);
    }

    /**
     * A ledger does not know of it. It may be sent again: the same process drops a second copy by its id, another one
     * turns down what was meant for the one before.
     */
    public void onNotInLedger(Operation operation, Step step) {
        if (step.state != Step.State.UNKNOWN) {
            return;
        }
        if (operation.state == Operation.State.CANCELLING || now >= operation.deadline) {
            step.nextAttemptAt = now;
        } else {
            step.state = Step.State.PLANNED;
            step.nextAttemptAt = now + retryDelay(step.attempts);
            toPersist.add(operation);
        }
    }

    /** What was sent, or asked, has surely not arrived. */
    public void onUnreachable(Operation operation, Step step) {
        if (step.state == Step.State.SENT) {
            step.state = Step.State.PLANNED;
            step.nextAttemptAt = now + retryDelay(step.attempts);
            toPersist.add(operation);
        } else if (step.state == Step.State.UNKNOWN) {
            step.nextAttemptAt = now + retryDelay(step.attempts++);
        }
    }

    /** No answer has come: it may have arrived. */
    public void onNoAnswer(Operation operation, Step step) {
        if (step.state == Step.State.SENT) {
            step.state = Step.State.UNKNOWN;
            step.nextAttemptAt = now;
            toPersist.add(operation);
        } else if (step.state == Step.State.UNKNOWN) {
            step.nextAttemptAt = now + retryDelay(step.attempts++);
        }
    }

    /** Grows with each try, and is drawn, so that many do not come at once. */
    private long retryDelay(int attempts) {
        CRC32 crc = new CRC32();
        crc.update(java.nio.ByteBuffer.allocate(16).putLong(seed).putLong(randomDraws++).array());
        double maxDelay = Math.min(RETRY_DELAY_MAX, RETRY_DELAY_INITIAL * Math.pow(2, Math.min(20, attempts)));
        return (long) (maxDelay * (0.5 + crc.getValue() / 4294967296.0 / 2));
    }

    /** Makes at most one call; false when there is nothing to decide now. */
    public boolean decideNext(Actions actions) {
        if (!toPersist.isEmpty()) {
            Operation operation = toPersist.get(0);
            updateState(operation);
            // Where it can't be written down it stays first in line, and nothing else goes out before it.
            actions.persist(operation);
            toPersist.remove(0);
            return true;
        }
        for (Operation operation : operations.values()) {
            if (operation.isOpen() && decideNext(operation, actions)) {
                return true;
            }
        }
        return false;
    }

    /** Whether all its steps have ended, or it must stop. */
    private void updateState(Operation operation) {
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
                if (step.attempts > 0) {
                    // Guards against an earlier copy that is still on its way: it is fenced at the instance first.
                    step.state = Step.State.UNKNOWN;
                    step.nextAttemptAt = now;
                    continue;
                }
                step.state = Step.State.NOT_APPLIED;
                step.detail = isCancelling ? "cancelled before it was sent" : "not sent before the deadline";
            }
        }
        // An instance that is gone for good would keep the operation for ever: its step stays unknown, and says so.
        boolean isGivenUp = isGivenUp(operation)
                && operation.steps.stream().noneMatch(step -> step.state == Step.State.PLANNED);
        if (isGivenUp || operation.steps.stream().noneMatch(step -> step.state.isOpen())) {
            boolean isAllApplied = operation.steps.stream().allMatch(step -> step.state == Step.State.APPLIED);
            operation.state = isCancelling ? Operation.State.CANCELLED : isAllApplied ? Operation.State.DONE
                    : Operation.State.FAILED;
        }
    }

    private boolean isGivenUp(Operation operation) {
        return now >= operation.deadline + GIVE_UP_FACTOR * (operation.deadline - operation.requestedAt);
    }

    private boolean decideNext(Operation operation, Actions actions) {
        for (Step step : operation.steps) {
            boolean isPastDeadline = now >= operation.deadline;
            if (isGivenUp(operation)) {
                updateState(operation);
                actions.persist(operation);
                return true;
            }
            if (step.state == Step.State.PLANNED && (isPastDeadline || operation.state == Operation.State.CANCELLING)) {
                updateState(operation);
                actions.persist(operation);
                return true;
            }
            if (step.state == Step.State.SENT && now >= step.answerDeadline) {
                onNoAnswer(operation, step);
                return true;
            }
            if (step.state == Step.State.UNKNOWN && now >= step.nextAttemptAt) {
                step.nextAttemptAt = now + ANSWER_TIMEOUT + retryDelay(step.attempts);
                if (isPastDeadline || operation.state == Operation.State.CANCELLING) {
                    actions.callOff(operation, step);
                } else {
                    actions.queryLedger(operation, step);
                }
                return true;
            }
            if (step.state == Step.State.PLANNED && operation.state == Operation.State.RUNNING && now >= step.nextAttemptAt
                    && maySend(operation, step)) {
                Membership.Member member = membership.member(step.instance);
                step.state = Step.State.SENT;
                step.generation = member.generation;
                step.attempts++;
                step.answerDeadline = now + ANSWER_TIMEOUT;
                // It is written down as sent before it is: after a restart it counts as unknown.
                persistSent(operation, step, actions);
                actions.send(operation, step, member.generation);
                return true;
            }
        }
        return false;
    }

    /** Where it can't be written down as sent it is not sent, and is tried again later. */
    private void persistSent(Operation operation, Step step, Actions actions) {
        try {
            actions.persist(operation);
        } catch (RuntimeException e) {
            step.state = Step.State.PLANNED;
            step.nextAttemptAt = now + retryDelay(step.attempts);
            toPersist.add(operation);
            throw e;
        }
    }

    /** Known to be alive, and no more on their way or out of service than may be. */
    private boolean maySend(Operation operation, Step step) {
        Membership.Member member = membership.member(step.instance);
        if (member == null || member.standing() != Membership.Standing.ALIVE || membership.isCutOff()) {
            return false;
        }
        if (!operation.action.equals("drain") && !operation.action.equals("restart")) {
            return inFlightSteps() < operation.maxConcurrent;
        }
        Set<String> outOfService = new TreeSet<>(drained);
        operations.values().stream().filter(other -> other.isOpen() && !other.action.equals("undrain"))
                .flatMap(other -> other.steps.stream())
                .filter(other -> other.state == Step.State.SENT || other.state == Step.State.UNKNOWN)
                .forEach(other -> outOfService.add(other.instance));
        outOfService.remove(step.instance);
        return outOfService.size() < operation.maxConcurrent;
    }

    private long inFlightSteps() {
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
    public long nextDueAt() {
        long earliest = Long.MAX_VALUE;
        for (Operation operation : operations.values()) {
            if (operation.isOpen()) {
                earliest = Math.min(earliest, operation.deadline);
                for (Step step : operation.steps) {
                    if (step.state == Step.State.SENT) {
                        earliest = Math.min(earliest, step.answerDeadline);
                    } else if (step.state.isOpen()) {
                        earliest = Math.min(earliest, Math.max(step.nextAttemptAt, now));
                    }
                }
            }
        }
        return earliest;
    }

    /** For the report: how many steps of each kind. */
    public static Map<Step.State, Integer> countByState(Operation operation) {
        Map<Step.State, Integer> counts = new java.util.EnumMap<>(Step.State.class);
        operation.steps.forEach(step -> counts.merge(step.state, 1, Integer::sum));
        return counts;
    }
}
