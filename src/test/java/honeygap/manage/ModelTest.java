package honeygap.manage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The managing side's decisions: alone, and in thousands of schedules with loss, delay, copies, deaths and restarts. */
class ModelTest {

    private static final int SCHEDULES = Integer.getInteger("schedules", 2000);
    private static final long SECOND = 10_000;

    /** What becomes of commands at a ledger, one after another: id, number, generation; what it says of each. */
    @ParameterizedTest
    @CsvSource({
        "a/1/7 a/1/7,APPLY ALREADY", "a/2/7 b/1/7,APPLY TOO_LATE", "a/1/7 b/2/0,APPLY APPLY", "a/1/6,OTHER_GENERATION",
        "-a/1 a/1/7,TOO_LATE", "a/1/7 -a/1 a/1/7,APPLY ALREADY", "-a/5 b/4/7,APPLY",
        "a/1/7 b/2/7 c/3/7 d/4/7 a/1/7 c/3/7,APPLY APPLY APPLY APPLY TOO_LATE ALREADY"})
    void ledger(String commands, String answers) {
        Ledger ledger = new Ledger(3, 7);
        StringBuilder said = new StringBuilder();
        for (String command : commands.split(" ")) {
            String[] parts = command.split("/");
            if (command.startsWith("-")) {
                ledger.calledOff(parts[0].substring(1), Long.parseLong(parts[1]));
                continue;
            }
            Ledger.Answer answer = ledger.asked(parts[0], Long.parseLong(parts[1]), Long.parseLong(parts[2]));
            said.append(said.length() > 0 ? " " : "").append(answer);
            if (answer == Ledger.Answer.APPLY) {
                ledger.applied(parts[0], Long.parseLong(parts[1]), "drain", "drained");
            }
        }
        assertEquals(answers, said.toString());
    }

    /** Suspicion grows with silence; many at once tell of this end; another process is no sign of the one before. */
    @Test
    void membership() {
        Membership membership = new Membership(SECOND);
        long now = 0;
        for (int i = 0; i < 30; i++) {
            now += SECOND;
            membership.advanceTo(now);
            for (int j = 0; j < 5; j++) {
                membership.recordHeartbeat("a" + j, 1);
            }
        }
        assertTrue(membership.members().stream().allMatch(one -> one.standing() == Membership.Standing.ALIVE));
        for (int i = 0; i < 10; i++) {
            now += SECOND;
            membership.advanceTo(now);
            for (int j = 1; j < 5; j++) {
                membership.recordHeartbeat("a" + j, 1);
            }
        }
        assertEquals(Membership.Standing.SUSPECT, membership.member("a0").standing());
        now += 30 * SECOND;
        membership.advanceTo(now);
        assertTrue(membership.isCutOff());
        assertEquals(Membership.Standing.ALIVE, membership.member("a1").standing(), "judgement rests");
        assertTrue(membership.recordHeartbeat("a0", 2));
        assertEquals(1, membership.member("a0").restarts);
        for (int j = 1; j < 5; j++) {
            membership.recordHeartbeat("a" + j, 1);
        }
        membership.advanceTo(now + SECOND / 2);
        assertTrue(!membership.isCutOff());
    }

    /** Asked again, asked twice, asked by two: which operation it is. */
    @Test
    void asked() {
        OperationScheduler operations = new OperationScheduler(1, new Membership(SECOND));
        OperationScheduler.Admission[] taken = new OperationScheduler.Admission[1];
        List<String> two = List.of("a", "b");
        Operation first = operations.request("x", "drain", "", two, 1, 0, SECOND, false, taken);
        assertEquals(OperationScheduler.Admission.NEW, taken[0]);
        assertEquals(first, operations.request("x", "drain", "", two, 1, 0, SECOND, false, taken));
        assertEquals(OperationScheduler.Admission.SAME, taken[0]);
        assertEquals(first, operations.request("y", "drain", "", two, 1, 0, SECOND, false, taken));
        assertEquals(OperationScheduler.Admission.SAME, taken[0]);
        operations.request("x", "undrain", "", two, 1, 0, SECOND, false, taken);
        assertEquals(OperationScheduler.Admission.INVALID, taken[0]);
        assertEquals(first, operations.request("z", "undrain", "", List.of("b"), 1, 0, SECOND, false, taken));
        assertEquals(OperationScheduler.Admission.BUSY, taken[0]);
        operations.request("z", "undrain", "", List.of("c"), 1, 0, SECOND, false, taken);
        assertEquals(OperationScheduler.Admission.NEW, taken[0]);
    }

    /** An instance of the model: what it has done outlives its processes, what stands in memory does not. */
    private static final class Instance {
        final String name;
        Ledger ledger;
        final List<Ledger.Entry> disk = new ArrayList<>();
        final Map<String, Integer> effects = new HashMap<>();
        boolean isDrained;
        boolean isUp = true;
        boolean isStopped;

        Instance(String name, long generation) {
            this.name = name;
            ledger = new Ledger(50, generation);
        }

