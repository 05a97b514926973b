package honeygap.capture.replay;

import honeygap.capture.message.RecordedRpc;
import honeygap.net.GatheringBuffer;
import honeygap.net.Loop;
import honeygap.net.ConnectionHandler;
import honeygap.net.http.ResponseParser;
import honeygap.net.pg.FrameDecoder;
import honeygap.net.pg.PgMessages;
import honeygap.config.Malformed;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import org.apache.mina.core.session.IoSession;

/** Replays recorded RPCs against one address. A separate thread reads ahead; all network I/O is on an event loop. */
public final class Replayer implements Loop.Stepper, ReplaySchedule.Sender {

    /** Reads a recording once from its start and passes on its RPCs in order of time. */
    public interface Source {

        void read(java.util.function.Consumer<RecordedRpc> consumer) throws Exception;
    }

    /** The loop's clock counts tenths of a millisecond. */
    private static final long NANOS_PER_TICK = 100_000;
    private static final int READ_AHEAD_RPCS = 20_000;
    private static final long TIMEOUT_MARGIN_MS = 2_000;
    private static final int MAX_MESSAGE_BYTES = 1 << 20;
    /** Markers in the read-ahead queue: the start of another round, and the end of the input. */
    private static final RecordedRpc NEXT_ROUND_MARKER = new RecordedRpc();
    private static final RecordedRpc END_MARKER = new RecordedRpc();

    private final Loop loop = new Loop(true);
    private final InetSocketAddress target;
    private final ReplaySchedule schedule;
    private final RequestRewriter rewriter;
    private final ReplayReport report;
    private final boolean compareValues;
    private final BlockingQueue<RecordedRpc> readAhead = new ArrayBlockingQueue<>(READ_AHEAD_RPCS);
    private final CountDownLatch finished = new CountDownLatch(1);
    private volatile Exception readFailure;
    private long startTick = -1;
    private boolean isSourceExhausted;
    private boolean isFinished;
    private long wakeupTick = Long.MAX_VALUE;

    public Replayer(InetSocketAddress target, ReplaySchedule schedule, RequestRewriter rewriter, ReplayReport report,
            boolean compareValues) {
        this.target = target;
        this.schedule = schedule;
        this.rewriter = rewriter;
        this.report = report;
        this.compareValues = compareValues;
    }

    /**
     * Replays the recording the given number of times and returns when every RPC has completed. Runs the progress
     * callback once a second.
     */
    public void play(Source source, int rounds, Runnable progress) throws Exception {
        Thread reader = new Thread(() -> {
            try {
                for (int i = 0; i < rounds; i++) {
                    if (i > 0) {
                        enqueue(NEXT_ROUND_MARKER);
                    }
                    source.read(this::enqueue);
                }
            } catch (Exception e) {
                readFailure = e;
            }
            enqueue(END_MARKER);
        }, "read ahead");
        reader.setDaemon(true);
        reader.start();
        // Waits for the first RPC before the replay clock starts.
        while (readAhead.isEmpty()) {
            Thread.sleep(1);
        }
        loop.start(this);
        loop.post(() -> { });
        while (!finished.await(1, java.util.concurrent.TimeUnit.SECONDS)) {
            progress.run();
        }
        loop.close();
        if (readFailure != null) {
            throw readFailure;
        }
    }

