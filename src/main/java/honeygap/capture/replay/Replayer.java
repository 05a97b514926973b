package honeygap.capture.replay;

import honeygap.capture.message.Spoken;
import honeygap.net.Gathered;
import honeygap.net.Loop;
import honeygap.net.Peer;
import honeygap.net.http.Answers;
import honeygap.net.pg.Frames;
import honeygap.net.pg.Words;
import honeygap.read.Malformed;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import org.apache.mina.core.session.IoSession;

/** Carries a plan out against one address: reads ahead on a thread of its own, sends and hears on a loop. */
public final class Replayer implements Loop.Core, Plan.Out {

    /** Reads a record once, from its beginning, and hands on each RPC in the order of their times. */
    public interface Source {

        void read(java.util.function.Consumer<Spoken> each) throws Exception;
    }

    private static final long TENTH = 100_000;
    private static final int AHEAD = 20_000;
    private static final long MARGIN_MS = 2_000;
    private static final int LONGEST = 1 << 20;
    /** A mark in the queue: the record begins anew, and it has ended. */
    private static final Spoken AGAIN = new Spoken();
    private static final Spoken END = new Spoken();

    private final Loop loop = new Loop(true);
    private final InetSocketAddress target;
    private final Plan plan;
    private final Rewriting rewriting;
    private final Tally tally;
    private final boolean byValue;
    private final BlockingQueue<Spoken> read = new ArrayBlockingQueue<>(AHEAD);
    private final CountDownLatch done = new CountDownLatch(1);
    private volatile Exception failed;
    private long zero = -1;
    private int round;
    private boolean isAllRead;
    private boolean isOver;
    private long wakeAt = Long.MAX_VALUE;

    public Replayer(InetSocketAddress target, Plan plan, Rewriting rewriting, Tally tally, boolean byValue) {
        this.target = target;
        this.plan = plan;
        this.rewriting = rewriting;
        this.tally = tally;
        this.byValue = byValue;
    }

    /** Plays the record so many times; comes back when all has ended. Progress is told every so often. */
    public void play(Source source, int times, Runnable progress) throws Exception {
        Thread reader = new Thread(() -> {
            try {
                for (int i = 0; i < times; i++) {
                    if (i > 0) {
                        put(AGAIN);
                    }
                    source.read(this::put);
                }
            } catch (Exception e) {
                failed = e;
            }
            put(END);
        }, "read ahead");
        reader.setDaemon(true);
        reader.start();
        // What is due first is there before the clock begins.
        while (read.isEmpty()) {
            Thread.sleep(1);
        }
        loop.start(this);
        loop.post(() -> { });
        while (!done.await(1, java.util.concurrent.TimeUnit.SECONDS)) {
            progress.run();
        }
        loop.end();
        if (failed != null) {
            throw failed;
        }
    }