        void start(long generation) {
            ledger = new Ledger(50, generation);
            disk.forEach(ledger::restored);
            isDrained = false;
            isUp = true;
        }
    }

    private record Event(long at, long number, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    /** One schedule: a manager, instances, and a network that loses, delays, and copies. */
    private static final class Model implements OperationScheduler.Actions {

        private final long seed;
        private final Random random;
        private final PriorityQueue<Event> events = new PriorityQueue<>();
        private final Map<String, Instance> instances = new LinkedHashMap<>();
        private final Map<String, Operation.Snapshot> log = new LinkedHashMap<>();
        private Membership membership;
        private OperationScheduler operations;
        private long now;
        private long numbers;
        private long generations = 100;
        private long steps;
        private int managers;
        private boolean isCalm;
        private boolean crashesNext;

        Model(long seed, int count) {
            this.seed = seed;
            random = new Random(seed);
            for (int i = 0; i < count; i++) {
                instances.put("a" + i, new Instance("a" + i, ++generations));
            }
            manager();
        }

        private void manager() {
            int number = ++managers;
            membership = new Membership(SECOND);
            membership.advanceTo(now);
            instances.keySet().forEach(membership::join);
            operations = new OperationScheduler(seed * 31 + number, membership);
            operations.setNow(now);
            log.values().forEach(written -> operations.restore(Operation.of(written)));
            poll(number);
        }

        private void poll(int number) {
            if (number != managers) {
                return;
            }
            for (Instance one : instances.values()) {
                // A poll and its answer: how it stands, and which process it is.
                message(() -> {
                    if (one.isUp && !one.isStopped) {
                        long generation = one.ledger.generation();
                        boolean isDrained = one.isDrained;
                        message(() -> {
                            if (number == managers) {
                                membership.recordHeartbeat(one.name, generation);
                                operations.setDrained(one.name, isDrained);
                            }
                        });
                    }
                });
            }
            at(SECOND / 2, () -> poll(number));
        }

        private void at(long after, Runnable what) {
            events.add(new Event(now + after, numbers++, what));
        }

        /** On its way: lost, once, twice, soon or late. */
        private void message(Runnable arrives) {
            int copies = isCalm || random.nextInt(20) > 1 ? 1 : random.nextInt(3);
            for (int i = 0; i < copies; i++) {
                at(1 + random.nextInt(isCalm || random.nextInt(10) > 0 ? 200 : 60_000), arrives);
            }
        }

        private void check(boolean holds, String what) {
            assertTrue(holds, "seed " + seed + ", step " + steps + ": " + what);
        }

        @Override
        public void persist(Operation operation) {
            log.put(operation.id, operation.snapshot());
            // The manager may die just after anything was written, before what rests on it was done.
            crashesNext |= !isCalm && random.nextInt(60) == 0;
            if (crashesNext) {
                throw new Died();
            }
        }

        private static final class Died extends RuntimeException {
            private static final long serialVersionUID = 1;
        }

        private void gone(int number, Operation operation, Step step, boolean isSent) {
            // No answer within the host's own patience.
            at(15_000, () -> {
                if (number == managers) {
                    operations.onNoAnswer(operation, step);
                }
            });
        }

        @Override
        public void send(Operation operation, Step step, long generation) {
            int number = managers;
            Instance one = instances.get(step.instance);
            String id = operation.id;
            long fence = operation.number;
            message(() -> {
                if (!one.isUp) {
                    return;
                }
                if (one.isStopped) {
                    // It lies in its socket until the process goes on.
                    at(5_000, () -> arrive(one, operation, step, id, fence, generation, number));
                    return;
                }
                arrive(one, operation, step, id, fence, generation, number);
            });
            gone(number, operation, step, true);
        }

        private void arrive(Instance one, Operation operation, Step step, String id, long fence, long generation,
                            int number) {
            if (!one.isUp || one.isStopped) {
                return;
            }
            Ledger.Answer answer = one.ledger.asked(id, fence, generation);
            if (answer == Ledger.Answer.APPLY) {
                one.effects.merge(id, 1, Integer::sum);
                one.isDrained = operation.action.equals("drain");
                one.disk.add(one.ledger.applied(id, fence, operation.action, "done"));
                bound();
                if (!isCalm && random.nextInt(25) == 0) {
                    // It dies after it has applied, before it answers.
                    die(one);
                    return;
                }
            }
            message(() -> {
                if (number != managers) {
                    return;
                }
                switch (answer) {
                    case APPLY, ALREADY -> operations.onAnswer(operation, step, true, "done");
                    case TOO_LATE -> operations.onAnswer(operation, step, false, "too late");
                    default -> operations.onNoAnswer(operation, step);
                }
            });
        }

        private void die(Instance one) {
            one.isUp = false;
            at(1_000 + random.nextInt(50_000), () -> one.start(++generations));
        }

        private void look(Operation operation, Step step, boolean isCallOff) {
            int number = managers;
            Instance one = instances.get(step.instance);
            message(() -> {
                if (!one.isUp || one.isStopped) {
                    return;
                }
                Ledger.Entry known = one.ledger.entry(operation.id);
                if (isCallOff && known == null) {
                    known = one.ledger.calledOff(operation.id, operation.number);
                    one.disk.add(known);
                }
                Ledger.Entry entry = known;
                message(() -> {
                    if (number != managers) {
                        return;
                    }
                    if (entry == null) {
                        operations.onNotInLedger(operation, step);
                    } else {
                        boolean isApplied = !entry.outcome().equals(Ledger.CALLED_OFF);
                        operations.onAnswer(operation, step, isApplied, entry.outcome());
                    }
                });
            });
            gone(number, operation, step, false);
        }

        @Override
        public void queryLedger(Operation operation, Step step) {
            look(operation, step, false);
        }

        @Override
        public void callOff(Operation operation, Step step) {
            look(operation, step, true);
        }

        private int bound = Integer.MAX_VALUE;

        /** Never more out of service by command than the bound. */
        private void bound() {
            long out = instances.values().stream().filter(one -> one.isUp && one.isDrained).count();
            check(out <= bound, out + " drained, at most " + bound);
        }

        private void pull() {
            try {
                operations.setNow(now);
                membership.advanceTo(now);
                for (int i = 0; operations.decideNext(this); i++) {
                    check(i < 10_000, "no end of decisions");
                }
            } catch (Died e) {
                crashesNext = false;
                managers++;
                at(random.nextInt(20_000), this::manager);
            }
        }

        private boolean isManaged() {
            return operations != null;
        }

        void run(long until, Runnable each) {
            while (!events.isEmpty() && events.peek().at <= until) {
                Event event = events.poll();
                now = Math.max(now, event.at);
                steps++;
                operations.setNow(now);
                membership.advanceTo(now);
                event.what.run();
                pull();
                each.run();
            }
            now = Math.max(now, until);
        }
    }

    /** Applied at most once, never more drained than the bound, every operation ends, and what is reported is true. */
    @Test
    void schedules() {
        AtomicInteger applied = new AtomicInteger();
        AtomicInteger notApplied = new AtomicInteger();
        LongStream.rangeClosed(1, SCHEDULES).parallel().forEach(seed -> {
            Model model = new Model(seed, 3 + (int) (seed % 8));
            Random random = new Random(seed * 7);
            model.bound = 1 + (int) (seed % 3);
            model.run(5 * SECOND, () -> { });
            OperationScheduler.Admission[] taken = new OperationScheduler.Admission[1];
            List<String> all = List.copyOf(model.instances.keySet());
            String[] ids = {"op1"};
            boolean isUpdate = seed % 4 == 0;
            model.operations.request("op1", isUpdate ? "update" : "drain", "", all.subList(0, Math.min(all.size(),
                    isUpdate ? all.size() : model.bound)), model.bound, 0, 60 * SECOND, false, taken);
            model.pull();
            // The same command typed twice, and an operator who changes his mind.
            if (random.nextInt(3) == 0) {
                model.at(random.nextInt(30_000), () -> model.operations.request("op1", isUpdate ? "update" : "drain", "",
                        all.subList(0, Math.min(all.size(), isUpdate ? all.size() : model.bound)), model.bound, 0,
                        60 * SECOND, false, taken));
            }
            if (random.nextInt(4) == 0) {
                model.at(random.nextInt(random.nextBoolean() ? 4_000 : 100_000), () -> {
                    Operation running = model.operations.operation("op1");
                    if (running != null) {
                        model.operations.cancel(running);
                    }
                });
            }
            for (Instance one : model.instances.values()) {
                if (random.nextInt(3) == 0) {
                    model.at(random.nextInt(100_000), () -> model.die(one));
                } else if (random.nextInt(4) == 0) {
                    model.at(random.nextInt(100_000), () -> one.isStopped = true);
                    model.at(100_000 + random.nextInt(100_000), () -> one.isStopped = false);
                }
            }
            model.run(70 * SECOND, () -> { });
            // From now on nothing fails: what is open must end.
            model.isCalm = true;
            model.instances.values().forEach(one -> one.isStopped = false);
            model.run(150 * SECOND, () -> { });
            for (String id : ids) {
                Operation.Snapshot written = model.log.get(id);
                if (written == null) {
                    continue;
                }
                model.check(written.state() != Operation.State.RUNNING && written.state() != Operation.State.CANCELLING,
                        "has not ended: " + written);
                Set<String> seen = new HashSet<>();
                for (Operation.StepSnapshot step : written.steps()) {
                    model.check(seen.add(step.instance()), "twice in the report");
                    int times = model.instances.get(step.instance()).effects.getOrDefault(id, 0);
                    model.check(times <= 1, step.instance() + " applied it " + times + " times");
                    model.check((step.state() == Step.State.APPLIED) == (times == 1), step + ", but applied " + times);
                    applied.addAndGet(times);
                    notApplied.addAndGet(1 - times);
                }
            }
        });
        System.out.println(SCHEDULES + " schedules, applied " + applied + ", not " + notApplied);
        assertTrue(applied.get() > SCHEDULES && notApplied.get() > SCHEDULES / 20);
    }
}
