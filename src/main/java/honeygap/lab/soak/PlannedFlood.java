package honeygap.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Clients that flood one agent.
 *
 * @param atMs start in milliseconds after the start of the load
 * @param durationMs duration in milliseconds
 * @param clients number of clients
 */
record PlannedFlood(FloodKind kind, int agent, long atMs, long durationMs, int clients) {

    private static final long MIN_DURATION_MS = 500;
    private static final int DURATION_RANGE_MS = 2500;
    private static final int MAX_CLIENTS = 6;
    private static final long END_MARGIN_MS = 3000;

    /** Generates a flood for every other agent, of kinds that open no RPC. */
    static List<PlannedFlood> generate(long seed, int agents, long loadMs) {
        // A generator of its own, so that draws made here do not change the planned faults.
        Random random = new Random(Long.reverse(seed));
        List<FloodKind> kinds = FloodKind.withoutRpcs();
        List<PlannedFlood> floods = new ArrayList<>();
        for (int i = 0; i < Math.max(1, agents / 2); i++) {
            floods.add(new PlannedFlood(kinds.get(random.nextInt(kinds.size())), random.nextInt(agents),
                    random.nextInt((int) Math.max(1, loadMs - END_MARGIN_MS)),
                    MIN_DURATION_MS + random.nextInt(DURATION_RANGE_MS), 1 + random.nextInt(MAX_CLIENTS)));
        }
        return List.copyOf(floods);
    }

    @Override
    public String toString() {
        return String.format("%.1f s %s at agent %d by %d clients for %.1f s", atMs / 1000.0, kind, agent, clients,
                durationMs / 1000.0);
    }
}
