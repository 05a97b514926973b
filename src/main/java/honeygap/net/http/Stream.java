package honeygap.net.http;

import honeygap.net.Loop;
import honeygap.read.Malformed;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/** A GET whose answer may stay open: read by lines, over when it ends, fails or is silent for too long. */
public final class Stream implements Answers.Reader {

    /** Hears, once, that it is over: whether the answer ended as an answer does. */
    public interface Ending {

        void ended(boolean whole);

        /** The request has been taken: what it asks for comes, or signs of life do. */
        default void taken() {
        }
    }

    private final Loop loop;
    private final long silentFor;
    private final Lines lines;
    private final Ending ending;
    private final Connection connection;
    private Loop.Timer silence;
    private boolean over;

    /** The head must come in one time, all that is behind it in another after what came last. */
    public Stream(Loop loop, InetSocketAddress address, String path, long answerWithin,
                  long silentFor, Lines.Reader reader, Ending ending) {
        this.loop = loop;
        this.silentFor = silentFor;
        this.ending = ending;
        lines = new Lines(reader);
        silence = loop.at(loop.now() + answerWithin, () -> end(false));
        connection = new Connection(loop, address, this, handedOver -> end(false));
        connection.get(path);
    }

    /** Closes without a word to whoever hears the ending. */
    public void close() {
        over = true;
        silence.callOff();
        connection.close();
    }

    private void end(boolean whole) {
        if (!over) {
            close();
            ending.ended(whole);
        }
    }

    @Override
    public void head(int status) {
        if (status != 200) {
            end(false);
        } else if (!over) {
            // Guards against asking again and again where the first thing to tell is a sign of life, seconds later.
            live();
            ending.taken();
        }
    }

    @Override
    public void data(ByteBuffer bytes) throws Malformed {
        if (!over) {
            live();
            lines.feed(bytes);
        }
    }

    private void live() {
        silence.callOff();
        silence = loop.at(loop.now() + silentFor, () -> end(false));
    }

    @Override
    public void end() throws Malformed {
        if (!over) {
            // The last line may come without its end.
            lines.feed(ByteBuffer.wrap(new byte[] {'\n'}));
        }
        end(true);
    }
}
