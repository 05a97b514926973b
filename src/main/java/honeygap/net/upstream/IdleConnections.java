package honeygap.net.upstream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The idle connections to one appliance. A connection rests for some time after each answer; once it has rested, the
 * most recently used one is taken first, so that the others can time out.
 */
final class IdleConnections {

    /** In the order in which their rest ends. */
    private final ArrayDeque<UpstreamConnection> resting = new ArrayDeque<>();
    /** Ordered by last use, the most recent one at the end. */
    private final ArrayDeque<UpstreamConnection> rested = new ArrayDeque<>();

    /** Adds a connection that has just become idle. */
    void add(UpstreamConnection connection) {
        connection.isIdle = true;
        resting.addLast(connection);
    }

    /** Removes and returns the most recently used connection that has rested; null if there is none. */
    UpstreamConnection pollRested() {
        while (!resting.isEmpty() && resting.peekFirst().isPauseOver()) {
            rested.addLast(resting.pollFirst());
        }
        return taken(rested.pollLast());
    }

    /** Removes and returns the connection whose rest ends first; null if none rests. */
    UpstreamConnection pollResting() {
        return taken(resting.pollFirst());
    }

    private static UpstreamConnection taken(UpstreamConnection connection) {
        if (connection != null) {
            connection.isIdle = false;
        }
        return connection;
    }

    /** Removes the connection if it is idle. */
    void remove(UpstreamConnection connection) {
        if (connection.isIdle && !resting.remove(connection)) {
            rested.remove(connection);
        }
        connection.isIdle = false;
    }

    List<UpstreamConnection> all() {
        List<UpstreamConnection> all = new ArrayList<>(rested);
        all.addAll(resting);
        return all;
    }
}
