package honeygap.lab.soak;

import java.util.EnumMap;
import java.util.Map;
import java.util.Random;

/**
 * Client load and agent settings of a run, generated from a seed.
 *
 * @param deadlineMs deadline of each method in milliseconds
 * @param clientsPerAgent number of concurrent clients per agent
 * @param maxSockets limit of open file descriptors of an agent
 * @param connectsDuringShutdown whether clients open connections to an agent that shuts down as long as it listens
 */
record SoakLoad(Map<SoakMethod, Long> deadlineMs, int clientsPerAgent, int maxSockets, boolean connectsDuringShutdown) {

    private static final long MIN_DEADLINE_MS = 800;
    private static final long MAX_DEADLINE_MS = 5000;
    static final int CLIENTS_PER_AGENT = 4;
    private static final int MAX_SOCKETS = 512;
    private static final int CROWD_CLIENTS_PER_AGENT = 60;
    private static final int MAX_CROWD_CLIENTS = 360;
    private static final int CROWD_MAX_SOCKETS = 96;
    private static final int CROWD_ONE_IN = 4;
    private static final int CONNECTS_DURING_SHUTDOWN_ONE_IN = 3;
    /** Operators send SIGKILL this long after SIGTERM plus the longest deadline, which is capped for this purpose. */
    private static final long KILL_GRACE_MS = 700;
    private static final long MAX_COUNTED_DEADLINE_MS = 3000;

    static SoakLoad generate(long seed, int agents) {
        // A separate generator, so that draws made here do not change the planned faults.
        Random random = new Random(~seed);
        Map<SoakMethod, Long> deadlines = new EnumMap<>(SoakMethod.class);
        long longest = MIN_DEADLINE_MS + random.nextInt((int) (MAX_DEADLINE_MS - MIN_DEADLINE_MS) + 1);
        for (SoakMethod method : SoakMethod.values()) {
            deadlines.put(method, MIN_DEADLINE_MS + random.nextInt((int) (longest - MIN_DEADLINE_MS) + 1));
        }
        boolean isCrowd = random.nextInt(CROWD_ONE_IN) == 0;
        boolean connectsDuringShutdown = random.nextInt(CONNECTS_DURING_SHUTDOWN_ONE_IN) == 0;
        return new SoakLoad(deadlines, isCrowd
                ? Math.min(CROWD_CLIENTS_PER_AGENT, Math.max(CLIENTS_PER_AGENT, MAX_CROWD_CLIENTS / agents)) : CLIENTS_PER_AGENT,
                isCrowd ? CROWD_MAX_SOCKETS : MAX_SOCKETS, connectsDuringShutdown);
    }

    /** Earliest time of the SIGKILL, in milliseconds after SIGTERM. */
    long killAfterMs() {
        long longest = deadlineMs.values().stream().mapToLong(Long::longValue).max().orElse(MAX_COUNTED_DEADLINE_MS);
        return KILL_GRACE_MS + Math.min(MAX_COUNTED_DEADLINE_MS, longest);
    }
}
