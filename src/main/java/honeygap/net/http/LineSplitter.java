package honeygap.net.http;

import honeygap.config.Malformed;
import java.nio.ByteBuffer;
import java.util.Arrays;

/** Splits a body, received in parts of any size, into lines. */
public final class LineSplitter {

    /** Receives each line without its line break. */
    public interface LineHandler {

        void onLine(byte[] bytes, int length) throws Malformed;

        /** How many bytes of memory the handler keeps of the lines so far. */
        default int heldBytes() {
            return 0;
        }
    }

    /** In bytes. */
    private static final int MAX_LINE_LENGTH = 4 << 20;
    private static final int INITIAL_LENGTH = 1024;
    /** A longer buffer is not kept for the next line, in bytes. */
    private static final int MAX_KEPT_LENGTH = 1 << 16;

    private final LineHandler handler;
    private byte[] line = new byte[INITIAL_LENGTH];
    private int length;

    /** Creates a splitter that reports to this handler. */
    public LineSplitter(LineHandler handler) {
        this.handler = handler;
    }

    /** How many bytes of memory the incomplete line takes, and what the handler keeps. */
    public int heldBytes() {
        return (length == 0 ? 0 : line.length) + handler.heldBytes();
    }

    /** Splits more input; the buffer is consumed completely. */
    public void feed(ByteBuffer bytes) throws Malformed {
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            if (next == '\n') {
                int lineLength = length > 0 && line[length - 1] == '\r' ? length - 1 : length;
                length = 0;
                byte[] complete = line;
                line = line.length > MAX_KEPT_LENGTH ? new byte[INITIAL_LENGTH] : line;
                handler.onLine(complete, lineLength);
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
