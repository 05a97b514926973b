package honeygap.net.http;

import honeygap.net.Loop;
import honeygap.rules.memory.MemoryBudget;
import honeygap.config.Malformed;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/** A GET request with a streamed response, read line by line until it ends, fails or is silent for too long. */
public final class ResponseStream implements ResponseParser.Handler {

    /** Notified of the progress and end of the stream. */
    public interface Listener {

        /** The stream has ended; called once. */
        void onEnd(StreamEnd end);

        /** The request was accepted: data or heartbeats follow. */
        default void onAccepted() {
        }
    }

    private final Loop loop;
    private final long silenceTimeout;
    private final LineSplitter lines;
    private final Listener listener;
    private final Connection connection;
    private Loop.Timer timeoutTimer;
    private int status;
    private boolean ended;
    private final MemoryBudget.Account memory;

    /**
     * Sends the request. The response head must arrive within {@code headTimeout}, and later data at intervals of at
     * most {@code silenceTimeout}; both are in tenths of a millisecond.
     */
    public ResponseStream(Loop loop, InetSocketAddress address, String path, long headTimeout,
            long silenceTimeout, LineSplitter.LineHandler lineHandler, Listener listener) {
        this.loop = loop;
        this.silenceTimeout = silenceTimeout;
        this.listener = listener;
        lines = new LineSplitter(lineHandler);
        memory = loop.memory().open(() -> { });
        timeoutTimer = loop.schedule(loop.now() + headTimeout, () -> endWith(StreamEnd.Cause.NO_ANSWER));
        connection = new Connection(loop, address, this, (end, requestWritten) -> endWith(cause(end)));
        connection.get(path);
    }

    /** Closes the stream without notifying the listener. */
    public void close() {
        ended = true;
        timeoutTimer.cancel();
        memory.clear();
        connection.close();
    }

    private void endWith(StreamEnd.Cause cause) {
        if (!ended) {
            close();
            listener.onEnd(new StreamEnd(cause, status));
        }
    }

    private static StreamEnd.Cause cause(ConnectionEnd end) {
        return switch (end) {
            case UNREACHABLE -> StreamEnd.Cause.UNREACHABLE;
            case CLOSED -> StreamEnd.Cause.CLOSED;
            case UNREADABLE -> StreamEnd.Cause.UNREADABLE;
        };
    }

    @Override
    public void onHeadComplete(int status) {
        this.status = status;
        if (status != 200) {
            endWith(StreamEnd.Cause.STATUS);
        } else if (!ended) {
            // Reported with the head, because the first line may be a heartbeat seconds later and waiting for it would
            // make the caller retry again and again.
            restartSilenceTimer();
            listener.onAccepted();
        }
    }

    @Override
    public void onData(ByteBuffer bytes) throws Malformed {
        if (!ended) {
            restartSilenceTimer();
            lines.feed(bytes);
        }
        if (!ended) {
            memory.set(MemoryBudget.Use.DOCUMENT, lines.heldBytes(), loop.now());
        }
    }

    private void restartSilenceTimer() {
        timeoutTimer.cancel();
        timeoutTimer = loop.schedule(loop.now() + silenceTimeout, () -> endWith(StreamEnd.Cause.SILENT));
    }

    @Override
    public void onComplete() throws Malformed {
        if (!ended) {
            // The last line may lack a line break.
            lines.feed(ByteBuffer.wrap(new byte[] {'\n'}));
        }
        endWith(StreamEnd.Cause.COMPLETE);
    }
}
