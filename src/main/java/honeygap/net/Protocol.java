package honeygap.net;

import honeygap.rules.shutdown.ShutdownSchedule;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * A protocol that an agent serves: a rules engine with its downstream and upstream side, on the agent's event loop.
 */
public interface Protocol extends Counters.Group {

    /** The components that the loop drives. */
    List<Loop.Stepper> steppers();

    /** Runs code paths in advance, before the loop starts. */
    default void warmUp() {
    }

    /** Called on the loop in its first iteration. */
    void start();

    /** Whether clients may connect yet; on the loop. */
    default boolean isReady() {
        return true;
    }

    /** Starts listening for clients; returns the bound address. */
    InetSocketAddress listen() throws IOException;

    /** The longest deadline of all methods, in tenths of a millisecond; callable from any thread. */
    long longestDeadline();

    /** A reload of the configuration was requested at this time, in tenths of a millisecond; on the loop. */
    void reloadRequested(long at);

    /** A shutdown was requested and follows this schedule; on the loop. */
    void shutDown(ShutdownSchedule schedule);

    /** From now on closes each client connection as soon as no RPC is open on it. */
    void closeBetweenRpcs();

    /** Refuses clients and closes connections between RPCs, or accepts clients again. */
    void setDrained(boolean isDrained);

    /** Starts exchanging load figures with other agents; on the loop. */
    default void shareLoad(LoadSharing sharing) {
    }

    /** The number of client connections, including those that will be closed once their output is written. */
    int connectionCount();
}
