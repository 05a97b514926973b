import java.io.DataInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 1: hundreds of clients stop in the middle of a request and stay. Usual clients go on meanwhile and for a while
 * afterwards; each of their requests has to get its final answer.
 */
final class StoppedClients {

    private static final int USUAL = 8;
    private static final int STOPPED = 300;
    private static final int BEGIN_MS = 3_000;
    private static final int STAY_MS = 15_000;
    private static final int END_MS = 30_000;
    private static final int DEADLINE_MS = 3_000;
    /** Half a second after its time a request is lost; on sockets every limit is longer by 50 ms. */
    private static final int OWED_MS = DEADLINE_MS + 500 + 50;
    private static final int SOCKETS = 1024;

    private final Rig rig;
    private final Rig.Agent agent;
    private final double begin = Rig.now();
    private final AtomicInteger ids = new AtomicInteger();
    private final ConcurrentLinkedQueue<Rig.Outcome> outcomes = new ConcurrentLinkedQueue<>();
    private final AtomicInteger stoppedEnded = new AtomicInteger(), stoppedWithNothing = new AtomicInteger();

    private StoppedClients(Rig rig, Rig.Agent agent) {
        this.rig = rig;
        this.agent = agent;
    }

    public static void main(String[] arguments) throws Exception {
        int code = 2;
        try (Rig rig = new Rig(arguments[0])) {
            Rig.Discovery discovery = rig.new Discovery();
            Rig.Desk desk = rig.new Desk(41, 3, "Healthy", 1.0);
            for (int i = 0; i < 8; i++) {
                discovery.list(rig.new Appliance("s-" + i, "teku", 41, 0));
            }
            Rig.Agent agent = rig.new Agent();
            agent.start(discovery, desk, Rig.settings(), SOCKETS);
            code = new StoppedClients(rig, agent).run();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private int run() throws Exception {
        List<Thread> usual = new ArrayList<>();
        for (int i = 0; i < USUAL; i++) {
            usual.add(Rig.start(this::runUsual));
        }
        Rig.sleep(BEGIN_MS);
        if (rig.trouble) {
            rig.note(STOPPED + " clients connect, send a request and half of the next, and stay");
            for (int i = 0; i < STOPPED; i++) {
                Rig.start(this::runStopped);
                Rig.sleep(5);
            }
        }
        for (Thread thread : usual) {
            thread.join();
        }
        int peakKb = agent.peakMemoryKb();
        Map<String, Integer> endings = new TreeMap<>();
        int lost = 0, after = 0;
        for (Rig.Outcome outcome : outcomes) {
            endings.merge(outcome.ending().toString(), 1, Integer::sum);
            if (outcome.ending() == Rig.Ending.SILENT || outcome.ending() == Rig.Ending.CLOSED) {
                lost++;
                after += outcome.sentAt() > begin + BEGIN_MS + 10_000 ? 1 : 0;
                rig.note("LOST " + outcome);
            }
        }
        rig.say("stopped clients: " + stoppedEnded + " ended by the agent, " + stoppedWithNothing
                + " left with nothing for " + STAY_MS + " ms");
        rig.say("requests of usual clients: " + endings + "; lost " + lost + ", of these " + after
                + " sent 10 s and more after the first stopped client came");
        rig.say("agent: peak memory " + peakKb / 1024 + " MB, process " + (agent.process.isAlive() ? "alive" : "ended"));
        return endings.getOrDefault("SERVED", 0) < 100 ? 2 : lost > 0 ? 1 : 0;
    }

    /** Sends a whole request and half of the next one, and stays until the agent ends the connection. */
    private void runStopped() {
        try (Rig.Client client = new Rig.Client(agent.port)) {
            byte[] half = insert();
            client.socket.getOutputStream().write(Rig.join(insert(), Arrays.copyOf(half, half.length / 2)));
            client.socket.setSoTimeout(STAY_MS);
            while (client.in.read() >= 0) {
                continue;
            }
            stoppedEnded.incrementAndGet();
        } catch (java.net.SocketTimeoutException e) {
            stoppedWithNothing.incrementAndGet();
        } catch (IOException e) {
            stoppedEnded.incrementAndGet();
        }
    }

    /** A request with a value of 64 KiB. */
    private byte[] insert() {
        String id = String.format("%016x", ids.incrementAndGet());
        return Rig.query("INSERT INTO kv (name, content) VALUES ('b" + id + "', '\\x" + "61".repeat(65536)
                + "') RETURNING content /* id=" + id + ",c=trip-book,t=phewa-clinic,d=5000,k=" + id + " */");
    }

    /** A request every 100 ms; now and then on a new connection. One that crosses a close is sent once more. */
    private void runUsual() {
        Rig.Client client = null;
        for (int count = 1; Rig.now() < begin + END_MS; count++) {
            String id = String.format("%016x", ids.incrementAndGet());
            String sql = Rig.select(id, "trip-status", "b" + id, DEADLINE_MS);
            Rig.Outcome outcome = null;
            for (int sending = 0; sending < 2 && (outcome == null || outcome.ending() == Rig.Ending.CLOSED); sending++) {
                if (client == null) {
                    client = Rig.Client.unopened();
                }
                outcome = client.openAndAsk(agent.port, id, sql, OWED_MS);
                if (outcome.ending() == Rig.Ending.CLOSED || outcome.ending() == Rig.Ending.SILENT) {
                    client.closeQuietly();
                    client = null;
                }
            }
            rig.note("outcome " + outcome);
            outcomes.add(outcome);
            Rig.sleep(100);
            if (count % 20 == 0 && client != null) {
                client.closeQuietly();
                client = null;
            }
        }
    }
}
