import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 3: a new configuration moves discovery, calls to the new address fail because it is crowded, and appliances of
 * the earlier build drain meanwhile, as their successors run.
 */
final class DrainAfterReload {

    /** Whatever discovery has to tell counts as told so long after SIGHUP. */
    private static final int TOLD_MS = 4_000;
    /** The grace for drains, and what every limit is longer by on sockets. */
    private static final int GRACE_MS = 500 + 50;
    private static final int CROWDED_MS = 7_000;
    private static final int DRAIN_MS = 2_600;
    private static final int LISTED_MS = 3_300;
    private static final int GONE_MS = DRAIN_MS + 3_000;

    private final Rig rig;
    private final AtomicInteger ids = new AtomicInteger(), served = new AtomicInteger();

    private DrainAfterReload(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) throws Exception {
        int code = 2;
        try (Rig rig = new Rig(arguments[0])) {
            code = new DrainAfterReload(rig).run();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private int run() throws Exception {
        Rig.Discovery discovery = rig.new Discovery();
        Rig.Desk desk = rig.new Desk(42, 3, "Progressing", 1.0);
        desk.set(42, 3, "Progressing", 1.0);
        List<Rig.Appliance> earlier = new ArrayList<>(), newer = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Rig.Appliance appliance = rig.new Appliance("s-" + i, "teku", i < 5 ? 41 : 42, 0);
            (i < 5 ? earlier : newer).add(appliance);
            discovery.list(appliance);
        }
        Rig.Agent agent = rig.new Agent();
        agent.start(discovery, desk, Rig.settings(), 1024);
        ServerSocket newAddress = discovery.anotherAddress();
        List<Rig.Client> clients = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            clients.add(new Rig.Client(agent.port));
        }
        // A quiet agent: about nine requests a second, and pauses of some seconds.
        ask(clients, 30, 110);
        double signalled = Rig.now();
        if (rig.trouble) {
            discovery.crowdedUntil = signalled + CROWDED_MS;
            agent.configure(newAddress.getLocalPort(), discovery, desk, Rig.settings(), 1024);
            signalled = Rig.now();
            agent.signal("HUP");
            discovery.closeOldAddressLater(1500);
        }
        ask(clients, 15, 110);
        sleepUntil(signalled + DRAIN_MS);
        for (Rig.Appliance appliance : earlier) {
            appliance.isDraining = true;
            rig.note(appliance.name + " drains, its successor runs");
        }
        sleepUntil(signalled + LISTED_MS);
        for (Rig.Appliance appliance : earlier) {
            appliance.status = "DRAINING";
            discovery.list(appliance);
            discovery.list(rig.new Appliance("s-1" + appliance.name.charAt(2), "teku", 42, System.currentTimeMillis() - 700));
        }
        sleepUntil(signalled + TOLD_MS + GRACE_MS + 100);
        ask(clients, 20, 40);
        sleepUntil(signalled + GONE_MS);
        int late = 0;
        for (Rig.Attempt attempt : rig.attempts) {
            if (attempt.appliance().isDraining && attempt.at() > signalled + TOLD_MS + GRACE_MS) {
                late++;
                rig.say(String.format("BROKEN: attempt %s at %s, which drains, %.0f ms after SIGHUP", attempt.id(),
                        attempt.appliance().name, attempt.at() - signalled));
            }
        }
        rig.say("served " + served + " of " + ids + ", attempts at draining appliances after the grace: " + late);
        return served.get() < 30 ? 2 : late > 0 ? 1 : 0;
    }

    private static void sleepUntil(double time) {
        Rig.sleep(time - Rig.now());
    }

    /** Requests one after another, on connections in turn. */
    private void ask(List<Rig.Client> clients, int count, int everyMs) {
        for (int i = 0; i < count; i++) {
            double at = Rig.now();
            String id = String.format("%016x", ids.incrementAndGet());
            Rig.Client client = clients.get(i % clients.size());
            Rig.Outcome outcome = client.ask(id, Rig.select(id, "trip-status", "b" + id, 3000), 4000);
            if (outcome.ending() == Rig.Ending.CLOSED) {
                client.closeQuietly();
                client = Rig.Client.unopened();
                clients.set(i % clients.size(), client);
                outcome = client.openAndAsk(rig.agentPort(), id, Rig.select(id, "trip-status", "b" + id, 3000), 4000);
            }
            rig.note("outcome " + outcome);
            if (outcome.ending() == Rig.Ending.SERVED) {
                served.incrementAndGet();
            }
            sleepUntil(at + everyMs);
        }
    }
}
