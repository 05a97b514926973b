package honeygap.net.http;

import honeygap.read.Malformed;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;

/** Reads HTTP/1.1 answers as they come, cut anywhere; bodies by length, in chunks, or up to the end. */
public final class Answers {

    /** Hears what was read. */
    public interface Reader {

        void head(int status);

        /** A field of the head, before it; the name in small letters. */
        default void field(String name, String value) throws Malformed {
        }

        void data(ByteBuffer bytes) throws Malformed;

        void end() throws Malformed;
    }

    private static final int MAX_LINE_LENGTH = 8192;
    private static final int MAX_HEAD_LINES = 100;

    private static final int STATUS_LINE = 0, HEADER_FIELDS = 1, BODY = 2, CHUNK_SIZE = 3, CHUNK_DATA = 4, CHUNK_END = 5,
            TRAILER = 6, UNTIL_CLOSE = 7;

    private final Reader handler;
    private byte[] line = new byte[128];
    private int lineLength;
    private int state = STATUS_LINE;
    private int headLines;
    private int status;
    private long remaining;
    private boolean chunked;
    private boolean hasContentLength;

    public Answers(Reader handler) {
        this.handler = handler;
    }

    public void feed(ByteBuffer bytes) throws Malformed {
        while (bytes.hasRemaining()) {
            switch (state) {
                case BODY:
                case CHUNK_DATA:
                    int part = (int) Math.min(remaining, bytes.remaining());
                    handler.data(bytes.slice(bytes.position(), part));
                    bytes.position(bytes.position() + part);
                    remaining -= part;
                    if (remaining == 0) {
                        if (state == CHUNK_DATA) {
                            state = CHUNK_END;
                        } else {
                            completeResponse();
                        }
                    }
                    break;
                case UNTIL_CLOSE:
                    handler.data(bytes.slice());
                    bytes.position(bytes.limit());
                    break;
                default:
                    if (readLine(bytes)) {
                        String text = new String(line, 0, lineLength, StandardCharsets.ISO_8859_1).stripTrailing();
                        lineLength = 0;
                        handleLine(text);
                    }
            }
        }
    }

    /** Takes in bytes up to the end of a line; whether it is there. */
    private boolean readLine(ByteBuffer bytes) throws Malformed {
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            if (next == '\n') {
                return true;
            }
            if (lineLength == line.length) {
                if (lineLength >= MAX_LINE_LENGTH) {
                    throw new Malformed("a line too long");
                }
                line = Arrays.copyOf(line, 2 * lineLength);
            }
            line[lineLength++] = next;
        }
        return false;
    }

    /** The connection has ended, which may be the end of an answer. */
    public void close() throws Malformed {
        if (state == UNTIL_CLOSE) {
            completeResponse();
        }
    }

    private void handleLine(String text) throws Malformed {
        switch (state) {
            case STATUS_LINE:
                if (!text.startsWith("HTTP/1.") || text.length() < 12) {
                    throw new Malformed("no status line");
                }
                status = (int) parseNumber(text.substring(9, 12), 10);
                chunked = hasContentLength = false;
                remaining = 0;
                headLines = 0;
                state = HEADER_FIELDS;
                handler.field("", text.substring(0, 8));
                break;
            case HEADER_FIELDS:
                handleHeadLine(text);
                break;
            case CHUNK_SIZE:
                remaining = parseNumber(text.split(";", 2)[0].strip(), 16);
                state = remaining == 0 ? TRAILER : CHUNK_DATA;
                break;
            case CHUNK_END:
                if (!text.isEmpty()) {
                    throw new Malformed("a chunk without an end");
                }
                state = CHUNK_SIZE;
                break;
            default:
                if (text.isEmpty()) {
                    completeResponse();
                }
        }
    }

    private void handleHeadLine(String text) throws Malformed {
        if (++headLines > MAX_HEAD_LINES) {
            throw new Malformed("too many fields");
        }
        if (!text.isEmpty()) {
            int colon = text.indexOf(':');
            String name = text.substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT);
            String value = text.substring(colon + 1).strip();
            if (name.equals("content-length")) {
                long declared = parseNumber(value, 10);
                if (hasContentLength && declared != remaining) {
                    throw new Malformed("two lengths");
                }
                remaining = declared;
                hasContentLength = true;
            } else if (name.equals("transfer-encoding")) {
                chunked = value.equalsIgnoreCase("chunked");
            }
            handler.field(name, value);
            return;
        }
        if (status / 100 == 1) {
            state = STATUS_LINE;
            return;
        }
        if (chunked && hasContentLength) {
            throw new Malformed("both a length and chunks");
        }
        handler.head(status);
        if (status == 204 || status == 304) {
            completeResponse();
        } else if (chunked) {
            state = CHUNK_SIZE;
        } else if (hasContentLength) {
            state = BODY;
            if (remaining == 0) {
                completeResponse();
            }
        } else {
            state = UNTIL_CLOSE;
        }
    }

    /** Whether nothing is half read. */
    public boolean isBetween() {
        return state == STATUS_LINE && lineLength == 0;
    }

    /** Whether only the end of the connection will end the answer, so that a cut one looks whole. */
    public boolean isOpenEnded() {
        return state == UNTIL_CLOSE;
    }

    private void completeResponse() throws Malformed {
        state = STATUS_LINE;
        handler.end();
    }

    private static long parseNumber(String digits, int radix) throws Malformed {
        try {
            long number = Long.parseLong(digits, radix);
            if (number >= 0) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Told below.
        }
        throw new Malformed("not a number: " + digits);
    }
}
