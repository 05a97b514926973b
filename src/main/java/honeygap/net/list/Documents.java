package honeygap.net.list;

import honeygap.net.http.Lines;
import honeygap.read.Malformed;
import java.util.Arrays;

/**
 * Puts together documents of JSON that come in a line each or, indented, in many. An empty line between two is a sign
 * of life; within one it is a fault: guards against half a document that waits for its rest while signs of life come.
 */
final class Documents implements Lines.Reader {

    /** Hears what was read. */
    interface Reader {

        void document(byte[] bytes, int length) throws Malformed;

        void signOfLife();
    }

    /** Some ten thousand entries of a list, indented. */
    private static final int LONGEST = 4 << 20;

    private final Reader reader;
    private byte[] kept = new byte[1024];
    private int length;
    private int depth;
    private boolean isText;
    private boolean isEscaped;

    Documents(Reader reader) {
        this.reader = reader;
    }

    /** Whether a document has begun and not ended. */
    boolean isHalf() {
        return length > 0;
    }

    @Override
    public void line(byte[] bytes, int count) throws Malformed {
        if (count == 0 && length > 0) {
            throw new Malformed("an empty line within a document");
        }
        if (count == 0) {
            reader.signOfLife();
            return;
        }
        for (int i = 0; i < count; i++) {
            step(bytes[i]);
        }
        if (depth == 0 && length == 0) {
            reader.document(bytes, count);
            return;
        }
        keep(bytes, count);
        if (depth == 0) {
            int whole = length;
            length = 0;
            reader.document(kept, whole);
        }
    }

    private void step(byte next) throws Malformed {
        if (isText) {
            isText = next != '"' || isEscaped;
            isEscaped = next == '\\' && !isEscaped;
        } else if (next == '"') {
            isText = true;
        } else if (next == '{' || next == '[') {
            depth++;
        } else if (next == '}' || next == ']') {
            depth--;
            if (depth < 0) {
                throw new Malformed("a document that ends before it begins");
            }
        }
    }

    private void keep(byte[] bytes, int count) throws Malformed {
        if (length + count > LONGEST) {
            throw new Malformed("a document too long");
        }
        if (length + count + 1 > kept.length) {
            kept = Arrays.copyOf(kept, Math.max(length + count + 1, 2 * kept.length));
        }
        System.arraycopy(bytes, 0, kept, length, count);
        length += count;
        kept[length++] = '\n';
    }
}