    private void put(Spoken spoken) {
        try {
            read.put(spoken);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void now(long now) {
        zero = zero < 0 ? now : zero;
        plan.now((now - zero) * TENTH);
        // As much as will be due soon; the rest waits in the queue, whose length is bounded.
        while (plan.open() < AHEAD) {
            Spoken spoken = read.poll();
            if (spoken == null) {
                break;
            } else if (spoken == AGAIN) {
                plan.again();
                round++;
            } else if (spoken == END) {
                isAllRead = true;
            } else {
                plan.recorded(spoken);
            }
        }
    }

    @Override
    public boolean next() {
        if (plan.next(this)) {
            return true;
        }
        if (isAllRead && plan.open() == 0) {
            if (!isOver) {
                isOver = true;
                done.countDown();
            }
            return false;
        }
        // Awake for the next one that is due, or soon, to read on.
        long next = Math.min(zero + plan.wakeAt() / TENTH, loop.now() + 100);
        if (next < wakeAt || wakeAt <= loop.now()) {
            wakeAt = Math.max(loop.now() + 1, next);
            loop.at(wakeAt, () -> wakeAt = Long.MAX_VALUE);
        }
        return false;
    }

    private long nanos() {
        return (loop.clock() - zero) * TENTH;
    }

    @Override
    public void send(Plan.Line line, Spoken spoken, long due) {
        Wire wire = (Wire) line.subject;
        if (wire == null || wire.isOver) {
            wire = spoken.protocol.equals("pg") ? new Pg(line) : new Http(line);
            line.subject = wire;
            loop.connect(target, wire);
        }
        wire.carry(spoken, due);
    }

    @Override
    public void close(Plan.Line line) {
        if (line.subject instanceof Wire wire) {
            wire.drop();
        }
    }

    /** A connection that carries one RPC at a time. */
    private abstract class Wire implements Peer {

        final Plan.Line line;
        IoSession session;
        boolean isReady;
        boolean isOver;
        Spoken spoken;
        private long due;
        private Loop.Timer timer;

        Wire(Plan.Line line) {
            this.line = line;
        }

        void carry(Spoken spoken, long due) {
            this.spoken = spoken;
            this.due = due;
            tally.sent(nanos() - due);
            long patience = Math.max(spoken.deadlineMs, 1_000) + MARGIN_MS;
            timer = loop.at(loop.now() + patience * 10, this::drop);
            if (isReady) {
                write();
            }
        }

        void write() {
            session.write(new Gathered(rewriting.request(spoken, round)));
        }

        void ended(Spoken.Outcome outcome, byte[] answer) {
            if (spoken != null) {
                timer.callOff();
                Spoken was = spoken;
                spoken = null;
                boolean isComparable = byValue && answer != null && was.outcome == Spoken.Outcome.served
                        && outcome == Spoken.Outcome.served;
                tally.ended(was, outcome, nanos() - due, isComparable ? Arrays.equals(was.answer, answer) : null);
                loop.gather(() -> plan.ended(line));
            }
        }

        void drop() {
            if (!isOver) {
                isOver = true;
                if (session != null) {
                    session.closeNow();
                }
                ended(Spoken.Outcome.open, null);
            }
        }

        @Override
        public void unreachable() {
            drop();
        }

        @Override
        public void written() {
        }

        @Override
        public void closed() {
            drop();
        }

        @Override
        public void received(ByteBuffer bytes) {
            try {
                read(bytes);
            } catch (Malformed e) {
                ended(Spoken.Outcome.torn, null);
                drop();
            }
        }

        abstract void read(ByteBuffer bytes) throws Malformed;
    }

    private final class Pg extends Wire {

        private final Frames frames = new Frames(LONGEST);
        private final ByteArrayOutputStream answer = new ByteArrayOutputStream();
        private Spoken.Outcome outcome;

        Pg(Plan.Line line) {
            super(line);
        }

        @Override
        public void opened(IoSession session) {
            this.session = session;
            if (isOver) {
                session.closeNow();
            } else {
                session.write(new Gathered(Words.startup()));
            }
        }

        @Override
        void read(ByteBuffer bytes) throws Malformed {
            frames.feed(bytes);
            while (!isOver && frames.next()) {
                byte type = frames.type();
                if (type == 'T' || type == 'D' || type == 'C' || type == 'E') {
                    byte[] whole = new byte[frames.whole().remaining()];
                    frames.whole().duplicate().get(whole);
                    answer.writeBytes(whole);
                }
                if (type == 'C') {
                    outcome = Spoken.Outcome.served;
                } else if (type == 'E') {
                    outcome = Spoken.Outcome.ofCode(Words.field(frames.body(), 'C'));
                    if (Words.field(frames.body(), 'S').equals("FATAL")) {
                        ended(outcome, null);
                        drop();
                    }
                } else if (type == 'Z') {
                    ready();
                }
            }
        }

        private void ready() {
            boolean wasReady = isReady;
            isReady = true;
            byte[] bytes = answer.toByteArray();
            answer.reset();
            if (wasReady) {
                ended(outcome == null ? Spoken.Outcome.failed : outcome, bytes);
            } else if (spoken != null) {
                write();
            }
            outcome = null;
        }
    }

    private final class Http extends Wire implements Answers.Reader {

        private final Answers answers = new Answers(this);
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private boolean isLast;

        Http(Plan.Line line) {
            super(line);
        }

        @Override
        public void opened(IoSession session) {
            this.session = session;
            isReady = true;
            if (isOver) {
                session.closeNow();
            } else if (spoken != null) {
                write();
            }
        }

        @Override
        void read(ByteBuffer bytes) throws Malformed {
            answers.feed(bytes);
        }

        @Override
        public void field(String name, String value) {
            isLast |= name.equals("connection") && value.equalsIgnoreCase("close");
        }

        @Override
        public void head(int status) {
            this.status = status;
        }

        @Override
        public void data(ByteBuffer bytes) throws Malformed {
            if (body.size() + bytes.remaining() > LONGEST) {
                throw new Malformed("an answer too long");
            }
            while (bytes.hasRemaining()) {
                body.write(bytes.get());
            }
        }

        /** The end of an answer. */
        @Override
        public void end() {
            byte[] bytes = body.toByteArray();
            body.reset();
            ended(Spoken.Outcome.ofStatus(status), bytes);
            if (isLast) {
                drop();
            }
        }
    }
}
