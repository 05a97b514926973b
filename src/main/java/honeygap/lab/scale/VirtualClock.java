package honeygap.lab.scale;

import java.util.PriorityQueue;

/**
 * Runs tasks in order of time, in tenths of a millisecond; tasks with the same time run in the order of scheduling.
 */
public final class VirtualClock {

    private record Task(long at, long sequence, Runnable work) { }

    private final PriorityQueue<Task> tasks = new PriorityQueue<>((left, right) ->
            left.at != right.at ? Long.compare(left.at, right.at) : Long.compare(left.sequence, right.sequence));
    private long now;
    private long nextSequence;

    /** Time of the currently running task. */
    public long now() {
        return now;
    }

    /** Schedules a task; a time in the past counts as the current time. */
    public void schedule(long time, Runnable work) {
        tasks.add(new Task(Math.max(now, time), nextSequence++, work));
    }

    /** Runs all tasks up to and including this time. */
    public void runTo(long time) {
        while (!tasks.isEmpty() && tasks.peek().at <= time) {
            Task task = tasks.poll();
            now = task.at;
            task.work.run();
        }
        now = time;
    }
}
