package honeygap.net.discovery;

import honeygap.net.http.LineSplitter;
import honeygap.config.Malformed;
import java.util.Arrays;

/**
 * Assembles JSON documents from lines; a document takes one line or, if it is indented, several. An empty line between
 * documents is a heartbeat. Within a document it is an error, so that heartbeats cannot keep a truncated document open.
 */
final class JsonDocumentReader implements LineSplitter.LineHandler {

    /** Receives the documents and heartbeats. */
    interface Listener {

        void document(byte[] bytes, int length) throws Malformed;

        void heartbeat();
    }

    /** Enough for about ten thousand indented list entries. */
    private static final int MAX_DOCUMENT_BYTES = 4 << 20;
    private static final int INITIAL_BYTES = 1024;
    /** A larger buffer is not kept for the next document. */
    private static final int MAX_KEPT_BYTES = 1 << 16;

    private final Listener listener;
    private byte[] buffer = new byte[INITIAL_BYTES];
    private int length;
    private int depth;
    private boolean isInString;
    private boolean isEscaped;

    JsonDocumentReader(Listener listener) {
        this.listener = listener;
    }

    /** Whether a document has been started but not completed. */
    boolean isIncomplete() {
        return length > 0;
    }

    @Override
    public int heldBytes() {
        return length == 0 ? 0 : buffer.length;
    }

    @Override
    public void onLine(byte[] bytes, int count) throws Malformed {
        if (count == 0 && length > 0) {
            throw new Malformed("empty line within a JSON document");
        }
        if (count == 0) {
            listener.heartbeat();
            return;
        }
        for (int i = 0; i < count; i++) {
            scan(bytes[i]);
        }
        if (depth == 0 && length == 0) {
            listener.document(bytes, count);
            return;
        }
        append(bytes, count);
        if (depth == 0) {
            int documentLength = length;
            length = 0;
            byte[] complete = buffer;
            buffer = buffer.length > MAX_KEPT_BYTES ? new byte[INITIAL_BYTES] : buffer;
            listener.document(complete, documentLength);
        }
    }

    /** Tracks strings and nesting depth, one byte at a time. */
    private void scan(byte next) throws Malformed {
        if (isInString) {
            isInString = next != '"' || isEscaped;
            isEscaped = next == '\\' && !isEscaped;
        } else if (next == '"') {
            isInString = true;
        } else if (next == '{' || next == '[') {
            depth++;
        } else if (next == '}' || next == ']') {
            depth--;
            if (depth < 0) {
                throw new Malformed("closing bracket without an opening one");
            }
        }
    }

    private void append(byte[] bytes, int count) throws Malformed {
        if (length + count > MAX_DOCUMENT_BYTES) {
            throw new Malformed("JSON document exceeds the maximum size");
        }
        if (length + count + 1 > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(length + count + 1, 2 * buffer.length));
        }
        System.arraycopy(bytes, 0, buffer, length, count);
        length += count;
        buffer[length++] = '\n';
    }
}
