package honeygap.manage;

import java.util.ArrayList;
import java.util.List;

/** A command for one or more instances, from the request to the end of each of its steps. */
public final class Operation {

    /** State of the whole operation. */
    public enum State { RUNNING, PAUSED, CANCELLING, DONE, FAILED, CANCELLED;

        public boolean isOpen() {
            return this == RUNNING || this == PAUSED || this == CANCELLING;
        }
    }

    /** Chosen by the requester; the same id means the same operation. */
    public final String id;
    /** Ascending in the order of requests; instances refuse commands with lower numbers than the newest. */
    public final long number;
    /** The command for the instances, such as drain. */
    public final String action;
    public final String argument;
    /** Limit on instances that have a command in flight or are out of service, over all operations. */
    public final int maxConcurrent;
    /** The operation pauses after this many steps that were definitely not applied; 0 means never. */
    public final int failuresToPause;
    public final long requestedAt;
    public final long deadline;
    final List<Step> steps = new ArrayList<>();
    State state = State.RUNNING;
    /** Steps that had failed when it was resumed last: they do not pause it again. */
    int acceptedFailures;

    public Operation(String id, long number, String action, String argument, List<String> instances, int maxConcurrent,
                     int failuresToPause, long requestedAt, long deadline) {
        this.id = id;
        this.number = number;
        this.action = action;
        this.argument = argument;
        this.maxConcurrent = maxConcurrent;
        this.failuresToPause = failuresToPause;
        this.requestedAt = requestedAt;
        this.deadline = deadline;
        instances.forEach(instance -> steps.add(new Step(instance)));
    }

    public State state() {
        return state;
    }

    public List<Step> steps() {
        return steps;
    }

    public boolean isOpen() {
        return state.isOpen();
    }

    boolean hasInstance(String instance) {
        return steps.stream().anyMatch(step -> step.instance.equals(instance));
    }

    /** Number of steps that were definitely not applied. */
    int failedSteps() {
        return (int) steps.stream().filter(step -> step.state == Step.State.NOT_APPLIED).count();
    }

    /** Whether this is the same command, whatever its id. */
    boolean isSameCommand(String action, String argument, List<String> instances) {
        return this.action.equals(action) && this.argument.equals(argument)
                && steps.stream().map(step -> step.instance).toList().equals(instances);
    }

    /** Persistent form of a step. */
    public record StepSnapshot(String instance, Step.State state, long generation, int attempts, String detail) { }

    /** Persistent form of an operation. */
    public record Snapshot(String id, long number, String action, String argument, int maxConcurrent,
                           int failuresToPause, int acceptedFailures, long requestedAt, long deadline, State state,
                           List<StepSnapshot> steps) { }

    public Snapshot snapshot() {
        return new Snapshot(id, number, action, argument, maxConcurrent, failuresToPause, acceptedFailures,
                requestedAt, deadline, state,
                steps.stream().map(step -> new StepSnapshot(step.instance, step.state, step.generation, step.attempts,
                        step.detail)).toList());
    }

    public static Operation of(Snapshot snapshot) {
        return restore(snapshot, snapshot.requestedAt);
    }

    /** Restores an operation with its full time budget from requestedAt on. */
    static Operation restore(Snapshot snapshot, long requestedAt) {
        Operation operation = new Operation(snapshot.id, snapshot.number, snapshot.action, snapshot.argument,
                snapshot.steps.stream().map(step -> step.instance).toList(), snapshot.maxConcurrent,
                snapshot.failuresToPause,
                requestedAt, requestedAt + snapshot.deadline - snapshot.requestedAt);
        operation.state = snapshot.state;
        operation.acceptedFailures = snapshot.acceptedFailures;
        for (int i = 0; i < snapshot.steps.size(); i++) {
            StepSnapshot source = snapshot.steps.get(i);
            Step step = operation.steps.get(i);
            step.state = source.state;
            step.generation = source.generation;
            step.attempts = source.attempts;
            step.detail = source.detail;
        }
        return operation;
    }
}
