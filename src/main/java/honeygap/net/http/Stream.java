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
    }

    private final Loop loop;
    private final long silentFor;
    private final Lines lines;
    private final Ending ending;
    private final Connection connection;
    private Loop.Timer silence;
    private boolean over;

    /** The first bytes must come in one time, each further ones in another. */
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
        }
    }

    @Override
    public void data(ByteBuffer bytes) throws Malformed {
        if (!over) {
            silence.callOff();
            silence = loop.at(loop.now() + silentFor, () -> end(false));
            lines.feed(bytes);
        }
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
