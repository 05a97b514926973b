package honeygap.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Events that occur between two steps of an agent that is shutting down; docs/crossings.md lists them. */
class ShutdownTest extends Loopback {

    private CompletableFuture<Integer> shutdown;

    /** Begins a shutdown; returns once the agent closes idle connections. */
    private void shutDownUntilClosing(FakeAppliance appliance) throws Exception {
        TestClient idle = new TestClient().withId("resting").handshake();
        assertEquals("ok:v1", idle.call("read", 900));
        beginShutdown(appliance);
        assertEquals("end", idle.readAnswer());
    }

    /**
     * Begins a shutdown; its result is the number of statements that the appliance had received when the agent ended.
     */
    private void beginShutdown(FakeAppliance appliance) {
        shutdown = CompletableFuture.supplyAsync(() -> {
            try {
                agent.shutDownGracefully();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            return appliance.received.size();
        });
    }

    /** Pipelined RPCs, or part of one, on a connection when the agent closes connections: each is answered. */
    @ParameterizedTest
    @CsvSource({"1,0", "3,0", "3,30", "0,5", "0,90"})
    void pipelinedRpcs(int complete, int partialBytes) throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok delayed ok");
        start(appliance);
        TestClient client = new TestClient().handshake();
        byte[] next = query(statement("next", "assign", 2900));
        if (complete == 0) {
            appliance.released.countDown();
        }
        TestClient idle = new TestClient().withId("resting").handshake();
        assertEquals("ok:v1", idle.call("read", 900));
        List<byte[]> all = new ArrayList<>();
        for (int i = 0; i < complete; i++) {
            all.add(query(statement("in" + i, "assign", 2900)));
        }
        all.add(Arrays.copyOf(next, partialBytes));
        client.out.write(join(all.toArray(byte[][]::new)));
        while (complete > 0 && appliance.received.size() < 2) {
            Thread.onSpinWait();
        }
        beginShutdown(appliance);
        assertEquals("end", idle.readAnswer());
        appliance.released.countDown();
        for (int i = 0; i < complete; i++) {
            assertEquals("ok:v1", client.readAnswer());
        }
        if (partialBytes > 0) {
            client.out.write(next, partialBytes, next.length - partialBytes);
            assertEquals("ok:v1", client.readAnswer());
        }
        assertEquals("end", client.readAnswer());
        assertEquals(1 + complete + (partialBytes > 0 ? 1 : 0), shutdown.get(10, TimeUnit.SECONDS));
    }

