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

/** What comes between two steps of an agent that has been told to end: docs/crossings.md has the table. */
class ShutdownTest extends Loopback {

    private CompletableFuture<Integer> left;

    /** The agent leaves; comes back when it closes connections between RPCs, seen on one that rests. */
    private void leave(Fleet fleet) throws Exception {
        Caller resting = new Caller().as("resting").hello();
        assertEquals("ok:v1", resting.ask("read", 900));
        beginLeaving(fleet);
        assertEquals("end", resting.hear());
    }

    /** What the appliance had heard when the agent had nothing more to do. */
    private void beginLeaving(Fleet fleet) {
        left = CompletableFuture.supplyAsync(() -> {
            try {
                agent.leave();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            return fleet.heard.size();
        });
    }

    /** RPCs in line on one connection, or half of one, when the agent closes connections: each gets its answer. */
    @ParameterizedTest
    @CsvSource({"1,0", "3,0", "3,30", "0,5", "0,90"})
    void inLine(int whole, int half) throws Exception {
        Fleet fleet = new Fleet("ok held ok");
        start(fleet);
        Caller caller = new Caller().hello();
        byte[] next = query(statement("next", "assign", 2900));
        if (whole == 0) {
            fleet.go.countDown();
        }
        Caller resting = new Caller().as("resting").hello();
        assertEquals("ok:v1", resting.ask("read", 900));
        List<byte[]> all = new ArrayList<>();
        for (int i = 0; i < whole; i++) {
            all.add(query(statement("in" + i, "assign", 2900)));
        }
        all.add(Arrays.copyOf(next, half));
        caller.out.write(join(all.toArray(byte[][]::new)));
        while (whole > 0 && fleet.heard.size() < 2) {
            Thread.onSpinWait();
        }
        beginLeaving(fleet);
        assertEquals("end", resting.hear());
        fleet.go.countDown();
        for (int i = 0; i < whole; i++) {
            assertEquals("ok:v1", caller.hear());
        }
        if (half > 0) {
            caller.out.write(next, half, next.length - half);
            assertEquals("ok:v1", caller.hear());
        }
        assertEquals("end", caller.hear());
        assertEquals(1 + whole + (half > 0 ? 1 : 0), left.get(10, TimeUnit.SECONDS));
    }

    /** An RPC that has come, unread, when its connection is to be closed is answered first. */
    @Test
    void justBeforeTheClose() throws Exception {
        Fleet fleet = new Fleet("ok");
        start(fleet);
        Caller caller = new Caller().hello();
        assertEquals("ok:v1", caller.ask("assign", 900));
        Hold hold = new Hold(queries::closeBetweenRpcs);
        caller.out.write(query(statement("late", "assign", 900)));
        hold.close();
        assertEquals("ok:v1", caller.hear());
        assertEquals("end", caller.hear());
    }

    /** One that comes when the close is decided is left unread: read and dropped, it would be lost. */
    @Test
    void justAfterTheClose() throws Exception {
        Fleet fleet = new Fleet("ok");
        StandIn nobody = new StandIn("refused");
        configure(entry("s-1", fleet, "SERVING", 1), "", nobody, nobody, 1024);
        StringBuffer read = new StringBuffer();
        onRead(read::append);
        agent.start();
        Caller caller = new Caller().hello();
        assertEquals("ok:v1", caller.ask("assign", 900));
        new Hold(() -> {
            queries.closeBetweenRpcs();
            try {
                caller.out.write(query(statement("late", "assign", 900)));
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }).close();
        assertEquals("end", caller.hear());
        assertTrue(read.indexOf("id=9b1f,") >= 0 && read.indexOf("id=late,") < 0, "read: " + read);
        assertEquals(1, fleet.heard.size());
    }

    /** A connection that came just before is owed the answer to its first RPC. */
    @ParameterizedTest
    @CsvSource({"false", "true"})
    void newConnection(boolean isWelcome) throws Exception {
        Fleet fleet = new Fleet("ok");
        start(fleet);
        Caller caller = new Caller();
        if (isWelcome) {
            caller.hello();
        } else {
            await("clients", "here", 1);
        }
        new Hold(queries::closeBetweenRpcs).close();
        if (!isWelcome) {
            caller.hello();
        }
        assertEquals("ok:v1", caller.ask("assign", 900));
        assertEquals("end", caller.hear());
    }

    /** The same where the loop had stood still just before it came: its turn counts from when it was seen. */
    @Test
    void newConnectionAfterAStandstill() throws Exception {
        Fleet fleet = new Fleet("ok");
        start(fleet);
        // With a connection open the loop waits at the sockets.
        new Caller().hello();
        Hold hold = new Hold(() -> { });
        Caller caller = new Caller();
        long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(500);
        while (System.nanoTime() < due) {
            Thread.onSpinWait();
        }
        hold.close();
        caller.hello();
        new Hold(queries::closeBetweenRpcs).close();
        assertEquals("ok:v1", caller.ask("assign", 900));
        assertEquals("end", caller.hear());
    }

    /** An answer that was written is read, though the close behind it leaves a request unread and resets the connection. */
    @Test
    void answerBeforeAReset() throws Exception {
        Fleet fleet = new Fleet("ok");
        start(fleet);
        Caller caller = new Caller().hello();
        caller.out.write(query(statement("first", "assign", 900)));
        await("links", "ok", 1);
        await("clients", "idle", 1);
        new Hold(() -> {
            queries.closeBetweenRpcs();
            try {
                caller.out.write(query(statement("second", "assign", 900)));
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }).close();
        await("clients", "here", 0);
        assertEquals("ok:v1", caller.hear());
        assertEquals("end", caller.hear());
        assertEquals(1, fleet.heard.size());
    }

    /** A client that reads nothing of an answer larger than the sockets' buffers holds up no end. */
    @Test
    void unreadAnswer() throws Exception {
        Fleet fleet = new Fleet("ok");
        fleet.value = "v".repeat(60_000);
        start(fleet);
        Caller caller = new Caller().hello();
        byte[] request = query(statement("unread", "read", 2900));
        for (int i = 0; i < 60; i++) {
            caller.out.write(request);
        }
        while (fleet.heard.isEmpty()) {
            Thread.onSpinWait();
        }
        long since = System.nanoTime();
        beginLeaving(fleet);
        left.get(10, TimeUnit.SECONDS);
        long tookMs = (System.nanoTime() - since) / 1_000_000;
        assertTrue(tookMs < 3700, "over after " + tookMs + " ms");
    }

    /** Drained, told to end and undrained: it ends all the same, and takes nobody. */
    @Test
    void drainedAndUndrained() throws Exception {
        Fleet fleet = new Fleet("ok");
        start(fleet);
        Caller resting = new Caller().hello();
        assertEquals("ok:v1", resting.ask("read", 900));
        new Hold(() -> agent.drain(true)).close();
        assertEquals("end", resting.hear());
        beginLeaving(fleet);
        await("shutdown", "signalled", 1);
        new Hold(() -> agent.drain(false)).close();
        Caller late = new Caller().hello();
        assertEquals("ok:v1", late.ask("read", 900));
        assertEquals("end", late.hear());
        left.get(10, TimeUnit.SECONDS);
    }

    /** One that has been accepted and not seen when the agent finds nobody here is served before the end. */
    @Test
    void acceptedAtTheEnd() throws Exception {
        Fleet fleet = new Fleet("ok");
        start(fleet);
        beginLeaving(fleet);
        long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1500);
        Hold hold = new Hold(() -> { });
        Caller caller = new Caller();
        caller.out.write(join(STARTUP, query(statement("assign", 900))));
        // The agent's own timers are what it crosses: they are due when the loop goes on.
        while (System.nanoTime() < due) {
            Thread.onSpinWait();
        }
        hold.close();
        caller.hear();
        assertEquals("ok:v1", caller.hear());
        assertEquals(1, left.get(10, TimeUnit.SECONDS));
    }

    /** Clients that send on every connection that stays open: an RPC is answered, or was never sent on. */
    @Test
    void sentOnTo() throws Exception {
        Fleet fleet = new Fleet("ok");
        start(fleet);
        List<CompletableFuture<String>> last = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            Caller caller = new Caller().as("c" + i + "n").hello();
            assertEquals("ok:v1", caller.ask("read", 900));
            String name = caller.id;
            last.add(CompletableFuture.supplyAsync(() -> {
                int number = 0;
                try {
                    while (caller.as(name + number).ask("read", 900).equals("ok:v1")) {
                        number++;
                    }
                } catch (IOException e) {
                    // Closed before it was written.
                }
                return caller.id;
            }, runnable -> new Thread(runnable).start()));
        }
        beginLeaving(fleet);
        for (CompletableFuture<String> one : last) {
            String id = one.get(10, TimeUnit.SECONDS);
            assertTrue(fleet.heard.stream().noneMatch(heard -> heard.contains("id=" + id + ",")), id + " was sent on");
        }
        left.get(10, TimeUnit.SECONDS);
    }

    /** Told to end before it has started it is ready to end at once, and takes nobody. */
    @Test
    void beforeTheStart() throws Exception {
        Fleet fleet = new Fleet("ok");
        configure(entry("s-1", fleet, "SERVING", 1), "", new StandIn("refused"), new StandIn("refused"), 1024);
        Agent early = agent;
        // Its loop does not run: there is nothing to end.
        agent = null;
        early.leave();
        early.start();
        assertThrows(IndexOutOfBoundsException.class, () -> early.address(0));
    }

    /** Told to read its files again before it has started, it asks at the addresses that it read last. */
    @Test
    void rereadBeforeTheStart() throws Exception {
        Fleet fleet = new Fleet("ok");
        StandIn desk = new StandIn("silent");
        configure(entry("s-1", fleet, "SERVING", 1), "", new StandIn("refused"), new StandIn("refused"), 1024);
        long faults = Loop.faultCount();
        agent.reread(List.of(() -> queries.reread(fields("{'discovery':'127.0.0.1:1','rollouts':{'address':'"
                + desk.address() + "'}}"))));
        agent.start();
        desk.heard.take();
        assertEquals(faults, Loop.faultCount());
        assertEquals(1, counter("agent", "rereads"));
    }

    /** Of two signals the one that read its files first is not the one that tells last. */
    @Test
    void twoRereads() throws Exception {
        Fleet fleet = new Fleet("ok");
        start(fleet);
        List<String> told = new ArrayList<>();
        CountDownLatch reads = new CountDownLatch(1);
        CountDownLatch goesOn = new CountDownLatch(1);
        Thread first = new Thread(() -> agent.reread(List.of(() -> {
            reads.countDown();
            try {
                goesOn.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            return () -> told.add("first");
        })));
        first.start();
        reads.await();
        Thread second = new Thread(() -> agent.reread(List.of(() -> () -> told.add("second"))));
        second.start();
        // It waits for the first, or has told already.
        while (second.getState() != Thread.State.BLOCKED && second.isAlive()) {
            Thread.onSpinWait();
        }
        goesOn.countDown();
        await("agent", "rereads", 2);
        assertEquals(List.of("first", "second"), told);
        assertFalse(first.isAlive() && second.isAlive());
    }
}
