package honeygap.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import honeygap.replication.lock.LockMonitor;
import honeygap.replication.lock.Rank;
import honeygap.replication.lock.RankedLock;
import honeygap.replication.work.WorkLimits;
import honeygap.replication.work.WorkKind;
import honeygap.replication.work.WorkQueue;
import honeygap.replication.work.WorkerPool;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WorkTest {

    private static final long NEVER = Long.MAX_VALUE / 2;

    private static Map<WorkKind, WorkLimits> limits(int maxRunning, int maxQueued, long agingInterval, long maxWait) {
        Map<WorkKind, WorkLimits> limits = new EnumMap<>(WorkKind.class);
        for (WorkKind kind : WorkKind.values()) {
            limits.put(kind, new WorkLimits(maxRunning, maxQueued, agingInterval, maxWait));
        }
        return limits;
    }

    /** Items are offered as kind:partner:time; the expected order is that in which they start. */
    @ParameterizedTest
    @CsvSource({
        "EXCHANGE:a:0 PROBE:b:0, 10, PROBE:b EXCHANGE:a",
        "EXCHANGE:a:0 PROBE:a:0, 10, PROBE:a",
        "STORE:a:0 PROBE:b:400, 410, STORE:a PROBE:b",
        "STORE:a:0 PROBE:b:100, 110, PROBE:b STORE:a",
        "PROBE:a:0 PROBE:b:0 PROBE:c:0, 1, PROBE:a PROBE:b",
        "PROBE:a:0 EXCHANGE:a:0 EXCHANGE:c:0, 1, PROBE:a EXCHANGE:c",
        "PROBE:a:0 PROBE:b:900, 1001, PROBE:b",
        "PROBE:a:0 PROBE:a:1 EXCHANGE:b:1, 2, PROBE:a EXCHANGE:b"})
    void selectionOrder(String offers, long now, String expected) {
        WorkQueue queue = new WorkQueue(limits(2, 3, 100, 1000));
        for (String offer : offers.split(" ")) {
            String[] parts = offer.split(":");
            queue.offer(WorkKind.valueOf(parts[0]), parts[1], () -> { }, Long.parseLong(parts[2]));
        }
        StringBuilder actual = new StringBuilder();
        for (var piece = queue.poll(now); piece != null; piece = queue.poll(now)) {
            actual.append(actual.length() > 0 ? " " : "").append(piece);
        }
        assertEquals(expected, actual.toString());
    }

    /** Items beyond the limit and duplicates are dropped and counted by kind. */
    @Test
    void excessItemsAreDropped() {
        WorkQueue queue = new WorkQueue(limits(1, 2, 100, 1000));
        for (String partner : new String[] {"a", "b", "c", "a"}) {
            queue.offer(WorkKind.EXCHANGE, partner, () -> { }, 0);
        }
        assertEquals(2, queue.droppedCount(WorkKind.EXCHANGE));
        assertEquals(0, queue.droppedCount(WorkKind.PROBE));
        assertEquals(null, queue.poll(2000));
        assertEquals(2, queue.staleCount(WorkKind.EXCHANGE));
    }

    /** Lock order violations and blocking under a lock are counted, and fail with assertions enabled. */
    @ParameterizedTest
    @CsvSource({"MEMBERS,LOAD,true", "LOAD,MEMBERS,false", "LOAD,LOAD,false", "QUEUE,PARTNERS,false"})
    void lockOrder(Rank first, Rank second, boolean isAllowed) {
        LockMonitor monitor = new LockMonitor(NEVER);
        RankedLock outer = new RankedLock(first, monitor);
        RankedLock inner = new RankedLock(second, monitor);
        Runnable nested = () -> outer.runLocked(() -> inner.runLocked(() -> { }));
        if (isAllowed) {
            nested.run();
        } else {
            assertThrows(AssertionError.class, nested::run);
        }
        assertEquals(isAllowed ? 0 : 1, monitor.orderViolations());
        assertThrows(AssertionError.class, () -> outer.runLocked(() -> monitor.beforeBlocking("a socket")));
        assertEquals(1, monitor.holdsWhileBlocking());
        monitor.beforeBlocking("a socket");
        assertEquals(1, monitor.holdsWhileBlocking());
    }

    /** A worker thread that dies is replaced and its partner is free again; an exception ends only the item. */
    @Test
    @Timeout(20)
    void deadWorkersAreReplaced() throws InterruptedException {
        try (WorkerPool workers = new WorkerPool(2, limits(2, 100, 100, NEVER), () -> 0L, new LockMonitor(NEVER))) {
            CountDownLatch done = new CountDownLatch(6);
            for (int i = 0; i < 6; i++) {
                int number = i;
                workers.offer(WorkKind.PROBE, "p" + i, () -> {
                    done.countDown();
                    if (number % 3 == 0) {
                        throw new StackOverflowError("made up");
                    }
                    if (number % 3 == 1) {
                        throw new IllegalStateException("made up");
                    }
                });
            }
            assertTrue(done.await(10, TimeUnit.SECONDS));
            CountDownLatch again = new CountDownLatch(6);
            for (int i = 0; i < 6; i++) {
                int number = i;
                while (!workers.offer(WorkKind.PROBE, "p" + number, again::countDown)) {
                    Thread.onSpinWait();
                }
            }
            assertTrue(again.await(10, TimeUnit.SECONDS));
            assertEquals(2, workers.deadWorkers());
            assertEquals(2, workers.failedItems());
        }
    }

    /** At most one item per partner runs at a time, whatever the number of workers. */
    @Test
    @Timeout(20)
    void oneItemPerPartner() throws InterruptedException {
        try (WorkerPool workers = new WorkerPool(4, limits(4, 100, 100, NEVER), () -> 0L, new LockMonitor(NEVER))) {
            AtomicInteger running = new AtomicInteger();
            AtomicInteger maxRunning = new AtomicInteger();
            CountDownLatch done = new CountDownLatch(200);
            for (int i = 0; i < 200; i++) {
                WorkKind kind = WorkKind.values()[i % 4];
                while (!workers.offer(kind, "one", () -> {
                    maxRunning.accumulateAndGet(running.incrementAndGet(), Math::max);
                    Thread.yield();
                    running.decrementAndGet();
                    done.countDown();
                })) {
                    Thread.yield();
                }
            }
            assertTrue(done.await(10, TimeUnit.SECONDS));
            assertEquals(1, maxRunning.get());
        }
    }
}
