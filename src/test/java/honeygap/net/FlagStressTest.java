package honeygap.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import honeygap.config.FlagSettings;
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
 * Randomized test from a seed: thousands of evaluations while flag servers drain, restart, reset connections, truncate
 * responses and change their flags. Afterwards all recorded requests and results are checked against the rules for
 * responses, versions, effects, draining and exposure.
 */
@Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class FlagStressTest {

    private static final long SEED = Long.getLong("seed", 20261201);
    private static final int EVALUATIONS = Integer.getInteger("evaluations", 20_000);
    private static final int CLIENTS = 16;
    private static final int SERVERS = 5;
    private static final int TARGETING_KEYS = 300;
    private static final double CAP = 0.2;
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long COLD_PERIOD_MS = 400;
    private static final long EXPOSURE_WINDOW_MS = 1000;
    private static final long TOKEN_WINDOW_MS = 300;

    /** One request as received by a server. */
    private record ServerRequest(Server server, int build, String method, String id, long receivedAt,
            boolean hasToken) { }

    /** One evaluation as observed by its client. */
    private record ClientResult(String method, String key, long start, long end, int status, long version) { }

    /** A time in which a server was drained or removed: from when the agent had applied this until it was put back. */
    private record Outage(Server server, long start, long end) { }

    private final ConcurrentLinkedQueue<ServerRequest> requests = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<ClientResult> results = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();
    private final List<Outage> outages = new ArrayList<>();
    private final AtomicLong latestVersion = new AtomicLong(1);
    private int restarts;

    private final class Server implements AutoCloseable {

        final int number;
        final ServerSocket socket;
        final Random random;
        /** Requests in flight in the current server process; a restart replaces the counter. */
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
            startThread(() -> {
                while (true) {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    startThread(() -> serve(connection));
                }
            });
        }

        private void serve(Socket connection) throws IOException {
            try (connection;
                    DataInputStream in = new DataInputStream(new BufferedInputStream(connection.getInputStream()))) {
                OutputStream out = connection.getOutputStream();
                while (true) {
                    String[] request = Http.read(in);
                    String id = request[2].replaceAll(".*\"id\":\"([^\"]*)\".*", "$1");
                    boolean isTracking = request[0].contains("/track");
                    requests.add(new ServerRequest(this, build, isTracking ? "track" : "evaluate", id, System.nanoTime(),
                            request[1].contains("Idempotency-Key")));
                    AtomicInteger processInFlight = inFlight;
                    int concurrent = processInFlight.incrementAndGet();
                    if (System.nanoTime() < coldUntil && concurrent > 1) {
                        violations.add("cold start: " + concurrent + " concurrent requests at cold server " + number);
                    }
                    if (!respond(connection, out, request, isTracking, processInFlight)) {
                        return;
                    }
                }
            }
        }

        private boolean respond(Socket connection, OutputStream out, String[] request, boolean isTracking,
                AtomicInteger processInFlight) throws IOException {
            int outcome;
            synchronized (random) {
                outcome = random.nextInt(1000);
            }
            // The version is read once, so that a response comes from a single flag set.
            long answeredVersion = version;
            String flag = "{'key':'%s','value':" + answeredVersion + ",'reason':'STATIC','metadata':{'version':'"
                    + answeredVersion + "'}}";
            String body = isTracking ? "{}" : request[0].contains("/flags/") ? String.format(flag, "f")
                    : "{'flags':[" + String.format(flag, "f") + "," + String.format(flag, "g") + "]}";
            byte[] response = Http.answer(200, "", body.replace('\'', '"'));
            if (outcome >= 36 && outcome < 80) {
                sleep(outcome / 5);
            }
            // Decremented before the response is written, because the next pick may arrive immediately after it.
            processInFlight.decrementAndGet();
            if (outcome < 10) {
                out.write(response, 0, response.length / 2);
                return false;
            } else if (outcome < 20) {
                connection.setSoLinger(true, 0);
                return false;
            } else if (outcome < 30) {
                out.write(Http.answer(500, "", "{}"));
            } else if (outcome < 33) {
                out.write(Http.answer(429, "Retry-After: 0\r\n", "{}"));
            } else if (outcome < 36) {
                out.write(Http.answer(200, "Connection: close\r\n", body.replace('\'', '"')));
                return false;
            } else {
                out.write(response);
            }
            return true;
        }

        String settingsEntry() {
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

    private void startThread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The peer has closed the connection.
            } catch (Exception e) {
                violations.add("unexpected exception in the test: " + e);
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

    private static FlagSettings settings(List<Server> servers) throws Exception {
        List<String> entries = new ArrayList<>();
        servers.stream().filter(server -> !server.status.equals("removed"))
                .forEach(server -> entries.add(server.settingsEntry()));
        return FlagSettings.parse(FlagsTest.fields("{'listen':'127.0.0.1:0','methods':{'one':{'aim':'100ms','deadline':'1s'},"
                + "'all':{'aim':'100ms','deadline':'1s'},'track':{'deadline':'1s'},'tracked':{'deadline':'1s',"
                + "'window':'" + TOKEN_WINDOW_MS + "ms'}},'rollout':{'caps':[" + CAP + "],'window':'" + EXPOSURE_WINDOW_MS
                + "ms','soak':'1h','guarded':1},'cold':{'from':0.5,'warmAfter':'" + COLD_PERIOD_MS + "ms'},"
                + "'servers':[" + String.join(",", entries) + "]}"));
    }

    @Test
    void rulesHoldUnderServerFaults() throws Exception {
        System.out.println("seed " + SEED + ", " + EVALUATIONS + " evaluations");
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new Server(i, i == SERVERS - 1 ? 2 : 1));
        }
        Loop loop = new Loop();
        FlagProtocol flags = new FlagProtocol(loop, settings(servers), SEED);
        Agent agent = new Agent(loop, List.of(flags));
        agent.start();
        AtomicInteger remaining = new AtomicInteger(EVALUATIONS);
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            startThread(() -> {
                try {
                    runClient(agent, new Random(SEED * 31 + number), number, remaining);
                } finally {
                    done.countDown();
                }
            });
        }
        injectFaults(agent, flags, servers, done);
        checkRules();
        assertEquals(0, Loop.invariantViolations());
        agent.close();
        for (Server server : servers) {
            server.close();
        }
    }

    /** Drains, removes and restarts servers, and gives single servers a newer or an older flag set. */
    private void injectFaults(Agent agent, FlagProtocol flags, List<Server> servers, CountDownLatch done) throws Exception {
        Random random = new Random(SEED);
        Map<Server, Long> outageStarts = new HashMap<>();
        while (!done.await(7, TimeUnit.MILLISECONDS)) {
            Server server = servers.get(random.nextInt(SERVERS));
            switch (random.nextInt(4)) {
                case 0 -> server.version = latestVersion.incrementAndGet();
                case 1 -> server.version = Math.max(1, latestVersion.get() - random.nextInt(3));
                case 2 -> {
                    if (server.status.equals("up") && outageStarts.size() < 2) {
                        server.status = random.nextBoolean() ? "draining" : "removed";
                        reloadAndWait(agent, flags, servers);
                        outageStarts.put(server, System.nanoTime());
                    }
                }
                default -> {
                    Long since = outageStarts.remove(server);
                    if (since != null) {
                        outages.add(new Outage(server, since, System.nanoTime()));
                        if (server.status.equals("removed")) {
                            // A removed server returns as a new, cold process.
                            server.inFlight = new AtomicInteger();
                            server.coldUntil = System.nanoTime() + COLD_PERIOD_MS * NANOS_PER_MS;
                            restarts++;
                        }
                        server.status = "up";
                        reloadAndWait(agent, flags, servers);
                    }
                }
            }
        }
        long now = System.nanoTime();
        outageStarts.forEach((server, since) -> outages.add(new Outage(server, since, now)));
    }

    /** Reloads the settings and returns once the agent has applied them. */
    private static void reloadAndWait(Agent agent, FlagProtocol flags, List<Server> servers) throws Exception {
        FlagSettings settings = settings(servers);
        agent.reload(List.of(() -> flags.reload(settings)));
        CountDownLatch processed = new CountDownLatch(1);
        agent.runOnLoop(() -> agent.runOnLoop(() -> agent.runOnLoop(processed::countDown)));
        processed.await();
    }

    private void runClient(Agent agent, Random random, int number, AtomicInteger remaining) throws Exception {
        Socket socket = null;
        DataInputStream in = null;
        int sent = 0;
        while (remaining.getAndDecrement() > 0) {
            if (socket == null) {
                socket = new Socket(agent.address(0).getAddress(), agent.address(0).getPort());
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(5_000);
                in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            }
            int choice = random.nextInt(10);
            String method = choice < 6 ? "one" : choice < 8 ? "all" : choice == 8 ? "track" : "tracked";
            String key = "k" + random.nextInt(TARGETING_KEYS);
            String id = number + "-" + sent++;
            String path = method.equals("one") ? "/ofrep/v1/evaluate/flags/f" : method.equals("all")
                    ? "/ofrep/v1/evaluate/flags" : "/ofrep/v1/track";
            long start = System.nanoTime();
            socket.getOutputStream().write(Http.post(path, method.equals("tracked") ? "Idempotency-Key: " + id + "\r\n"
                    : "", "{\"context\":{\"targetingKey\":\"" + key + "\",\"id\":\""
                    + (method.startsWith("track") || random.nextBoolean() ? id : "") + "\"}}")
                    .getBytes(StandardCharsets.US_ASCII));
            String[] answer = Http.read(in);
            long end = System.nanoTime();
            int status = Integer.parseInt(answer[0].split(" ")[1]);
            if (in.available() > 0) {
                violations.add("responses: more than one response to " + id);
            }
            results.add(new ClientResult(method, key, start, end, status,
                    checkedVersion(method, status, answer[2], id)));
            if (answer[1].contains("Connection: close")) {
                socket.close();
                socket = null;
            }
        }
        if (socket != null) {
            // No data may follow the last response either.
            socket.setSoTimeout(200);
            try {
                if (in.read() >= 0) {
                    violations.add("responses: data after the last response to client " + number);
                }
            } catch (java.net.SocketTimeoutException e) {
                socket.close();
            }
        }
    }

    private long checkedVersion(String method, int status, String body, String id) {
        if (status != 200 || method.startsWith("track")) {
            return -1;
        }
        String[] values = body.split("\"value\":");
        long first = Long.parseLong(values[1].replaceAll("[^0-9].*", ""));
        if (values.length != (method.equals("all") ? 3 : 2) || method.equals("all")
                && first != Long.parseLong(values[2].replaceAll("[^0-9].*", ""))) {
            violations.add("responses: not a single complete response to " + id + ": " + body);
        }
        return first;
    }

    private void checkRules() {
        List<ServerRequest> picks = new ArrayList<>(requests);
        List<ClientResult> completed = new ArrayList<>(results);
        if (completed.size() != EVALUATIONS) {
            violations.add("responses: " + completed.size() + " of " + EVALUATIONS);
        }
        Map<Integer, Integer> statuses = new HashMap<>();
        for (ClientResult result : completed) {
            statuses.merge(result.status, 1, Integer::sum);
            // Above the deadline, because a client thread may itself wait for a processor.
            if (result.end - result.start > 1_500 * NANOS_PER_MS) {
                violations.add("responses: answered after " + (result.end - result.start) / NANOS_PER_MS + " ms");
            }
        }
        checkVersionOrder(completed);
        checkEffects(picks);
        checkOutages(picks);
        checkExposure(picks, completed);
        System.out.println("statuses " + statuses + ", picks " + picks.size() + ", versions " + latestVersion + ", drains "
                + outages.size() + ", starts " + restarts);
        assertTrue(statuses.get(200) > EVALUATIONS * 0.8, "most evaluations succeed: " + statuses);
        assertTrue(violations.isEmpty(),
                "seed " + SEED + ": " + violations.size() + " violations, first " + violations.peek());
    }

    /** After a targeting key was answered from one version, later evaluations must not use an older one. */
    private void checkVersionOrder(List<ClientResult> results) {
        Map<String, List<ClientResult>> byKey = new ConcurrentHashMap<>();
        results.stream().filter(result -> result.version >= 0)
                .forEach(result -> byKey.computeIfAbsent(result.key, key -> new ArrayList<>()).add(result));
        byKey.forEach((key, byStart) -> {
            List<ClientResult> byEnd = new ArrayList<>(byStart);
            byEnd.sort((a, b) -> Long.compare(a.end, b.end));
            byStart.sort((a, b) -> Long.compare(a.start, b.start));
            long newest = -1;
            int next = 0;
            for (ClientResult result : byStart) {
                while (next < byEnd.size() && byEnd.get(next).end < result.start) {
                    newest = Math.max(newest, byEnd.get(next++).version);
                }
                if (result.version < newest) {
                    violations.add("order: " + key + " got version " + result.version + " after " + newest);
                }
            }
        });
    }

    /**
     * An event without a token is resent only after a 429 response, which promises no effect; an event with a token is
     * resent only within the token's window.
     */
    private void checkEffects(List<ServerRequest> picks) {
        Map<String, List<ServerRequest>> byId = new HashMap<>();
        picks.stream().filter(pick -> pick.method.equals("track"))
                .forEach(pick -> byId.computeIfAbsent(pick.id, id -> new ArrayList<>()).add(pick));
        int resent = 0;
        for (Map.Entry<String, List<ServerRequest>> entry : byId.entrySet()) {
            List<ServerRequest> sends = entry.getValue();
            resent += sends.size() > 1 ? 1 : 0;
            if (sends.size() > 1 && sends.get(0).hasToken
                    && sends.get(sends.size() - 1).receivedAt - sends.get(0).receivedAt
                    > TOKEN_WINDOW_MS * NANOS_PER_MS) {
                violations.add("effects: tokened " + entry.getKey() + " resent after its window");
            }
        }
        long resentWithoutToken = byId.values().stream()
                .filter(sends -> sends.size() > 1 && !sends.get(0).hasToken).count();
        // Of about 2,000 events without a token about 6 get a 429 response, and only those may be resent.
        long expectedPushBacks = byId.values().stream().filter(sends -> !sends.get(0).hasToken).count() / 100;
        if (resentWithoutToken > expectedPushBacks) {
            violations.add("effects: " + resentWithoutToken + " events without a token were resent");
        }
        System.out.println("events " + byId.size() + ", resent " + resent);
    }

    private void checkOutages(List<ServerRequest> picks) {
        for (Outage outage : outages) {
            // A request written before the agent applied the change may be read by the server slightly later.
            for (ServerRequest pick : picks) {
                if (pick.server == outage.server && pick.receivedAt > outage.start + 100 * NANOS_PER_MS
                        && pick.receivedAt < outage.end) {
                    violations.add("draining: a pick at a draining server after "
                            + (pick.receivedAt - outage.start) / NANOS_PER_MS + " ms");
                }
            }
        }
    }

    private void checkExposure(List<ServerRequest> picks, List<ClientResult> results) {
        List<Long> trialPicks = new ArrayList<>();
        picks.stream().filter(pick -> pick.build == 2).forEach(pick -> trialPicks.add(pick.receivedAt));
        List<Long> accepted = new ArrayList<>();
        results.forEach(result -> accepted.add(result.start));
        Collections.sort(trialPicks);
        Collections.sort(accepted);
        int windowStart = 0;
        for (int i = 0; i < trialPicks.size(); i++) {
            while (trialPicks.get(windowStart) < trialPicks.get(i) - EXPOSURE_WINDOW_MS * NANOS_PER_MS) {
                windowStart++;
            }
            // Counts RPCs by their send time, from slightly before the window to allow for their transit.
            long acceptedSince = trialPicks.get(i) - (EXPOSURE_WINDOW_MS + 100) * NANOS_PER_MS;
            int acceptedTo = indexOf(accepted, trialPicks.get(i));
            int acceptedFrom = indexOf(accepted, acceptedSince);
            if (i - windowStart + 1 > 1 + CAP * (acceptedTo - acceptedFrom) + 1) {
                violations.add("exposure: " + (i - windowStart + 1) + " picks on trial, " + (acceptedTo - acceptedFrom)
                        + " accepted in the window");
            }
        }
        System.out.println("picks on trial " + trialPicks.size() + " of " + picks.size());
    }

    private static int indexOf(List<Long> sorted, long time) {
        int index = Collections.binarySearch(sorted, time);
        return index < 0 ? -index - 1 : index;
    }
}
