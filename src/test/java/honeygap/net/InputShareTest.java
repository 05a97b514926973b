package honeygap.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import honeygap.config.FlagSettings;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a client that keeps the loop from others by sending many small or unsound messages at once. */
class InputShareTest extends Loopback {

    private static final int SHARE = 16;
    private static final int IN_LINE = 48;

    /** Counts, per iteration of the loop, the messages that are answered on a connection and the writes for that. */
    private final class AnswerCounter implements TrafficListener {

        private final Map<Long, Integer> writes = new ConcurrentHashMap<>();
        private final Map<Long, Map<Long, Integer>> answersByIteration = new ConcurrentHashMap<>();
        private final Map<Long, Boolean> inbound = new HashMap<>();
        private final LongSupplier iteration;
        private final String endOfAnswer;

        AnswerCounter(LongSupplier iteration, String endOfAnswer) {
            this.iteration = iteration;
            this.endOfAnswer = endOfAnswer;
        }

        @Override
        public void opened(long connection, SocketAddress local, SocketAddress remote, boolean isInbound) {
            inbound.put(connection, isInbound);
        }

        @Override
        public void received(long connection, ByteBuffer bytes) {
            // Answers are counted.
        }

        @Override
        public void sent(long connection, ByteBuffer[] slices, int count) {
            if (!inbound.get(connection)) {
                return;
            }
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < count; i++) {
                text.append(StandardCharsets.ISO_8859_1.decode(slices[i].duplicate()));
            }
            int answers = text.toString().split(endOfAnswer, -1).length - 1;
            writes.merge(connection, 1, Integer::sum);
            answersByIteration.computeIfAbsent(connection, c -> new ConcurrentHashMap<>())
                    .merge(iteration.getAsLong(), answers, Integer::sum);
        }

        @Override
        public void closed(long connection) {
            // Counted connections stay open.
        }

        int maxWrites() {
            return Collections.max(writes.values());
        }