    /** An RPC that has arrived but is unread when its connection is to be closed is answered first. */
    @Test
    void rpcArrivesBeforeClose() throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        start(appliance);
        TestClient client = new TestClient().handshake();
        assertEquals("ok:v1", client.call("assign", 900));
        LoopPause pause = new LoopPause(queries::closeBetweenRpcs);
        client.out.write(query(statement("late", "assign", 900)));
        pause.close();
        assertEquals("ok:v1", client.readAnswer());
        assertEquals("end", client.readAnswer());
    }

    /** An RPC that arrives after the decision to close stays unread: if it were read and dropped, it would be lost. */
    @Test
    void rpcArrivesAfterCloseDecision() throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        FakeServer refusing = new FakeServer("refused");
        configure(entry("s-1", appliance, "SERVING", 1), "", refusing, refusing, 1024);
        StringBuffer read = new StringBuffer();
        onRead(read::append);
        agent.start();
        TestClient client = new TestClient().handshake();
        assertEquals("ok:v1", client.call("assign", 900));
        new LoopPause(() -> {
            queries.closeBetweenRpcs();
            try {
                client.out.write(query(statement("late", "assign", 900)));
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }).close();
        assertEquals("end", client.readAnswer());
        assertTrue(read.indexOf("id=9b1f,") >= 0 && read.indexOf("id=late,") < 0, "read: " + read);
        assertEquals(1, appliance.received.size());
    }

    /** A connection accepted just before the close gets an answer to its first RPC. */
    @ParameterizedTest
    @CsvSource({"false", "true"})
    void newConnection(boolean isStarted) throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        start(appliance);
        TestClient client = new TestClient();
        if (isStarted) {
            client.handshake();
        } else {
            awaitCounter("clients", "here", 1);
        }
        new LoopPause(queries::closeBetweenRpcs).close();
        if (!isStarted) {
            client.handshake();
        }
        assertEquals("ok:v1", client.call("assign", 900));
        assertEquals("end", client.readAnswer());
    }

    /**
     * The same after the loop was blocked when the connection arrived: its grace period begins when the loop sees it.
     */
    @Test
    void newConnectionAfterLoopPause() throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        start(appliance);
        // With an open connection the loop waits in the selector.
        new TestClient().handshake();
        LoopPause pause = new LoopPause(() -> { });
        TestClient client = new TestClient();
        long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(500);
        while (System.nanoTime() < due) {
            Thread.onSpinWait();
        }
        pause.close();
        client.handshake();
        new LoopPause(queries::closeBetweenRpcs).close();
        assertEquals("ok:v1", client.call("assign", 900));
        assertEquals("end", client.readAnswer());
    }

    /**
     * An answer that was written reaches the client although the close leaves a request unread and so resets the
     * connection.
     */
    @Test
    void answerBeforeReset() throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        start(appliance);
        TestClient client = new TestClient().handshake();
        client.out.write(query(statement("first", "assign", 900)));
        awaitCounter("links", "ok", 1);
        awaitCounter("clients", "idle", 1);
        new LoopPause(() -> {
            queries.closeBetweenRpcs();
            try {
                client.out.write(query(statement("second", "assign", 900)));
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }).close();
        awaitCounter("clients", "here", 0);
        assertEquals("ok:v1", client.readAnswer());
        assertEquals("end", client.readAnswer());
        assertEquals(1, appliance.received.size());
    }

    /** A client that does not read an answer larger than the socket buffers does not delay the end. */
    @Test
    void unreadAnswer() throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        appliance.value = "v".repeat(60_000);
        start(appliance);
        TestClient client = new TestClient().handshake();
        byte[] request = query(statement("unread", "read", 2900));
        for (int i = 0; i < 60; i++) {
            client.out.write(request);
        }
        while (appliance.received.isEmpty()) {
            Thread.onSpinWait();
        }
        long since = System.nanoTime();
        beginShutdown(appliance);
        shutdown.get(10, TimeUnit.SECONDS);
        long tookMs = (System.nanoTime() - since) / 1_000_000;
        assertTrue(tookMs < 3700, "ended after " + tookMs + " ms");
    }

    /** Drained, told to shut down and undrained: the agent still closes each connection after its RPCs and ends. */
    @Test
    void drainedAndUndrained() throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        start(appliance);
        TestClient idle = new TestClient().handshake();
        assertEquals("ok:v1", idle.call("read", 900));
        new LoopPause(() -> agent.setDrained(true)).close();
        assertEquals("end", idle.readAnswer());
        beginShutdown(appliance);
        awaitCounter("shutdown", "signalled", 1);
        new LoopPause(() -> agent.setDrained(false)).close();
        TestClient late = new TestClient().handshake();
        assertEquals("ok:v1", late.call("read", 900));
        assertEquals("end", late.readAnswer());
        shutdown.get(10, TimeUnit.SECONDS);
    }

    /**
     * A connection that was accepted, and that the loop has not seen when it checks for open ones, is served before
     * the end.
     */
    @Test
    void acceptedAtEnd() throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        start(appliance);
        beginShutdown(appliance);
        long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1500);
        LoopPause pause = new LoopPause(() -> { });
        TestClient client = new TestClient();
        client.out.write(join(STARTUP, query(statement("assign", 900))));
        // Waits past the agent's own timers, so that they are due when the loop resumes.
        while (System.nanoTime() < due) {
            Thread.onSpinWait();
        }
        pause.close();
        client.readAnswer();
        assertEquals("ok:v1", client.readAnswer());
        assertEquals(1, shutdown.get(10, TimeUnit.SECONDS));
    }

    /** Clients send on every connection that stays open: each RPC is answered or was never sent to an appliance. */
    @Test
    void clientsKeepSending() throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        start(appliance);
        List<CompletableFuture<String>> lastIds = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            TestClient client = new TestClient().withId("c" + i + "n").handshake();
            assertEquals("ok:v1", client.call("read", 900));
            String name = client.id;
            lastIds.add(CompletableFuture.supplyAsync(() -> {
                int number = 0;
                try {
                    while (client.withId(name + number).call("read", 900).equals("ok:v1")) {
                        number++;
                    }
                } catch (IOException e) {
                    // Closed before the request was written.
                }
                return client.id;
            }, runnable -> new Thread(runnable).start()));
        }
        beginShutdown(appliance);
        for (CompletableFuture<String> lastId : lastIds) {
            String id = lastId.get(10, TimeUnit.SECONDS);
            assertTrue(appliance.received.stream().noneMatch(statement -> statement.contains("id=" + id + ",")),
                    id + " was sent to the appliance");
        }
        shutdown.get(10, TimeUnit.SECONDS);
    }

    /** A shutdown before the start returns at once, and the agent does not listen. */
    @Test
    void shutdownBeforeStart() throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        configure(entry("s-1", appliance, "SERVING", 1), "", new FakeServer("refused"), new FakeServer("refused"), 1024);
        Agent early = agent;
        // The loop does not run: there is nothing to close.
        agent = null;
        early.shutDownGracefully();
        early.start();
        assertThrows(IndexOutOfBoundsException.class, () -> early.address(0));
    }

    /** After a reload before the start the agent uses the addresses read last. */
    @Test
    void reloadBeforeStart() throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        FakeServer desk = new FakeServer("silent");
        configure(entry("s-1", appliance, "SERVING", 1), "", new FakeServer("refused"), new FakeServer("refused"), 1024);
        long faults = Loop.faultCount();
        agent.reload(List.of(() -> queries.reload(fields("{'discovery':'127.0.0.1:1','rollouts':{'address':'"
                + desk.address() + "'}}"))));
        agent.start();
        desk.received.take();
        assertEquals(faults, Loop.faultCount());
        assertEquals(1, counter("agent", "rereads"));
    }

    /** Concurrent reloads: the one that read its files first is not applied last. */
    @Test
    void concurrentReloads() throws Exception {
        FakeAppliance appliance = new FakeAppliance("ok");
        start(appliance);
        List<String> applied = new ArrayList<>();
        CountDownLatch isReading = new CountDownLatch(1);
        CountDownLatch resume = new CountDownLatch(1);
        Thread first = new Thread(() -> agent.reload(List.of(() -> {
            isReading.countDown();
            try {
                resume.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            return () -> applied.add("first");
        })));
        first.start();
        isReading.await();
        Thread second = new Thread(() -> agent.reload(List.of(() -> () -> applied.add("second"))));
        second.start();
        // It waits for the first, or has been applied already.
        while (second.getState() != Thread.State.BLOCKED && second.isAlive()) {
            Thread.onSpinWait();
        }
        resume.countDown();
        awaitCounter("agent", "rereads", 2);
        assertEquals(List.of("first", "second"), applied);
        assertFalse(first.isAlive() && second.isAlive());
    }
}
