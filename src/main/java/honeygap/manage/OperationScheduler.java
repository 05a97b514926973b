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
 * Schedules the steps of operations: when to send which command, how to interpret an answer or a missing answer, when
 * to query an instance's ledger, when to pause, and when an operation ends. Event-driven like
 * {@code DecisionEngine}: inputs only update the state, and {@link #decideNext} makes one decision at a time. Nothing
 * is sent before the state that it depends on is durable: the host persists each operation that it is given before it
 * asks for the next decision. A step without an answer is never resent blindly; the instance's ledger is queried
 * first. Times are in units of 0.1 ms.
 */
public final class OperationScheduler {

    /** Receives the decisions; each call of {@link #decideNext} makes at most one call, or persists and then sends. */
    public interface Actions {

        /** Persists the operation; it has to be durable before the next decision. */
        void persist(Operation operation);

        /** Sends the command, fenced by the operation's number and, unless 0, by the generation. */
        void send(Operation operation, Step step, long generation);

        /** Queries the instance's ledger for the outcome of the command. */
        void queryLedger(Operation operation, Step step);

        /**
         * Fences the command at the instance, so that it will not be executed any more; the ledger's entry is
         * returned.
         */
        void callOff(Operation operation, Step step);
    }

    /** How a request was admitted. */
    public enum Admission { NEW, SAME, BUSY, INVALID }

    /** A repeated command, even under another id, counts as the same operation within this time. */
    private static final long DUPLICATE_WINDOW = 100_000;
    private static final long ANSWER_TIMEOUT = 20_000;
    private static final long RETRY_DELAY_INITIAL = 2_000;
    private static final long RETRY_DELAY_MAX = 100_000;
    /**
     * After this multiple of its own duration past the deadline, an operation ends with steps that are still unknown.
     */
    private static final int ABANDON_AFTER_FACTOR = 2;
    private static final int MAX_RETAINED = 1_000;

    private final long seed;
    private final Membership membership;
    private final LinkedHashMap<String, Operation> operations = new LinkedHashMap<>();
    /** Drained instances, according to their latest reports. */
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

    /** Removes a new operation that could not be persisted and that was not yet acknowledged. */
    public void withdraw(Operation operation) {
        operations.remove(operation.id);
        toPersist.removeIf(queued -> queued == operation);
    }

    /**
     * Restores a persisted operation after a restart: commands that were in flight may or may not have arrived. The
     * time budget of an open operation starts again, because the wall clock may have been stepped and does not tell
     * how much of it is left.
     */
    public void restore(Operation persisted) {
        Operation operation = Operation.restore(persisted.snapshot(),
                persisted.isOpen() ? now : now - DUPLICATE_WINDOW);
        operations.put(operation.id, operation);
        lastNumber = Math.max(lastNumber, operation.number);
        for (Step step : operation.steps) {
            if (step.state == Step.State.SENT) {
                step.state = Step.State.UNKNOWN;
                step.nextAttemptAt = now;
            }
        }
    }

    /** Requests a command. Returns the new operation, or the existing one that equals it or conflicts with it. */
    public Operation request(String id, String action, String argument, List<String> instances, int maxConcurrent,
                             int failuresToPause, long timeout, boolean allowRepeat, Admission[] admission) {
        Operation existing = operations.get(id);
        if (existing != null) {
            admission[0] = existing.isSameCommand(action, argument, instances) ? Admission.SAME : Admission.INVALID;
            return existing;
        }
        for (Operation other : operations.values()) {
            if (!allowRepeat && other.isSameCommand(action, argument, instances)
                    && (other.isOpen() || now - other.requestedAt < DUPLICATE_WINDOW && isInEffect(other))) {
                admission[0] = Admission.SAME;
                return other;
            }
            // With two concurrent operators, instances belong to the first operation until it has ended.
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

    /**
     * Whether what an ended operation did still holds as far as is known: its instances run the processes that it was
     * sent to, and no later operation was for one of them.
     */
    private boolean isInEffect(Operation ended) {
        boolean isSuperseded = operations.values().stream().anyMatch(later -> later.number > ended.number
                && later.steps.stream().anyMatch(step -> ended.hasInstance(step.instance)));
        return !isSuperseded && ended.steps.stream().allMatch(step -> {
            Membership.Member member = membership.member(step.instance);
            return member == null || step.generation == 0 || step.generation == member.generation;
        });
    }

    private void evictEnded() {
        for (var iterator = operations.values().iterator(); operations.size() > MAX_RETAINED && iterator.hasNext();) {
            if (!iterator.next().isOpen()) {
                iterator.remove();
            }
        }
    }

    /** Cancels an operation: unsent commands are not sent, commands in flight are fenced. */
    public void cancel(Operation operation) {
        if (operation.state == Operation.State.RUNNING || operation.state == Operation.State.PAUSED) {
            operation.state = Operation.State.CANCELLING;
            toPersist.add(operation);
        }
    }

    /** Resumes a paused operation, which pauses again after as many further failures. */
    public void resume(Operation operation) {
        if (operation.state == Operation.State.PAUSED) {
            operation.state = Operation.State.RUNNING;
            operation.acceptedFailures = operation.failedSteps();
            toPersist.add(operation);
        }
    }

    /** Records whether an instance is drained. */
    public void setDrained(String instance, boolean isDrained) {
        if (isDrained) {
            drained.add(instance);
        } else {
            drained.remove(instance);
        }
    }

    /** Handles an instance's answer or its ledger entry: applied, or refused for good. */
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
     * Handles a command that is missing in the ledger. It may be sent again: the same process drops duplicates by id,
     * and another process refuses commands for the previous generation.
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

    /** Handles a command or query that definitely did not arrive. */
    public void onUnreachable(Operation operation, Step step) {
        if (step.state == Step.State.SENT) {
            step.state = Step.State.PLANNED;
            step.nextAttemptAt = now + retryDelay(step.attempts);
            toPersist.add(operation);
        } else if (step.state == Step.State.UNKNOWN) {
            step.nextAttemptAt = now + retryDelay(step.attempts++);
        }
    }

    /** Handles a missing answer: the command may have arrived. */
    public void onNoAnswer(Operation operation, Step step) {
        if (step.state == Step.State.SENT) {
            step.state = Step.State.UNKNOWN;
            step.nextAttemptAt = now;
            toPersist.add(operation);
        } else if (step.state == Step.State.UNKNOWN) {
            step.nextAttemptAt = now + retryDelay(step.attempts++);
        }
    }

    /** Returns a delay that grows with each attempt, with jitter, so that retries do not coincide. */
    private long retryDelay(int attempts) {
        CRC32 crc = new CRC32();
        crc.update(java.nio.ByteBuffer.allocate(16).putLong(seed).putLong(randomDraws++).array());
        double maxDelay = Math.min(RETRY_DELAY_MAX, RETRY_DELAY_INITIAL * Math.pow(2, Math.min(20, attempts)));
        return (long) (maxDelay * (0.5 + crc.getValue() / 4294967296.0 / 2));
    }

    /** Makes at most one decision; returns false when there is nothing to decide now. */
    public boolean decideNext(Actions actions) {
        if (!toPersist.isEmpty()) {
            Operation operation = toPersist.get(0);
            updateState(operation);
            // If it cannot be persisted it stays first in the queue, and nothing else is sent before it.
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

    /** Pauses or ends the operation if its steps call for it. */
    private void updateState(Operation operation) {
        if (!operation.isOpen()) {
            return;
        }
        int failed = operation.failedSteps() - operation.acceptedFailures;
        if (operation.state == Operation.State.RUNNING && operation.failuresToPause > 0
                && failed >= operation.failuresToPause
                && operation.steps.stream().anyMatch(step -> step.state == Step.State.PLANNED)) {
            operation.state = Operation.State.PAUSED;
        }
        boolean isCancelling = operation.state == Operation.State.CANCELLING;
        for (Step step : operation.steps) {
            if (step.state == Step.State.PLANNED && (isCancelling || now >= operation.deadline)) {
                if (step.attempts > 0) {
                    // An earlier copy may still be in flight: it is fenced at the instance first.
                    step.state = Step.State.UNKNOWN;
                    step.nextAttemptAt = now;
                    continue;
                }
                step.state = Step.State.NOT_APPLIED;
                step.detail = isCancelling ? "cancelled before it was sent" : "not sent before the deadline";
            }
        }
        // A permanently lost instance would keep the operation open forever: its step ends as unknown.
        boolean isAbandoned = isAbandoned(operation)
                && operation.steps.stream().noneMatch(step -> step.state == Step.State.PLANNED);
        if (isAbandoned || operation.steps.stream().noneMatch(step -> step.state.isOpen())) {
            boolean isAllApplied = operation.steps.stream().allMatch(step -> step.state == Step.State.APPLIED);
            operation.state = isCancelling ? Operation.State.CANCELLED : isAllApplied ? Operation.State.DONE
                    : Operation.State.FAILED;
        }
    }

    private boolean isAbandoned(Operation operation) {
        return now >= operation.deadline + ABANDON_AFTER_FACTOR * (operation.deadline - operation.requestedAt);
    }

    private boolean decideNext(Operation operation, Actions actions) {
        for (Step step : operation.steps) {
            boolean isPastDeadline = now >= operation.deadline;
            if (isAbandoned(operation)) {
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
            if (step.state == Step.State.PLANNED && operation.state == Operation.State.RUNNING
                    && now >= step.nextAttemptAt && maySend(operation, step)) {
                Membership.Member member = membership.member(step.instance);
                step.state = Step.State.SENT;
                step.generation = member.generation;
                step.attempts++;
                step.answerDeadline = now + ANSWER_TIMEOUT;
                // Persisted as sent before it is sent: after a restart it counts as unknown.
                persistSent(operation, step, actions);
                actions.send(operation, step, member.generation);
                return true;
            }
        }
        return false;
    }

    /** If the state cannot be persisted the command is not sent, and is tried again later. */
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

    /**
     * Whether the instance is known to be alive and the limit on concurrent commands and drained instances allows it.
     */
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

    /** Returns the next time at which a decision may be due; Long.MAX_VALUE if there is none. */
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

    /** Counts an operation's steps by state. */
    public static Map<Step.State, Integer> countByState(Operation operation) {
        Map<Step.State, Integer> counts = new java.util.EnumMap<>(Step.State.class);
        operation.steps.forEach(step -> counts.merge(step.state, 1, Integer::sum));
        return counts;
    }
}
