import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** Traffic rises after a quiet time, and the connections to a new build's appliances come up late. */
final class ExposureWindow {

    private static final int OLD_COUNT = 10;
    private static final int NEW_COUNT = 2;
    private static final long SERVICE_MS = 20;
    private static final long LATE_MS = 235;
    private static final double CAP = 0.168;
    /** The window of the settings, longer by the slack of sockets. */
    private static final double WINDOW_MS = 2000 + 50;
    /** From the page on the protocol: what is let through. */
    private static final double LET_THROUGH = 2;
    private static final double LET_THROUGH_SHARE = 0.04;
    private static final int ROUNDS = 4;
    private static final int QUIET_PER_S = 5;
    /** The page on service names up to 750 RPCs a second for one agent. */
    private static final int BUSY_PER_S = 720;
    private static final double QUIET_S = 11;
    private static final double BUSY_S = 2.6;

    private ExposureWindow() {
    }

    public static void main(String[] args) throws Exception {
        Bench.main(args, ExposureWindow::run);
    }

    /** A client's connection that rests, and since when. */
    private record Resting(Bench.Client client, double sinceMs) { }

    private static boolean run(Bench bench, boolean trouble) throws Exception {
        Bench.Discovery discovery = bench.new Discovery();
        String state = "42/1/Progressing/" + CAP;
        Bench.Desk desk = bench.new Desk(state);
        long sinceMs = System.currentTimeMillis() - 60_000;
        for (int i = 0; i < OLD_COUNT + NEW_COUNT; i++) {
            boolean isNew = i >= OLD_COUNT;
            Bench.Appliance appliance = bench.new Appliance((isNew ? "new-" : "old-") + i, isNew ? 42 : 41, SERVICE_MS);
            discovery.list(appliance.name, appliance.entry("SERVING", isNew ? sinceMs : 0));
        }
        int port = Bench.freePort();
        Path config = bench.folder.resolve("config.json");
        Files.writeString(config, Settings.booking("n1", port, discovery, desk, state));
        bench.startAgent("agent", Map.of("PROXY_CONFIG", config.toString(), "PROXY_NAME", "n1",
                "PROXY_LISTEN", "127.0.0.1:" + port, "PROXY_DISCOVERY", "127.0.0.1:" + discovery.port), "");
        bench.awaitReady(port);
        if (trouble) {
            bench.lateness = (appliance, connection) -> appliance.build == 42 ? LATE_MS : 0;
        }
        List<Double> taken = Collections.synchronizedList(new ArrayList<>());
        AtomicInteger served = new AtomicInteger();
        ConcurrentLinkedDeque<Resting> resting = new ConcurrentLinkedDeque<>();
        ExecutorService clients = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        int number = 0;
        for (int round = 0; round < ROUNDS; round++) {
            double dueMs = bench.ms();
            double busyFromMs = dueMs + 1000 * QUIET_S;
            while (dueMs < busyFromMs + 1000 * BUSY_S) {
                Bench.sleep(Math.round(dueMs - bench.ms()));
                String id = "r" + number++;
                clients.submit(() -> {
                    ask(bench, port, id, resting, taken, served);
                    return null;
                });
                dueMs += 1000.0 / (dueMs >= busyFromMs ? BUSY_PER_S : QUIET_PER_S);
            }
        }
        Bench.sleep(1500);
        if (served.get() < number * 0.9) {
            throw new Bench.CannotRun("only " + served + " of " + number + " were served");
        }
        return judge(bench, List.copyOf(taken));
    }

    private static void ask(Bench bench, int port, String id, ConcurrentLinkedDeque<Resting> resting, List<Double> taken,
            AtomicInteger served) throws IOException {
        Resting last = resting.pollLast();
        // The agent may close a connection that has rested for 2 s.
        boolean isFresh = last != null && bench.ms() < last.sinceMs + 1000;
        if (last != null && !isFresh) {
            last.client.close();
        }
        Bench.Client client = isFresh ? last.client : bench.new Client(port);
        taken.add(bench.ms());
        served.addAndGet(client.ask("trip-status", id, "k" + id, 3000).startsWith("value") ? 1 : 0);
        resting.addLast(new Resting(client, bench.ms()));
    }

    private static boolean judge(Bench bench, List<Double> taken) {
        double[] rpcs = taken.stream().mapToDouble(at -> at).sorted().toArray();
        double[] picks = List.copyOf(bench.arrivals).stream().filter(arrival -> arrival.appliance().build == 42)
                .mapToDouble(Bench.Arrival::atMs).sorted().toArray();
        int broken = 0;
        double worst = Double.NEGATIVE_INFINITY;
        String worstText = "";
        int pickFrom = 0;
        for (int last = 0; last < picks.length; last++) {
            double to = picks[last];
            while (picks[pickFrom] <= to - WINDOW_MS) {
                pickFrom++;
            }
            int sent = last - pickFrom + 1;
            long count = java.util.Arrays.stream(rpcs).filter(at -> at > to - WINDOW_MS && at <= to).count();
            double limit = (1 + CAP * count) * (1 + LET_THROUGH_SHARE) + LET_THROUGH;
            broken += sent > limit ? 1 : 0;
            if (sent - limit > worst) {
                worst = sent - limit;
                worstText = String.format("%d picks in the %.0f ms up to %.0f ms, with %d RPCs taken; %.1f are let through", sent,
                        WINDOW_MS, to, count, limit);
            }
        }
        bench.say("the fullest window: " + worstText + "; " + broken + " of " + picks.length + " windows were over");
        return broken == 0;
    }
}
