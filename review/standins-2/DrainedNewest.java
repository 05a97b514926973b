import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Discovery moves, the new place is crowded, and an appliance of the newest build drains meanwhile. */
final class DrainedNewest {

    private static final int COUNT = 6;
    private static final long SERVICE_MS = 20;
    /** From the pages: 4 s after SIGHUP, or 6 s after the change; then the grace, and the slack of sockets. */
    private static final double AFTER_SIGNAL_MS = 4000;
    private static final double AFTER_CHANGE_MS = 6000;
    private static final double GRACE_MS = 500 + 50;
    private static final long CROWDED_MS = 20_000;

    private DrainedNewest() {
    }

    public static void main(String[] args) throws Exception {
        Bench.main(args, DrainedNewest::run);
    }

    private static boolean run(Bench bench, boolean trouble) throws Exception {
        Bench.Discovery before = bench.new Discovery();
        Bench.Discovery after = bench.new Discovery();
        Bench.Desk desk = bench.new Desk("42/3/Healthy/1");
        long sinceMs = System.currentTimeMillis() - 60_000;
        List<Bench.Appliance> appliances = new ArrayList<>();
        for (int i = 0; i < COUNT; i++) {
            Bench.Appliance appliance = bench.new Appliance("node-" + i, 42, SERVICE_MS);
            appliances.add(appliance);
            before.list(appliance.name, appliance.entry("SERVING", sinceMs));
            after.list(appliance.name, appliance.entry("SERVING", sinceMs));
        }
        int port = Bench.freePort();
        Path config = bench.folder.resolve("config.json");
        Files.writeString(config, Settings.booking("n1", port, before, desk, "42/3/Healthy/1"));
        Process agent = bench.startAgent("agent", Map.of("PROXY_CONFIG", config.toString(), "PROXY_NAME", "n1",
                "PROXY_LISTEN", "127.0.0.1:" + port, "PROXY_DISCOVERY", "127.0.0.1:" + before.port), "");
        bench.awaitReady(port);
        List<Thread> asking = new ArrayList<>();
        for (int c = 0; c < 4; c++) {
            int client = c;
            asking.add(Bench.start(() -> {
                Bench.Client connection = bench.new Client(port);
                for (int i = 0; ; i++) {
                    connection.ask(i % 4 == 0 ? "crew-assign" : "trip-status", "c" + client + "-" + i, "k" + client + "-" + i,
                            2000);
                    Bench.sleep(60);
                }
            }));
        }
        Bench.await("a watch", 12_000, () -> before.calls.get() > 0);
        Bench.sleep(4000);
        Path replaced = bench.folder.resolve("config.new");
        Files.writeString(replaced, Settings.booking("n1", port, after, desk, "42/3/Healthy/1"));
        Files.move(replaced, config, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        after.crowded = trouble;
        bench.signal(agent, "HUP");
        double signalled = bench.ms();
        Bench.sleep(1000);
        Bench.Appliance drained = appliances.get(0);
        double changed = bench.ms();
        after.list(drained.name, drained.entry("DRAINING", sinceMs));
        // It turns away new work from when it may no longer come.
        double told = Math.max(signalled + AFTER_SIGNAL_MS, changed + AFTER_CHANGE_MS);
        drained.turnsAwayFromMs = told + GRACE_MS;
        Bench.sleep(500);
        before.close();
        after.askAsAnother(CROWDED_MS - 1500);
        double ended = bench.ms();
        bench.note("the new discovery is no longer crowded");
        after.crowded = false;
        Bench.sleep(2000);
        int late = 0;
        int toOthers = 0;
        double last = 0;
        for (Bench.Arrival arrival : List.copyOf(bench.arrivals)) {
            if (arrival.atMs() > told + GRACE_MS && arrival.atMs() < ended) {
                late += arrival.appliance() == drained ? 1 : 0;
                toOthers += arrival.appliance() == drained ? 0 : 1;
                last = arrival.appliance() == drained ? arrival.atMs() : last;
            }
        }
        if (!agent.isAlive() || after.calls.get() == 0 || asking.stream().anyMatch(thread -> !thread.isAlive())) {
            throw new Bench.CannotRun("the agent did not ask the new place, or a client has ended");
        }
        bench.say(late + " picks reached the draining " + drained.name + " later than the grace after the drain counted as told, "
                + (late == 0 ? "" : String.format("the last %.1f s after the drain, ", (last - changed) / 1000)) + toOthers
                + " reached the others");
        return late == 0;
    }
}
