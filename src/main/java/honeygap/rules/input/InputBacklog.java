package honeygap.rules.input;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The connections whose input has exceeded their {@link InputQuota}, in round-robin order. Only a few of them are
 * processed in one iteration of the event loop, after all other input and the decisions on it.
 */
public final class InputBacklog {

    /** A connection with unprocessed input. */
    public interface Waiting {

        /** Processes the connection's share of an iteration. */
        void processBacklog();
    }

    private static final int CONNECTIONS_PER_TURN = 8;

    private final Set<Waiting> waiting = new LinkedHashSet<>();
    private int leftInTurn;

    /** Queues a connection behind all others; a connection that is queued keeps its place. */
    public void add(Waiting connection) {
        waiting.add(connection);
    }

    /** Removes a connection that has closed. */
    public void remove(Waiting connection) {
        waiting.remove(connection);
    }

    /** Whether the connection is queued. */
    public boolean contains(Waiting connection) {
        return waiting.contains(connection);
    }

    /** Begins an iteration of the event loop. */
    public void startTurn() {
        leftInTurn = Math.min(waiting.size(), CONNECTIONS_PER_TURN);
    }

    /** Takes the next connection to process in this iteration; null if there is none. */
    public Waiting next() {
        if (leftInTurn <= 0 || waiting.isEmpty()) {
            return null;
        }
        leftInTurn--;
        Waiting next = waiting.iterator().next();
        waiting.remove(next);
        return next;
    }

    /** Whether no connection waits. */
    public boolean isEmpty() {
        return waiting.isEmpty();
    }
}
