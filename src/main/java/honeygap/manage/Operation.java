package honeygap.manage;

import java.util.ArrayList;
import java.util.List;

/** One command to several instances, from its asking to the end of each of its steps. */
public final class Operation {

    /** How it stands as a whole. */
    public enum State { RUNNING, PAUSED, CANCELLING, DONE, FAILED, CANCELLED;

        public boolean isOpen() {
            return this == RUNNING || this == PAUSED || this == CANCELLING;
        }
    }

    /** By its asker; the same id is the same operation. */
    public final String id;
    /** In the order of their asking; fences what is older. */
    public final long number;
    /** What instances are told, such as drain. */
    public final String action;
    public final String argument;
    /** How many may be on their way or out of service at once, all operations together. */
    public final int atOnce;
    /** After so many steps that were surely not applied it stops; 0 is never. */
    public final int failuresToPause;
    public final long askedAt;
    public final long deadline;
    final List<Step> steps = new ArrayList<>();
    State state = State.RUNNING;

    public Operation(String id, long number, String action, String argument, List<String> instances, int atOnce,
                     int failuresToPause, long askedAt, long deadline) {
        this.id = id;
        this.number = number;
        this.action = action;
        this.argument = argument;
        this.atOnce = atOnce;
        this.failuresToPause = failuresToPause;
        this.askedAt = askedAt;
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

    /** Whether it is the same command, whoever gave it another id. */
    boolean isSame(String action, String argument, List<String> instances) {
        return this.action.equals(action) && this.argument.equals(argument)
                && steps.stream().map(step -> step.instance).toList().equals(instances);
    }

    /** One of its steps, as it is written down. */
    public record WrittenStep(String instance, Step.State state, long generation, int tries, String word) { }

    /** All of it, as it is written down. */
    public record Written(String id, long number, String action, String argument, int atOnce, int failuresToPause,
                          long askedAt, long deadline, State state, List<WrittenStep> steps) { }

    public Written written() {
        return new Written(id, number, action, argument, atOnce, failuresToPause, askedAt, deadline, state,
                steps.stream().map(step -> new WrittenStep(step.instance, step.state, step.generation, step.tries,
                        step.word)).toList());
    }

    public static Operation of(Written written) {
        return restored(written, written.askedAt);
    }

    /** The same with its whole time from then on. */
    static Operation restored(Written written, long askedAt) {
        Operation operation = new Operation(written.id, written.number, written.action, written.argument,
                written.steps.stream().map(step -> step.instance).toList(), written.atOnce, written.failuresToPause,
                askedAt, askedAt + written.deadline - written.askedAt);
        operation.state = written.state;
        for (int i = 0; i < written.steps.size(); i++) {
            WrittenStep from = written.steps.get(i);
            Step step = operation.steps.get(i);
            step.state = from.state;
            step.generation = from.generation;
            step.tries = from.tries;
            step.word = from.word;
        }
        return operation;
    }
}
