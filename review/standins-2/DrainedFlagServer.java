import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Discovery of the flag servers moves, the new place is crowded, and a flag server drains meanwhile. */
final class DrainedFlagServer {

    /** From the pages: 4 s after SIGHUP, or 6 s after the change; then the grace, and the slack of sockets. */
    private static final double AFTER_SIGNAL_MS = 4000;
    private static final double AFTER_CHANGE_MS = 6000;
    private static final double GRACE_MS = 500 + 50;
    private static final long CROWDED_MS = 14_000;

    private DrainedFlagServer() {
    }

    public static void main(String[] args) throws Exception {
        Bench.main(args, DrainedFlagServer::run);
    }

    private static String entry(String name, int port, String status) {
        return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"teku\",\"type\":\"m\",\"group\":0,"
                + "\"status\":\"" + status + "\",\"weight\":1.0,\"since_ms\":0,\"release\":1}";
    }

    private static String file(int port, Bench.Discovery discovery, Bench.Desk desk) {
        return "{\"name\":\"flags\",\"listen\":\"127.0.0.1:" + port + "\",\"list\":{\"address\":\"127.0.0.1:" + discovery.port
                + "\",\"askWithin\":\"4s\"},\"rollout\":{\"caps\":[0.1,0.5],\"desk\":{\"address\":\"127.0.0.1:" + desk.port
                + "\"}}}";
    }

    private static boolean run(Bench bench, boolean trouble) throws Exception {
        FlagServers servers = new FlagServers(bench);
        int first = servers.start("s1");
        int second = servers.start("s2");
        Bench.Desk desk = bench.new Desk("1/1/Healthy/1");
        Bench.Discovery before = bench.new Discovery();
        Bench.Discovery after = bench.new Discovery();
        for (Bench.Discovery discovery : List.of(before, after)) {
            discovery.list("s1", entry("s1", first, "SERVING"));
            discovery.list("s2", entry("s2", second, "SERVING"));
        }
        int port = Bench.freePort();
        Path file = bench.folder.resolve("flags.json");
        Files.writeString(file, file(port, before, desk));
        Process agent = bench.startAgent("agent", Map.of(), " --flags " + file);
        Bench.await("an evaluation", 20_000, () -> servers.evaluate(port, "same-day-rebooking", "first") == 200);
        AtomicInteger lost = new AtomicInteger();
        Thread asking = Bench.start(() -> {
            for (int i = 0; ; i++) {
                servers.evaluate(port, "same-day-rebooking", "u" + i);
                lost.addAndGet(servers.track(port, "u" + i) == 500 ? 1 : 0);
                Bench.sleep(50);
            }
        });
        Bench.sleep(3000);
        Path replaced = bench.folder.resolve("flags.new");
        Files.writeString(replaced, file(port, after, desk));
        Files.move(replaced, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        after.crowded = trouble;
        bench.signal(agent, "HUP");
        double signalled = bench.ms();
        Bench.sleep(1000);
        double changed = bench.ms();
        after.list("s1", entry("s1", first, "DRAINING"));
        // New work is turned away from when it may no longer come.
        servers.turnsAwayFrom.put("s1", Math.max(signalled + AFTER_SIGNAL_MS, changed + AFTER_CHANGE_MS) + GRACE_MS);
        Bench.sleep(500);
        before.close();
        after.askAsAnother(CROWDED_MS - 1500);
        double ended = bench.ms();
        bench.note("the new discovery is no longer crowded");
        after.crowded = false;
        Bench.sleep(3000);
        double told = Math.max(signalled + AFTER_SIGNAL_MS, changed + AFTER_CHANGE_MS);
        int late = 0;
        int toOther = 0;
        double last = 0;
        for (FlagServers.Got got : List.copyOf(servers.got)) {
            if (got.atMs() > told + GRACE_MS && got.atMs() < ended) {
                late += got.server().equals("s1") ? 1 : 0;
                toOther += got.server().equals("s2") ? 1 : 0;
                last = got.server().equals("s1") ? got.atMs() : last;
            }
        }
        if (before.calls.get() == 0 || after.calls.get() == 0 || !agent.isAlive() || !asking.isAlive()) {
            throw new Bench.CannotRun("the agent did not ask both places");
        }
        bench.say(late + " requests reached the draining s1 later than the grace after the drain counted as told, the last "
                + (late == 0 ? "none" : String.format("%.1f s after the drain", (last - changed) / 1000)) + "; " + toOther
                + " reached s2; " + lost + " events failed");
        return late == 0;
    }
}