        int maxAnswersInIteration() {
            return answersByIteration.values().stream().flatMap(counts -> counts.values().stream())
                    .mapToInt(Integer::intValue).max().orElse(0);
        }
    }

    /** PostgreSQL takes one request for TLS and one for GSS encryption; more of them must not occupy the loop. */
    @ParameterizedTest
    @CsvSource({"80877103, 80877103, N08P01end", "80877104, 80877104, N08P01end", "80877103, 80877104, NN", "80877104, 80877103, NN"})
    void encryptionIsAskedForOnceOfEachKind(int first, int second, String answers) throws Exception {
        start(new FakeAppliance("ok"));
        TestClient client = new TestClient();
        ByteBuffer requests = ByteBuffer.allocate(1000 * 8);
        requests.putInt(8).putInt(first).putInt(8).putInt(second);
        if (answers.equals("NN")) {
            client.out.write(requests.array(), 0, 16);
            assertEquals('N', client.in.read());
            assertEquals('N', client.in.read());
            client.out.write(STARTUP);
            assertEquals("", client.readAnswer());
            assertEquals("ok:v1", client.call("read", 900));
            return;
        }
        while (requests.hasRemaining()) {
            requests.putInt(8).putInt(second);
        }
        client.out.write(requests.array());
        assertEquals('N', client.in.read());
        assertEquals("08P01end", client.readAnswer());
        assertEquals(1, counter("clients", "malformed: repeated encryption request"));
    }

    /** Small messages in line: at most a share of them in one iteration of the loop, answered in one write. */
    @ParameterizedTest
    @ValueSource(strings = {"", "SET x = 1", "DROP TABLE kv", "unknown method"})
    void messagesInLineAreSharedAmongIterations(String text) throws Exception {
        FakeServer refusing = new FakeServer("refused");
        configure(entry("s-1", new FakeAppliance("ok"), "SERVING", 1), "", refusing, refusing, 512);
        AnswerCounter counter = new AnswerCounter(this::coreIterations, "Z\0\0\0\5I");
        loop.setTrafficListener(counter);
        agent.start();
        TestClient client = new TestClient().handshake();
        byte[] message = query(text.equals("unknown method") ? statement("no-such-method", 900) : text);
        byte[][] messages = Collections.nCopies(IN_LINE, message).toArray(new byte[0][]);
        client.out.write(join(messages));
        for (int i = 0; i < IN_LINE; i++) {
            client.readAnswer();
        }
        assertTrue(counter.maxAnswersInIteration() <= SHARE, counter.maxAnswersInIteration() + " answers in an iteration");
        assertTrue(counter.maxWrites() <= 2 + IN_LINE / SHARE, counter.maxWrites() + " writes");
    }

    /** The same on the flag front. */
    @Test
    void flagRequestsInLineAreSharedAmongIterations() throws Exception {
        FakeServer refusing = new FakeServer("refused");
        configure(entry("s-1", refusing, "SERVING", 1), "", refusing, refusing, 512);
        FlagProtocol flags = new FlagProtocol(loop, FlagSettings.parse(FlagsTest.fields("{'listen':'127.0.0.1:0',"
                + "'servers':[" + FlagsTest.server("s", "127.0.0.1:1", 1, "up") + "]}")), 7);
        agent = new Agent(loop, List.of(flags, queries));
        AnswerCounter counter = new AnswerCounter(this::coreIterations, "HTTP/1.1 405");
        loop.setTrafficListener(counter);
        agent.start();
        TestClient client = new TestClient();
        client.out.write("GET /ofrep/v1/evaluate/flags/f HTTP/1.1\r\nHost: x\r\n\r\n".repeat(IN_LINE)
                .getBytes(StandardCharsets.US_ASCII));
        String all = "";
        while (all.split("HTTP/1.1 405", -1).length - 1 < IN_LINE) {
            byte[] part = new byte[8192];
            all += new String(part, 0, client.in.read(part), StandardCharsets.US_ASCII);
        }
        assertTrue(counter.maxAnswersInIteration() <= SHARE, counter.maxAnswersInIteration() + " answers in an iteration");
        assertTrue(counter.maxWrites() <= 2 + IN_LINE / SHARE, counter.maxWrites() + " writes");
    }

    private long coreIterations() {
        return agent.counters().groups().get("core").get("turns");
    }

    /** Clients that connect and say nothing, or part of a startup, or are reset, cost no resting client its connection. */
    @ParameterizedTest
    @CsvSource({"0, false", "5, false", "0, true"})
    void restingConnectionIsKeptForUnstartedOnes(int startupBytes, boolean isReset) throws Exception {
        FakeServer refusing = new FakeServer("refused");
        start(entry("s-1", new FakeAppliance("ok"), "SERVING", 1), "", refusing, refusing, 64 + 8);
        TestClient resting = new TestClient().handshake();
        assertEquals("ok:v1", resting.call("read", 900));
        for (int i = 0; i < 12; i++) {
            TestClient other = new TestClient();
            other.out.write(STARTUP, 0, startupBytes);
            if (isReset) {
                other.socket.setSoLinger(true, 0);
                other.socket.close();
            }
        }
        assertEquals("ok:v1", new TestClient().withId("new").handshake().call("read", 900));
        assertEquals("ok:v1", resting.call("read", 900));
        assertEquals(0, counter("clients", "crowded"));
    }

    /** A connection that is chosen for closing ends its output then and there, and not after the rest of the iteration. */
    @Test
    void closeOfRestingConnectionDoesNotWaitForTheIteration() throws Exception {
        start(new FakeAppliance("ok"));
        TestClient client = new TestClient().handshake();
        assertEquals("ok:v1", client.call("read", 900));
        CountDownLatch hasSeenEnd = new CountDownLatch(1);
        CountDownLatch iterationDone = new CountDownLatch(1);
        boolean[] wasInTime = new boolean[1];
        agent.runOnLoop(() -> {
            agent.setDrained(true);
            try {
                wasInTime[0] = hasSeenEnd.await(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            iterationDone.countDown();
        });
        assertEquals("end", client.readAnswer());
        hasSeenEnd.countDown();
        iterationDone.await();
        assertTrue(wasInTime[0], "the client saw the end during the iteration");
    }

    /** However long an iteration takes, connections that arrive during it are read before they count as overdue. */
    @Test
    void connectionIsReadBeforeItIsOverdue() throws Exception {
        FakeServer refusing = new FakeServer("refused");
        configure(entry("s-1", new FakeAppliance("ok"), "SERVING", 1), "", refusing, refusing, 64 + 6);
        CountDownLatch isHeldUp = new CountDownLatch(1);
        CountDownLatch isConnected = new CountDownLatch(1);
        onRead(text -> {
            if (text.contains("id=holds-up,")) {
                holdUp(isHeldUp, isConnected);
            }
        });
        agent.start();
        TestClient holdingUp = new TestClient().handshake();
        TestClient resting = new TestClient().handshake();
        assertEquals("ok:v1", resting.call("read", 900));
        assertEquals("ok:v1", holdingUp.call("read", 900));
        LoopPause pause = new LoopPause(() -> { });
        holdingUp.out.write(query(statement("holds-up", "read", 2000)));
        TestClient unread = connectUnopened();
        pause.close();
        isHeldUp.await();
        TestClient next = connectUnopened();
        isConnected.countDown();
        assertEquals("", unread.readAnswer());
        assertEquals("", next.readAnswer());
    }

    /** Connects and writes the startup while the loop is held up, and returns when the connection has been accepted. */
    private TestClient connectUnopened() throws Exception {
        TestClient client = new TestClient();
        client.out.write(STARTUP);
        while (loop.acceptedNotOpened() == 0) {
            Thread.onSpinWait();
        }
        return client;
    }

    /** Holds the loop up until another client has connected, and for longer than the grace of a startup. */
    private static void holdUp(CountDownLatch isHeldUp, CountDownLatch isConnected) {
        isHeldUp.countDown();
        try {
            isConnected.await();
            Thread.sleep(250);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