    private void enqueue(RecordedRpc rpc) {
        try {
            readAhead.put(rpc);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void startIteration(long now) {
        startTick = startTick < 0 ? now : startTick;
        schedule.setNow((now - startTick) * NANOS_PER_TICK);
        // Schedules a bounded number of RPCs; the others wait in the queue, which is bounded too.
        while (schedule.incomplete() < READ_AHEAD_RPCS) {
            RecordedRpc rpc = readAhead.poll();
            if (rpc == null) {
                break;
            } else if (rpc == NEXT_ROUND_MARKER) {
                schedule.startRound();
            } else if (rpc == END_MARKER) {
                isSourceExhausted = true;
            } else {
                schedule.schedule(rpc);
            }
        }
    }

    @Override
    public boolean step() {
        if (schedule.next(this)) {
            return true;
        }
        if (isSourceExhausted && schedule.incomplete() == 0) {
            if (!isFinished) {
                isFinished = true;
                finished.countDown();
            }
            return false;
        }
        // Wakes up for the next due RPC, or after 10 ms to schedule more from the queue.
        long nextTick = Math.min(startTick + schedule.nextDueNs() / NANOS_PER_TICK, loop.now() + 100);
        if (nextTick < wakeupTick || wakeupTick <= loop.now()) {
            wakeupTick = Math.max(loop.now() + 1, nextTick);
            loop.schedule(wakeupTick, () -> wakeupTick = Long.MAX_VALUE);
        }
        return false;
    }

    private long replayTimeNs() {
        return (loop.clock() - startTick) * NANOS_PER_TICK;
    }

    @Override
    public void send(ReplaySchedule.RecordedConnection recordedConnection, RecordedRpc rpc, long dueNs) {
        ReplayConnection connection = (ReplayConnection) recordedConnection.attachment;
        if (connection == null || connection.isClosed) {
            connection = rpc.protocol.equals("pg") ? new PgConnection(recordedConnection)
                    : new HttpConnection(recordedConnection);
            recordedConnection.attachment = connection;
            loop.connect(target, connection);
        }
        connection.sendRpc(rpc, dueNs);
    }

    @Override
    public void close(ReplaySchedule.RecordedConnection recordedConnection) {
        if (recordedConnection.attachment instanceof ReplayConnection connection) {
            connection.abort();
        }
    }

    /** A connection to the target with at most one RPC in flight. */
    private abstract class ReplayConnection implements ConnectionHandler {

        final ReplaySchedule.RecordedConnection recordedConnection;
        IoSession session;
        boolean isReady;
        boolean isClosed;
        RecordedRpc rpc;
        private long dueNs;
        private Loop.Timer timeout;

        ReplayConnection(ReplaySchedule.RecordedConnection recordedConnection) {
            this.recordedConnection = recordedConnection;
        }

        void sendRpc(RecordedRpc rpc, long dueNs) {
            this.rpc = rpc;
            this.dueNs = dueNs;
            report.rpcSent(replayTimeNs() - dueNs);
            long timeoutMs = Math.max(rpc.deadlineMs, 1_000) + TIMEOUT_MARGIN_MS;
            timeout = loop.schedule(loop.now() + timeoutMs * 10, this::abort);
            if (isReady) {
                writeRequest();
            }
        }

        void writeRequest() {
            session.write(new GatheringBuffer(rewriter.rewrite(rpc, recordedConnection.roundNumber())));
        }

        void completeRpc(RecordedRpc.Outcome outcome, byte[] response) {
            if (rpc != null) {
                timeout.cancel();
                RecordedRpc completed = rpc;
                rpc = null;
                boolean isComparable = compareValues && response != null && completed.outcome == RecordedRpc.Outcome.served
                        && outcome == RecordedRpc.Outcome.served;
                report.rpcCompleted(completed, outcome, replayTimeNs() - dueNs,
                        isComparable ? Arrays.equals(completed.response, response) : null);
                loop.defer(() -> schedule.rpcCompleted(recordedConnection));
            }
        }

        void abort() {
            if (!isClosed) {
                isClosed = true;
                if (session != null) {
                    session.closeNow();
                }
                completeRpc(RecordedRpc.Outcome.open, null);
            }
        }

        @Override
        public void unreachable() {
            abort();
        }

        @Override
        public void written() {
        }

        @Override
        public void closed() {
            abort();
        }

        @Override
        public void received(ByteBuffer bytes) {
            try {
                parse(bytes);
            } catch (Malformed e) {
                completeRpc(RecordedRpc.Outcome.torn, null);
                abort();
            }
        }

        abstract void parse(ByteBuffer bytes) throws Malformed;
    }

    private final class PgConnection extends ReplayConnection {

        private final FrameDecoder frames = new FrameDecoder(MAX_MESSAGE_BYTES);
        private final ByteArrayOutputStream response = new ByteArrayOutputStream();
        private RecordedRpc.Outcome outcome;

        PgConnection(ReplaySchedule.RecordedConnection recordedConnection) {
            super(recordedConnection);
        }

        @Override
        public void opened(IoSession session) {
            this.session = session;
            if (isClosed) {
                session.closeNow();
            } else {
                session.write(new GatheringBuffer(PgMessages.startupMessage()));
            }
        }

        @Override
        void parse(ByteBuffer bytes) throws Malformed {
            frames.feed(bytes);
            while (!isClosed && frames.next()) {
                byte type = frames.type();
                if (type == 'T' || type == 'D' || type == 'C' || type == 'E') {
                    byte[] message = new byte[frames.message().remaining()];
                    frames.message().duplicate().get(message);
                    response.writeBytes(message);
                }
                if (type == 'C') {
                    outcome = RecordedRpc.Outcome.served;
                } else if (type == 'E') {
                    outcome = RecordedRpc.Outcome.ofSqlState(PgMessages.errorField(frames.body(), 'C'));
                    if (PgMessages.errorField(frames.body(), 'S').equals("FATAL")) {
                        completeRpc(outcome, null);
                        abort();
                    }
                } else if (type == 'Z') {
                    readyForQuery();
                }
            }
        }

        private void readyForQuery() {
            boolean wasReady = isReady;
            isReady = true;
            byte[] bytes = response.toByteArray();
            response.reset();
            if (wasReady) {
                completeRpc(outcome == null ? RecordedRpc.Outcome.failed : outcome, bytes);
            } else if (rpc != null) {
                writeRequest();
            }
            outcome = null;
        }
    }

    private final class HttpConnection extends ReplayConnection implements ResponseParser.Handler {

        private final ResponseParser responseParser = new ResponseParser(this);
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private boolean isCloseRequested;

        HttpConnection(ReplaySchedule.RecordedConnection recordedConnection) {
            super(recordedConnection);
        }

        @Override
        public void opened(IoSession session) {
            this.session = session;
            isReady = true;
            if (isClosed) {
                session.closeNow();
            } else if (rpc != null) {
                writeRequest();
            }
        }

        @Override
        void parse(ByteBuffer bytes) throws Malformed {
            responseParser.feed(bytes);
        }

        @Override
        public void onField(String name, String value) {
            isCloseRequested |= name.equals("connection") && value.equalsIgnoreCase("close");
        }

        @Override
        public void onHeadComplete(int status) {
            this.status = status;
        }

        @Override
        public void onData(ByteBuffer bytes) throws Malformed {
            if (body.size() + bytes.remaining() > MAX_MESSAGE_BYTES) {
                throw new Malformed("response body exceeds the maximum size");
            }
            while (bytes.hasRemaining()) {
                body.write(bytes.get());
            }
        }

        @Override
        public void onComplete() {
            byte[] bytes = body.toByteArray();
            body.reset();
            completeRpc(RecordedRpc.Outcome.ofHttpStatus(status), bytes);
            if (isCloseRequested) {
                abort();
            }
        }
    }
}
