package honeygap.net;

import honeygap.rules.shutdown.ShutdownSchedule;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;

/** One protocol that an agent speaks: a core with its front and back, on the agent's loop. */
public interface Protocol extends Counters.Group {

    /** What turns on the loop. */
    List<Loop.Core> steppers();

    /** Makes ready, before the loop turns. */
    default void warmUp() {
    }

    /** On the loop, in its first turn. */
    void start();

    /** Whether clients may come yet; on the loop. */
    default boolean isReady() {
        return true;
    }

    /** Lets clients come; where. */
    InetSocketAddress listen() throws IOException;

    /** The longest deadline of all methods, in tenths of a millisecond; from any thread. */
    long longestDeadline();

    /** The process was told to end, and goes by this schedule; on the loop. */
    void shutDown(ShutdownSchedule schedule);

    /** From now on connections are closed between RPCs. */
    void closeBetweenRpcs();

    /** Takes no clients and closes connections between RPCs, or takes them again. */
    void setDrained(boolean isDrained);

    /** Load goes to and comes from others there, from then on; on the loop. */
    default void shareLoad(Shared sharing) {
    }

    /** How many connections of clients there are, those included that are closed once all has been written to them. */
    int connectionCount();
}
