package honeygap.net.list;

import honeygap.net.http.Lines;
import honeygap.read.Malformed;
import java.util.Arrays;

/**
 * Puts together documents of JSON that come in a line each or, indented, in many. An empty line between two is a sign
 * of life; within one it is a fault: guards against half a document that waits for its rest while signs of life come.
 */
final class JsonDocumentReader implements Lines.Reader {

    /** Hears what was read. */
    interface Listener {

        void document(byte[] bytes, int length) throws Malformed;

        void heartbeat();
    }

    /** Some ten thousand entries of a list, indented. */
    private static final int MAX_DOCUMENT_BYTES = 4 << 20;

    private final Listener listener;
    private byte[] buffer = new byte[1024];
    private int length;
    private int depth;
    private boolean isInString;
    private boolean isEscaped;

    JsonDocumentReader(Listener listener) {
        this.listener = listener;
    }

    /** Whether a document has begun and not ended. */
    boolean isIncomplete() {
        return length > 0;
    }

    @Override
    public void line(byte[] bytes, int count) throws Malformed {
        if (count == 0 && length > 0) {
            throw new Malformed("an empty line within a document");
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
            listener.document(buffer, documentLength);
        }
    }

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
                throw new Malformed("a document that ends before it begins");
            }
        }
    }

    private void append(byte[] bytes, int count) throws Malformed {
        if (length + count > MAX_DOCUMENT_BYTES) {
            throw new Malformed("a document too long");
        }
        if (length + count + 1 > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(length + count + 1, 2 * buffer.length));
        }
        System.arraycopy(bytes, 0, buffer, length, count);
        length += count;
        buffer[length++] = '\n';
    }
}
