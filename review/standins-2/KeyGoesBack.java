import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Two RPCs of one booking cross: the first waits for a connection to the earlier build, the second is answered. */
final class KeyGoesBack {

    private static final int OLD_COUNT = 8;
    private static final int NEW_COUNT = 4;
    private static final long SERVICE_MS = 10;
    private static final long LATE_MS = 240;
    /** From the page on the protocol: from when after a good answer the key counts as answered, and the slack of limits. */
    private static final double ANSWERED_MS = 150 + 50;
    private static final int BURSTS = 4;
    private static final int PAIRS = 30;

    private KeyGoesBack() {
    }

    public static void main(String[] args) throws Exception {
        Bench.main(args, KeyGoesBack::run);
    }

    private static boolean run(Bench bench, boolean trouble) throws Exception {
        Bench.Discovery discovery = bench.new Discovery();
        Bench.Desk desk = bench.new Desk("42/2/Progressing/0.56");
        long sinceMs = System.currentTimeMillis() - 60_000;
        for (int i = 0; i < OLD_COUNT; i++) {
            Bench.Appliance appliance = bench.new Appliance("old-" + i, 41, SERVICE_MS);
            discovery.list(appliance.name, appliance.entry("SERVING", 0));
        }
        for (int i = 0; i < NEW_COUNT; i++) {
            Bench.Appliance appliance = bench.new Appliance("new-" + i, 42, SERVICE_MS);
            discovery.list(appliance.name, appliance.entry("SERVING", sinceMs));
        }
        int port = Bench.freePort();
        Path config = bench.folder.resolve("config.json");
        Files.writeString(config, Settings.booking("n1", port, discovery, desk, "42/2/Progressing/0.56"));
        bench.startAgent("agent", Map.of("PROXY_CONFIG", config.toString(), "PROXY_NAME", "n1",
                "PROXY_LISTEN", "127.0.0.1:" + port, "PROXY_DISCOVERY", "127.0.0.1:" + discovery.port), "");
        bench.awaitReady(port);
        if (trouble) {
            // A third of the appliances: every second one of the earlier build.
            bench.lateness = (appliance, connection) -> appliance.build == 41 && appliance.name.charAt(4) % 2 == 0
                    ? LATE_MS : 0;
        }
        for (int burst = 0; burst < BURSTS; burst++) {
            // Longer than the time after which resting connections are closed.
            Bench.sleep(burst == 0 ? 0 : 10_500);
            List<Thread> threads = new ArrayList<>();
            for (int pair = 0; pair < PAIRS; pair++) {
                for (int half = 0; half < 2; half++) {
                    String id = "b" + burst + "-p" + pair + "-" + half;
                    String key = "booking-" + burst + "-" + pair;
                    long after = pair * 5 + half * 3;
                    threads.add(Bench.start(() -> {
                        Bench.Client client = bench.new Client(port);
                        Bench.sleep(60 + after);
                        client.ask("trip-status", id, key, 3000);
                        client.close();
                    }));
                }
            }
            for (Thread thread : threads) {
                thread.join(5000);
            }
        }
        Bench.sleep(500);
        Map<String, Double> answeredByNew = new HashMap<>();
        for (Bench.Arrival answer : List.copyOf(bench.answers)) {
            if (answer.appliance().build == 42) {
                answeredByNew.merge(answer.key(), answer.atMs(), Math::min);
            }
        }
        int back = 0;
        for (Bench.Arrival arrival : List.copyOf(bench.arrivals)) {
            Double answered = answeredByNew.get(arrival.key());
            if (arrival.appliance().build == 41 && answered != null && arrival.atMs() > answered + ANSWERED_MS) {
                back++;
                bench.say(String.format("%s, key %s, reached %s of build 41 %.0f ms after build 42 had answered that key",
                        arrival.id(), arrival.key(), arrival.appliance().name, arrival.atMs() - answered));
            }
        }
        bench.say(back + " keys of " + BURSTS * PAIRS + " went back to the earlier build; "
                + answeredByNew.size() + " had an answer of the new one");
        return back == 0;
    }
}
