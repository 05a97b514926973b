package honeygap.net.http;

import honeygap.config.Malformed;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;

/**
 * Incremental parser of HTTP/1.1 responses; input may be split anywhere. Bodies are delimited by their length, by
 * chunks or by the end of the connection.
 */
public final class ResponseParser {

    /** Receives the parsed parts of responses. */
    public interface Handler {

        /** The head of a response is complete. */
        void onHeadComplete(int status);

        /**
         * One header field, reported before {@link #onHeadComplete}; the name is in lower case. The HTTP version comes
         * first, with an empty name.
         */
        default void onField(String name, String value) throws Malformed {
        }

        /** A part of the body. */
        void onData(ByteBuffer bytes) throws Malformed;

        /** The response is complete. */
        void onComplete() throws Malformed;
    }

    private static final int MAX_LINE_LENGTH = 8192;
    private static final int MAX_HEAD_LINES = 100;

    private static final int STATUS_LINE = 0, HEADER_FIELDS = 1, BODY = 2, CHUNK_SIZE = 3, CHUNK_DATA = 4,
            CHUNK_END = 5, TRAILER = 6, UNTIL_CLOSE = 7;

    private final Handler handler;
    private byte[] line = new byte[128];
    private int lineLength;
    private int state = STATUS_LINE;
    private int headLines;
    private int status;
    private long remaining;
    private boolean chunked;
    private boolean hasContentLength;

    /** Creates a parser that reports to this handler. */
    public ResponseParser(Handler handler) {
        this.handler = handler;
    }

    /** Parses more input; the buffer is consumed completely. */
    public void feed(ByteBuffer bytes) throws Malformed {
        while (bytes.hasRemaining()) {
            switch (state) {
                case BODY:
                case CHUNK_DATA:
                    int part = (int) Math.min(remaining, bytes.remaining());
                    handler.onData(bytes.slice(bytes.position(), part));
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
                    handler.onData(bytes.slice());
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

    /** Reads bytes up to the end of a line and returns whether the line is complete. */
    private boolean readLine(ByteBuffer bytes) throws Malformed {
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            if (next == '\n') {
                return true;
            }
            if (lineLength == line.length) {
                if (lineLength >= MAX_LINE_LENGTH) {
                    throw new Malformed("line too long");
                }
                line = Arrays.copyOf(line, 2 * lineLength);
            }
            line[lineLength++] = next;
        }
        return false;
    }

    /** The connection has ended, which completes a response delimited by it. */
    public void close() throws Malformed {
        if (state == UNTIL_CLOSE) {
            completeResponse();
        }
    }

    private void handleLine(String text) throws Malformed {
        switch (state) {
            case STATUS_LINE:
                if (!text.startsWith("HTTP/1.") || text.length() < 12) {
                    throw new Malformed("missing or invalid status line");
                }
                status = (int) parseNumber(text.substring(9, 12), 10);
                chunked = hasContentLength = false;
                remaining = 0;
                headLines = 0;
                state = HEADER_FIELDS;
                handler.onField("", text.substring(0, 8));
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
                    throw new Malformed("chunk is not followed by a line break");
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
            throw new Malformed("too many header fields");
        }
        if (!text.isEmpty()) {
            int colon = text.indexOf(':');
            String name = text.substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT);
            String value = text.substring(colon + 1).strip();
            if (name.equals("content-length")) {
                long declared = parseNumber(value, 10);
                if (hasContentLength && declared != remaining) {
                    throw new Malformed("conflicting Content-Length fields");
                }
                remaining = declared;
                hasContentLength = true;
            } else if (name.equals("transfer-encoding")) {
                chunked = value.equalsIgnoreCase("chunked");
            }
            handler.onField(name, value);
            return;
        }
        if (status / 100 == 1) {
            state = STATUS_LINE;
            return;
        }
        if (chunked && hasContentLength) {
            throw new Malformed("both Content-Length and chunked Transfer-Encoding");
        }
        handler.onHeadComplete(status);
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

    /** Whether no response is partially read. */
    public boolean isBetweenResponses() {
        return state == STATUS_LINE && lineLength == 0;
    }

    /** Whether only the end of the connection ends the response, so that a truncated one looks complete. */
    public boolean isDelimitedByClose() {
        return state == UNTIL_CLOSE;
    }

    private void completeResponse() throws Malformed {
        state = STATUS_LINE;
        handler.onComplete();
    }

    private static long parseNumber(String digits, int radix) throws Malformed {
        try {
            long number = Long.parseLong(digits, radix);
            if (number >= 0) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw new Malformed("not a number: " + digits);
    }
}
