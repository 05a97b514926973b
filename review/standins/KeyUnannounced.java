import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 2: the desk's news is later than usual, so discovery lists the first machine of a new build before the desk has
 * announced the build to the agent. A key that the new build has answered goes to no earlier one.
 */
final class KeyUnannounced {

    private static final int EARLIER = 41, OFFERED = 42;
    private static final int CLIENTS = 16;
    private static final int KEYS = 3_900;
    private static final double ZIPF = 0.76;
    /** From the offer: the machine has started and is listed; the news, usually and later than usual. */
    private static final int BOOT_MS = 1_500, LISTED_MS = 2_300, USUAL_NEWS_MS = 500, LATE_NEWS_MS = 6_500;
    private static final int OFFER_MS = 3_000, END_MS = 12_000;
    /** From so long after a good answer was written a key counts as answered; limits on sockets are longer by 50 ms. */
    private static final int COUNTS_AFTER_MS = 150 + 50;

    private final Rig rig;
    private final AtomicInteger ids = new AtomicInteger(), served = new AtomicInteger();
    private final double[] shares = new double[KEYS];

    private KeyUnannounced(Rig rig) {
        this.rig = rig;
        for (int i = 0; i < KEYS; i++) {
            shares[i] = (i == 0 ? 0 : shares[i - 1]) + Math.pow(i + 1, -ZIPF);
        }
    }

    public static void main(String[] arguments) throws Exception {
        int code = 2;
        try (Rig rig = new Rig(arguments[0])) {
            code = new KeyUnannounced(rig).run();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private int run() throws Exception {
        Rig.Discovery discovery = rig.new Discovery();
        Rig.Desk desk = rig.new Desk(EARLIER, 3, "Healthy", 1.0);
        for (int i = 0; i < 6; i++) {
            discovery.list(rig.new Appliance("s-" + i, "teku", EARLIER, 0));
        }
        Rig.Agent agent = rig.new Agent();
        agent.start(discovery, desk, Rig.settings(), 1024);
        double begin = Rig.now();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Random random = new Random(i);
            clients.add(Rig.start(() -> runClient(agent.port, random, begin + END_MS)));
        }
        Rig.sleep(begin + OFFER_MS - Rig.now());
        double offeredAt = Rig.now();
        rig.note("the desk offers build " + OFFERED);
        Rig.start(() -> {
            Rig.sleep(offeredAt + BOOT_MS - Rig.now());
            Rig.Appliance first = rig.new Appliance("s-6", "teku", OFFERED, System.currentTimeMillis());
            Rig.sleep(offeredAt + LISTED_MS - Rig.now());
            discovery.list(first);
        });
        Rig.sleep(offeredAt + (rig.trouble ? LATE_NEWS_MS : USUAL_NEWS_MS) - Rig.now());
        desk.set(OFFERED, 0, "Progressing", 0.042, offeredAt);
        desk.tell();
        for (Thread client : clients) {
            client.join();
        }
        return judge();
    }

    private void runClient(int port, Random random, double end) {
        Rig.Client client = Rig.Client.unopened();
        while (Rig.now() < end) {
            int key = Arrays.binarySearch(shares, random.nextDouble() * shares[KEYS - 1]);
            String id = String.format("%016x", ids.incrementAndGet());
            String sql = Rig.select(id, "trip-status", "booking-" + (key < 0 ? -key - 1 : key), 3000);
            Rig.Outcome outcome = client.openAndAsk(port, id, sql, 4000);
            if (outcome.ending() == Rig.Ending.CLOSED) {
                client.closeQuietly();
                client = Rig.Client.unopened();
                outcome = client.openAndAsk(port, id, sql, 4000);
            }
            rig.note("outcome " + outcome);
            served.addAndGet(outcome.ending() == Rig.Ending.SERVED ? 1 : 0);
            Rig.sleep(100);
        }
        client.closeQuietly();
    }

    private int judge() {
        Map<String, Double> answeredAt = new HashMap<>();
        for (Rig.Answer answer : rig.answers) {
            if (answer.attempt().build() == OFFERED) {
                answeredAt.merge(answer.attempt().name(), answer.at(), Math::min);
            }
        }
        int broken = 0;
        for (Rig.Attempt attempt : rig.attempts) {
            Double at = answeredAt.get(attempt.name());
            if (attempt.build() == EARLIER && at != null && attempt.at() > at + COUNTS_AFTER_MS) {
                broken++;
                rig.say(String.format("BROKEN: key %s, answered by build %d at %.0f, goes to build %d at %.0f (%s)",
                        attempt.name(), OFFERED, at, EARLIER, attempt.at(), attempt.id()));
            }
        }
        rig.say("served " + served + " of " + ids + ", keys answered by build " + OFFERED + ": " + answeredAt.size()
                + ", attempts that broke the rule: " + broken);
        return served.get() < 300 || answeredAt.isEmpty() ? 2 : broken > 0 ? 1 : 0;
    }
}
