package honeygap.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import honeygap.read.FlagSheet;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Thousands of evaluations from a seed while servers drain, reset, answer by halves, change their flags and start
 * anew; a checker then goes through the record of all ends for the rules.
 */
@Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class StormTest {

    private static final long SEED = Long.getLong("seed", 20261201);
    private static final int EVALUATIONS = Integer.getInteger("evaluations", 20_000);
    private static final int CLIENTS = 16;
    private static final int SERVERS = 5;
    private static final int KEYS = 300;
    private static final double CAP = 0.2;
    private static final long MS = 1_000_000;
    private static final long COLD_MS = 400;
    private static final long WINDOW_MS = 1000;
    private static final long TOKENS_MS = 300;

    /** One request as a server saw it. */
    private record Seen(Server server, int build, String what, String id, long at, boolean hasToken) { }

    /** One evaluation as a client saw it. */
    private record Ended(String what, String key, long from, long to, int status, long version) { }

    /** From when a server was out of use, surely heard of by the agent, until it was to be used again. */
    private record Out(Server server, long from, long to) { }

    private final ConcurrentLinkedQueue<Seen> seen = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Ended> ended = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<String> broken = new ConcurrentLinkedQueue<>();
    private final List<Out> outs = new ArrayList<>();
    private final AtomicLong latest = new AtomicLong(1);
    private int starts;

    private final class Server implements AutoCloseable {

        final int number;
        final ServerSocket socket;
        final Random random;
        /** Of the present process: requests of the one before, which may still be answered, do not load it. */
        volatile AtomicInteger inFlight = new AtomicInteger();
        volatile long version = 1;
        volatile int build;
        volatile String status = "up";
        volatile long coldUntil;

        Server(int number, int build) throws IOException {
            this.number = number;
            this.build = build;
            random = new Random(SEED + number);
            socket = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
            thread(() -> {
                while (true) {
                    Socket one = socket.accept();
                    one.setTcpNoDelay(true);
                    thread(() -> serve(one));
                }
            });
        }

        private void serve(Socket one) throws IOException {
            try (one; DataInputStream in = new DataInputStream(new BufferedInputStream(one.getInputStream()))) {
                OutputStream out = one.getOutputStream();
                while (true) {
                    String[] request = Http.read(in);
                    String id = request[2].replaceAll(".*\"id\":\"([^\"]*)\".*", "$1");
                    boolean isTracking = request[0].contains("/track");
                    seen.add(new Seen(this, build, isTracking ? "track" : "evaluate", id, System.nanoTime(),
                            request[1].contains("Idempotency-Key")));
                    AtomicInteger ofThisLife = inFlight;
                    int now = ofThisLife.incrementAndGet();
                    if (System.nanoTime() < coldUntil && now > 1) {
                        broken.add("4: " + now + " at once at cold server " + number);
                    }
                    if (!answer(one, out, request, isTracking, ofThisLife)) {
                        return;
                    }
                }
            }
        }

        private boolean answer(Socket one, OutputStream out, String[] request, boolean isTracking,
                AtomicInteger ofThisLife) throws IOException {
            int chance;
            synchronized (random) {
                chance = random.nextInt(1000);
            }
            // A version is read once: an answer is of one flag set, as it would be.
            long now = version;
            String flag = "{'key':'%s','value':" + now + ",'reason':'STATIC','metadata':{'version':'" + now + "'}}";
            String body = isTracking ? "{}" : request[0].contains("/flags/") ? String.format(flag, "f")
                    : "{'flags':[" + String.format(flag, "f") + "," + String.format(flag, "g") + "]}";
            byte[] whole = Http.answer(200, "", body.replace('\'', '"'));
            if (chance >= 36 && chance < 80) {
                sleep(chance / 5);
            }
            // Before anything is said of it: the next pick may come at once.
            ofThisLife.decrementAndGet();
            if (chance < 10) {
                out.write(whole, 0, whole.length / 2);
                return false;
            } else if (chance < 20) {
                one.setSoLinger(true, 0);
                return false;
            } else if (chance < 30) {
                out.write(Http.answer(500, "", "{}"));
            } else if (chance < 33) {
                out.write(Http.answer(429, "Retry-After: 0\r\n", "{}"));
            } else if (chance < 36) {
                out.write(Http.answer(200, "Connection: close\r\n", body.replace('\'', '"')));
                return false;
            } else {
                out.write(whole);
            }
            return true;
        }

        String entry() {
            return FlagsTest.server("s" + number, "127.0.0.1:" + socket.getLocalPort(), build, status);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private interface Task {
        void run() throws Exception;
    }

    private void thread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The other side has closed.
            } catch (Exception e) {
                broken.add("a fault of the test: " + e);
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static FlagSheet sheet(List<Server> servers) throws Exception {
        List<String> entries = new ArrayList<>();
        servers.stream().filter(server -> !server.status.equals("gone")).forEach(one -> entries.add(one.entry()));
        return FlagSheet.of(FlagsTest.fields("{'listen':'127.0.0.1:0','methods':{'one':{'aim':'100ms','deadline':'1s'},"
                + "'all':{'aim':'100ms','deadline':'1s'},'track':{'deadline':'1s'},'tracked':{'deadline':'1s',"
                + "'window':'" + TOKENS_MS + "ms'}},'rollout':{'caps':[" + CAP + "],'window':'" + WINDOW_MS
                + "ms','soak':'1h','guarded':1},'cold':{'from':0.5,'warmAfter':'" + COLD_MS + "ms'},"
                + "'servers':[" + String.join(",", entries) + "]}"));
    }

    @Test
    void storm() throws Exception {
        System.out.println("seed " + SEED + ", " + EVALUATIONS + " evaluations");
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new Server(i, i == SERVERS - 1 ? 2 : 1));
        }
        Loop loop = new Loop();
        Flags flags = new Flags(loop, sheet(servers), SEED);
        Agent agent = new Agent(loop, List.of(flags));
        agent.start();
        AtomicInteger left = new AtomicInteger(EVALUATIONS);
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            thread(() -> {
                try {
                    client(agent, new Random(SEED * 31 + number), number, left);
                } finally {
                    done.countDown();
                }
            });
        }
        trouble(agent, flags, servers, done);
        check();
        assertEquals(0, Loop.broken());
        agent.end();
        for (Server server : servers) {
            server.close();
        }
    }

    /** Drains and starts, new flag sets that reach servers one by one, and now and then an older one again. */
    private void trouble(Agent agent, Flags flags, List<Server> servers, CountDownLatch done) throws Exception {
        Random random = new Random(SEED);
        Map<Server, Long> outSince = new HashMap<>();
        while (!done.await(7, TimeUnit.MILLISECONDS)) {
            Server server = servers.get(random.nextInt(SERVERS));
            switch (random.nextInt(4)) {
                case 0 -> server.version = latest.incrementAndGet();
                case 1 -> server.version = Math.max(1, latest.get() - random.nextInt(3));
                case 2 -> {
                    if (server.status.equals("up") && outSince.size() < 2) {
                        server.status = random.nextBoolean() ? "draining" : "gone";
                        heard(agent, flags, servers);
                        outSince.put(server, System.nanoTime());
                    }
                }
                default -> {
                    Long since = outSince.remove(server);
                    if (since != null) {
                        outs.add(new Out(server, since, System.nanoTime()));
                        if (server.status.equals("gone")) {
                            // It comes back as a new process, and cold.
                            server.inFlight = new AtomicInteger();
                            server.coldUntil = System.nanoTime() + COLD_MS * MS;
                            starts++;
                        }
                        server.status = "up";
                        heard(agent, flags, servers);
                    }
                }
            }
        }
        long now = System.nanoTime();
        outSince.forEach((server, since) -> outs.add(new Out(server, since, now)));
    }

    /** Comes back once the agent has surely told its module. */
    private static void heard(Agent agent, Flags flags, List<Server> servers) throws Exception {
        FlagSheet sheet = sheet(servers);
        agent.reread(List.of(() -> flags.reread(sheet)));
        CountDownLatch turned = new CountDownLatch(1);
        agent.onLoop(() -> agent.onLoop(() -> agent.onLoop(turned::countDown)));
        turned.await();
    }

    private void client(Agent agent, Random random, int number, AtomicInteger left) throws Exception {
        Socket socket = null;
        DataInputStream in = null;
        int asked = 0;
        while (left.getAndDecrement() > 0) {
            if (socket == null) {
                socket = new Socket(agent.address(0).getAddress(), agent.address(0).getPort());
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(5_000);
                in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            }
            int kind = random.nextInt(10);
            String what = kind < 6 ? "one" : kind < 8 ? "all" : kind == 8 ? "track" : "tracked";
            String key = "k" + random.nextInt(KEYS);
            String id = number + "-" + asked++;
            String path = what.equals("one") ? "/ofrep/v1/evaluate/flags/f" : what.equals("all")
                    ? "/ofrep/v1/evaluate/flags" : "/ofrep/v1/track";
            long from = System.nanoTime();
            socket.getOutputStream().write(Http.post(path, what.equals("tracked") ? "Idempotency-Key: " + id + "\r\n"
                    : "", "{\"context\":{\"targetingKey\":\"" + key + "\",\"id\":\""
                    + (what.startsWith("track") || random.nextBoolean() ? id : "") + "\"}}")
                    .getBytes(StandardCharsets.US_ASCII));
            String[] answer = Http.read(in);
            long to = System.nanoTime();
            int status = Integer.parseInt(answer[0].split(" ")[1]);
            if (in.available() > 0) {
                broken.add("1: more than one answer to " + id);
            }
            ended.add(new Ended(what, key, from, to, status, version(what, status, answer[2], id)));
            if (answer[1].contains("Connection: close")) {
                socket.close();
                socket = null;
            }
        }
        if (socket != null) {
            // Nothing may come behind the last answer either.
            socket.setSoTimeout(200);
            try {
                if (in.read() >= 0) {
                    broken.add("1: something behind the last answer of client " + number);
                }
            } catch (java.net.SocketTimeoutException e) {
                socket.close();
            }
        }
    }

    private long version(String what, int status, String body, String id) {
        if (status != 200 || what.startsWith("track")) {
            return -1;
        }
        String[] values = body.split("\"value\":");
        long first = Long.parseLong(values[1].replaceAll("[^0-9].*", ""));
        if (values.length != (what.equals("all") ? 3 : 2) || what.equals("all")
                && first != Long.parseLong(values[2].replaceAll("[^0-9].*", ""))) {
            broken.add("1: not one whole answer to " + id + ": " + body);
        }
        return first;
    }

    private void check() {
        List<Seen> picks = new ArrayList<>(seen);
        List<Ended> ends = new ArrayList<>(ended);
        if (ends.size() != EVALUATIONS) {
            broken.add("1: " + ends.size() + " ends of " + EVALUATIONS);
        }
        Map<Integer, Integer> statuses = new HashMap<>();
        for (Ended end : ends) {
            statuses.merge(end.status, 1, Integer::sum);
            // The client's own clock runs on while its thread waits for a processor.
            if (end.to - end.from > 1_500 * MS) {
                broken.add("1: answered after " + (end.to - end.from) / MS + " ms");
            }
        }
        order(ends);
        effects(picks);
        drains(picks);
        exposure(picks, ends);
        System.out.println("statuses " + statuses + ", picks " + picks.size() + ", versions " + latest + ", drains "
                + outs.size() + ", starts " + starts);
        assertTrue(statuses.get(200) > EVALUATIONS * 0.8, "most are answered well: " + statuses);
        assertTrue(broken.isEmpty(), "seed " + SEED + ": " + broken.size() + " broken, first " + broken.peek());
    }

    /** A key that has been answered from a version meets no older one in an evaluation begun afterwards. */
    private void order(List<Ended> ends) {
        Map<String, List<Ended>> byKey = new ConcurrentHashMap<>();
        ends.stream().filter(end -> end.version >= 0)
                .forEach(end -> byKey.computeIfAbsent(end.key, key -> new ArrayList<>()).add(end));
        byKey.forEach((key, all) -> {
            List<Ended> byEnd = new ArrayList<>(all);
            byEnd.sort((a, b) -> Long.compare(a.to, b.to));
            all.sort((a, b) -> Long.compare(a.from, b.from));
            long newest = -1;
            int at = 0;
            for (Ended one : all) {
                while (at < byEnd.size() && byEnd.get(at).to < one.from) {
                    newest = Math.max(newest, byEnd.get(at++).version);
                }
                if (one.version < newest) {
                    broken.add("order: " + key + " met " + one.version + " after " + newest);
                }
            }
        });
    }

    /** An event without a token reaches a server twice only where the first surely said no (429); with one, in time. */
    private void effects(List<Seen> picks) {
        Map<String, List<Seen>> byId = new HashMap<>();
        picks.stream().filter(pick -> pick.what.equals("track"))
                .forEach(pick -> byId.computeIfAbsent(pick.id, id -> new ArrayList<>()).add(pick));
        int again = 0;
        for (Map.Entry<String, List<Seen>> one : byId.entrySet()) {
            List<Seen> all = one.getValue();
            again += all.size() > 1 ? 1 : 0;
            if (all.size() > 1 && all.get(0).hasToken
                    && all.get(all.size() - 1).at - all.get(0).at > TOKENS_MS * MS) {
                broken.add("2: tokened " + one.getKey() + " again after its window");
            }
        }
        long twice = byId.values().stream().filter(all -> all.size() > 1 && !all.get(0).hasToken).count();
        // Of some 2,000 events without a token about 6 are turned away with 429, and those alone may come again.
        long pushedBack = byId.values().stream().filter(all -> !all.get(0).hasToken).count() / 100;
        if (twice > pushedBack) {
            broken.add("2: " + twice + " events without a token came again");
        }
        System.out.println("events " + byId.size() + ", again " + again);
    }

    private void drains(List<Seen> picks) {
        for (Out out : outs) {
            // What was written before the agent heard may be read by the server a little later.
            for (Seen pick : picks) {
                if (pick.server == out.server && pick.at > out.from + 100 * MS && pick.at < out.to) {
                    broken.add("3: a pick at a draining server after " + (pick.at - out.from) / MS + " ms");
                }
            }
        }
    }

    private void exposure(List<Seen> picks, List<Ended> ends) {
        List<Long> trial = new ArrayList<>();
        picks.stream().filter(pick -> pick.build == 2).forEach(pick -> trial.add(pick.at));
        List<Long> taken = new ArrayList<>();
        ends.forEach(end -> taken.add(end.from));
        Collections.sort(trial);
        Collections.sort(taken);
        int first = 0;
        for (int i = 0; i < trial.size(); i++) {
            while (trial.get(first) < trial.get(i) - WINDOW_MS * MS) {
                first++;
            }
            // RPCs as the clients began them, a little more than the window back: they travel for a while.
            long since = trial.get(i) - (WINDOW_MS + 100) * MS;
            int to = at(taken, trial.get(i));
            int from = at(taken, since);
            if (i - first + 1 > 1 + CAP * (to - from) + 1) {
                broken.add("5: " + (i - first + 1) + " picks on trial, " + (to - from) + " taken in the window");
            }
        }
        System.out.println("picks on trial " + trial.size() + " of " + picks.size());
    }

    private static int at(List<Long> sorted, long time) {
        int index = Collections.binarySearch(sorted, time);
        return index < 0 ? -index - 1 : index;
    }
}
