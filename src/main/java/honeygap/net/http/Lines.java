package honeygap.net.http;

import honeygap.read.Malformed;
import java.nio.ByteBuffer;
import java.util.Arrays;

/** Splits a body, received in parts of any size, into lines. */
public final class Lines {

    /** Receives each line without its line break. */
    public interface Reader {

        void line(byte[] bytes, int length) throws Malformed;
    }

    /** In bytes. */
    private static final int MAX_LINE_LENGTH = 4 << 20;

    private final Reader handler;
    private byte[] line = new byte[1024];
    private int length;

    /** Creates a splitter that reports to this handler. */
    public Lines(Reader handler) {
        this.handler = handler;
    }

    /** Splits more input; the buffer is consumed completely. */
    public void feed(ByteBuffer bytes) throws Malformed {
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            if (next == '\n') {
                int lineLength = length > 0 && line[length - 1] == '\r' ? length - 1 : length;
                length = 0;
                handler.line(line, lineLength);
            } else {
                if (length == line.length) {
                    if (length >= MAX_LINE_LENGTH) {
                        throw new Malformed("line too long");
                    }
                    line = Arrays.copyOf(line, 2 * length);
                }
                line[length++] = next;
            }
        }
    }
}
