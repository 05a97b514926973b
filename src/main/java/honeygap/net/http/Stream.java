package honeygap.net.http;

import honeygap.net.Loop;
import honeygap.read.Malformed;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/** A GET whose answer may stay open: read by lines, over when it ends, fails or is silent for too long. */
public final class Stream implements Answers.Reader {

    /** Hears, once, that it is over, and how. */
    public interface Ending {

        void ended(StreamEnd end);

        /** The request has been taken: what it asks for comes, or signs of life do. */
        default void taken() {
        }
    }

    private final Loop loop;
    private final long silenceTimeout;
    private final Lines lines;
    private final Ending listener;
    private final Connection connection;
    private Loop.Timer timeoutTimer;
    private int status;
    private boolean ended;

    /** The head must come in one time, all that is behind it in another after what came last. */
    public Stream(Loop loop, InetSocketAddress address, String path, long headTimeout,
                  long silenceTimeout, Lines.Reader lineHandler, Ending listener) {
        this.loop = loop;
        this.silenceTimeout = silenceTimeout;
        this.listener = listener;
        lines = new Lines(lineHandler);
        timeoutTimer = loop.at(loop.now() + headTimeout, () -> endWith(StreamEnd.Cause.NO_ANSWER));
        connection = new Connection(loop, address, this, (end, requestWritten) -> endWith(cause(end)));
        connection.get(path);
    }

    /** Closes without a word to whoever hears the ending. */
    public void close() {
        ended = true;
        timeoutTimer.callOff();
        connection.close();
    }

    private void endWith(StreamEnd.Cause cause) {
        if (!ended) {
            close();
            listener.ended(new StreamEnd(cause, status));
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
    public void head(int status) {
        this.status = status;
        if (status != 200) {
            endWith(StreamEnd.Cause.STATUS);
        } else if (!ended) {
            // Guards against asking again and again where the first thing to tell is a sign of life, seconds later.
            restartSilenceTimer();
            listener.taken();
        }
    }

    @Override
    public void data(ByteBuffer bytes) throws Malformed {
        if (!ended) {
            restartSilenceTimer();
            lines.feed(bytes);
        }
    }

    private void restartSilenceTimer() {
        timeoutTimer.callOff();
        timeoutTimer = loop.at(loop.now() + silenceTimeout, () -> endWith(StreamEnd.Cause.SILENT));
    }

    @Override
    public void end() throws Malformed {
        if (!ended) {
            // The last line may come without its end.
            lines.feed(ByteBuffer.wrap(new byte[] {'\n'}));
        }
        endWith(StreamEnd.Cause.COMPLETE);
    }
}
