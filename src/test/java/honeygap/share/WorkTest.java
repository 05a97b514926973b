package honeygap.share;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import honeygap.share.lock.LockMonitor;
import honeygap.share.lock.Rank;
import honeygap.share.lock.RankedLock;
import honeygap.share.work.WorkLimits;
import honeygap.share.work.WorkKind;
import honeygap.share.work.WorkQueue;
import honeygap.share.work.WorkerPool;
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

    private static Map<WorkKind, WorkLimits> budgets(int running, int waiting, long ages, long stale) {
        Map<WorkKind, WorkLimits> budgets = new EnumMap<>(WorkKind.class);
        for (WorkKind kind : WorkKind.values()) {
            budgets.put(kind, new WorkLimits(running, waiting, ages, stale));
        }
        return budgets;
    }

    /** Offers as kind:partner:time; which are begun at the end, in their order. */
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
    void order(String offers, long at, String begun) {
        WorkQueue line = new WorkQueue(budgets(2, 3, 100, 1000));
        for (String offer : offers.split(" ")) {
            String[] parts = offer.split(":");
            line.offer(WorkKind.valueOf(parts[0]), parts[1], () -> { }, Long.parseLong(parts[2]));
        }
        StringBuilder said = new StringBuilder();
        for (var piece = line.poll(at); piece != null; piece = line.poll(at)) {
            said.append(said.length() > 0 ? " " : "").append(piece);
        }
        assertEquals(begun, said.toString());
    }

    /** What is too much, or the same once more, is dropped and counted by its kind. */
    @Test
    void droppedByKind() {
        WorkQueue line = new WorkQueue(budgets(1, 2, 100, 1000));
        for (String partner : new String[] {"a", "b", "c", "a"}) {
            line.offer(WorkKind.EXCHANGE, partner, () -> { }, 0);
        }
        assertEquals(2, line.droppedCount(WorkKind.EXCHANGE));
        assertEquals(0, line.droppedCount(WorkKind.PROBE));
        assertEquals(null, line.poll(2000));
        assertEquals(2, line.staleCount(WorkKind.EXCHANGE));
    }

    /** Wrong orders and waits under a lock fail where assertions are on, and are counted always. */
    @ParameterizedTest
    @CsvSource({"MEMBERS,LOAD,true", "LOAD,MEMBERS,false", "LOAD,LOAD,false", "QUEUE,PARTNERS,false"})
    void lockOrder(Rank first, Rank then, boolean may) {
        LockMonitor discipline = new LockMonitor(NEVER);
        RankedLock outer = new RankedLock(first, discipline);
        RankedLock inner = new RankedLock(then, discipline);
        Runnable both = () -> outer.runLocked(() -> inner.runLocked(() -> { }));
        if (may) {
            both.run();
        } else {
            assertThrows(AssertionError.class, both::run);
        }
        assertEquals(may ? 0 : 1, discipline.orderViolations());
        assertThrows(AssertionError.class, () -> outer.runLocked(() -> discipline.beforeBlocking("a socket")));
        assertEquals(1, discipline.holdsWhileBlocking());
        discipline.beforeBlocking("a socket");
        assertEquals(1, discipline.holdsWhileBlocking());
    }

    /** A worker that dies is replaced, its partner is free again; a fault of the work ends the work alone. */
    @Test
    @Timeout(20)
    void workersDie() throws InterruptedException {
        try (WorkerPool workers = new WorkerPool(2, budgets(2, 100, 100, NEVER), () -> 0L, new LockMonitor(NEVER))) {
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

    /** Never two at once with one partner, however many workers there are. */
    @Test
    @Timeout(20)
    void oneAtATimeWithAPartner() throws InterruptedException {
        try (WorkerPool workers = new WorkerPool(4, budgets(4, 100, 100, NEVER), () -> 0L, new LockMonitor(NEVER))) {
            AtomicInteger inside = new AtomicInteger();
            AtomicInteger most = new AtomicInteger();
            CountDownLatch done = new CountDownLatch(200);
            for (int i = 0; i < 200; i++) {
                WorkKind kind = WorkKind.values()[i % 4];
                while (!workers.offer(kind, "one", () -> {
                    most.accumulateAndGet(inside.incrementAndGet(), Math::max);
                    Thread.yield();
                    inside.decrementAndGet();
                    done.countDown();
                })) {
                    Thread.yield();
                }
            }
            assertTrue(done.await(10, TimeUnit.SECONDS));
            assertEquals(1, most.get());
        }
    }
}
