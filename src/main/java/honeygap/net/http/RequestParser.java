package honeygap.net.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Incremental parser of HTTP/1.1 requests (RFC 9110 and 9112); input may be split anywhere, and requests are read
 * one at a time. It is strict where leniency enables request smuggling: a length together with chunks, two lengths,
 * bare line feeds, folded lines and spaces before a colon are rejected. Lengths are checked before data is stored.
 */
public final class RequestParser {

    // Lengths are in bytes.
    private static final int MAX_LINE_LENGTH = 8192;
    private static final int MAX_HEAD_LENGTH = 16384;
    private static final int MAX_FIELDS = 64;
    private static final int MAX_CHUNK_LINE_LENGTH = 256;
    private static final int HEX_RADIX = 16;
    private static final Pattern CONTENT_LENGTH = Pattern.compile("[0-9]{1,18}");
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

    /** The fields that requests are asked for; what else a client sends takes no memory. */
    private static final Set<String> KEPT_FIELDS = Set.of("authorization", "connection", "content-encoding",
            "content-length", "content-type", "expect", "host", "idempotency-key", "if-none-match", "transfer-encoding",
            "x-api-key", "x-deadline-ms");

    private static final int INITIAL_BUFFER_LENGTH = 1024;
    private static final byte[] NO_BODY = {};

    private static final int HEAD = 0, BODY = 1, CHUNK_SIZE = 2, CHUNK_DATA = 3, TRAILER = 4;

    private final int maxBodyLength;
    private byte[] buffer = new byte[INITIAL_BUFFER_LENGTH];
    private int readPosition;
    private int writePosition;
    private int scanPosition;
    private int state = HEAD;

    private String method;
    private String target;
    private boolean isHttp10;
    private final Map<String, String> fields = new HashMap<>();
    private int fieldBytes;
    private byte[] body = NO_BODY;
    private int bodyLength;
    private int remaining;

    /** Creates a parser that rejects bodies longer than this many bytes. */
    public RequestParser(int maxBodyLength) {
        this.maxBodyLength = maxBodyLength;
    }

    /** Buffers more input. */
    public void feed(ByteBuffer more) {
        int count = more.remaining();
        if (buffer.length - writePosition < count) {
            int buffered = writePosition - readPosition;
            byte[] target = buffered + count <= buffer.length ? buffer
                    : new byte[Math.max(buffered + count, 2 * buffer.length)];
            System.arraycopy(buffer, readPosition, target, 0, buffered);
            buffer = target;
            scanPosition -= readPosition;
            readPosition = 0;
            writePosition = buffered;
        }
        more.get(buffer, writePosition, count);
        writePosition += count;
    }

    /** How many bytes are buffered behind the last complete request; not 0 while a request is partially read. */
    public int bufferedBytes() {
        return writePosition - readPosition + (state == HEAD ? 0 : 1);
    }

    /** How many bytes of memory the input takes, from the first byte of a request until its body is released. */
    public int heldBytes() {
        int unread = state == HEAD && readPosition == writePosition ? 0 : buffer.length;
        return unread + body.length + fieldBytes;
    }

    /** Lets go of the body of the last request. */
    public void releaseBody() {
        body = NO_BODY;
    }

    /** Lets go of the fields of the last request. */
    public void releaseFields() {
        fields.clear();
        fieldBytes = 0;
    }

    /** Drops all input. */
    public void clear() {
        releaseBody();
        releaseFields();
        readPosition = writePosition = scanPosition = 0;
        state = HEAD;
        buffer = new byte[INITIAL_BUFFER_LENGTH];
    }

    /** Returns whether another request is complete; its parts are valid until the next call. */
    public boolean next() throws Refusal {
        if (state == HEAD && !readHead()) {
            return false;
        }
        if (state == BODY) {
            int part = Math.min(remaining, writePosition - readPosition);
            // Grows with what arrives: the declared length alone must not take memory.
            if (body.length < bodyLength + part) {
                int declaredLength = bodyLength + remaining;
                body = Arrays.copyOf(body, Math.min(declaredLength, Math.max(bodyLength + part, 2 * body.length)));
            }
            System.arraycopy(buffer, readPosition, body, bodyLength, part);
            readPosition += part;
            bodyLength += part;
            remaining -= part;
            if (remaining > 0) {
                return false;
            }
        } else if (!readChunks()) {
            return false;
        }
        state = HEAD;
        scanPosition = readPosition;
        if (readPosition == writePosition) {
            readPosition = writePosition = scanPosition = 0;
            if (buffer.length > MAX_HEAD_LENGTH) {
                // Releases the memory of a long body, so that idle connections don't hold it.
                buffer = new byte[INITIAL_BUFFER_LENGTH];
            }
        }
        return true;
    }

    /** Whether the head is complete and the client waits for a 100 (Continue) response before it sends the body. */
    public boolean expectsContinue() {
        return state != HEAD && "100-continue".equalsIgnoreCase(fields.get("expect"));
    }

    private boolean readHead() throws Refusal {
        // Skips empty lines before a request, as RFC 9112 recommends.
        while (scanPosition == readPosition && writePosition - readPosition >= 2
                && buffer[readPosition] == '\r' && buffer[readPosition + 1] == '\n') {
            readPosition += 2;
            scanPosition = readPosition;
        }
        for (; scanPosition < writePosition; scanPosition++) {
            if (buffer[scanPosition] != '\n') {
                continue;
            }
            if (scanPosition == readPosition || buffer[scanPosition - 1] != '\r') {
                throw malformed("a line feed without a carriage return", scanPosition);
            }
            if (scanPosition - readPosition >= 3 && buffer[scanPosition - 2] == '\n') {
                checkHeadLength(scanPosition);
                parseHead(readPosition, scanPosition - 1);
                readPosition = scanPosition + 1;
                return true;
            }
        }
        checkHeadLength(writePosition);
        return false;
    }

    private void checkHeadLength(int end) throws Refusal {
        if (end - readPosition > MAX_HEAD_LENGTH) {
            throw new Refusal(431, "head too long", "the head is longer than " + MAX_HEAD_LENGTH + " bytes");
        }
    }

    private static Refusal malformed(String what, int at) {
        return new Refusal(400, "not HTTP", what + " at byte " + at);
    }

    private void parseHead(int start, int end) throws Refusal {
        releaseFields();
        int lineStart = start;
        int lineNumber = 0;
        while (lineStart < end) {
            int lineEnd = lineStart;
            while (buffer[lineEnd] != '\r' || buffer[lineEnd + 1] != '\n') {
                int c = buffer[lineEnd] & 0xff;
                if (c < ' ' && c != '\t' || c == 0x7f) {
                    throw malformed("a control character in line " + (lineNumber + 1) + " of the head", lineEnd - start);
                }
                lineEnd++;
            }
            if (lineEnd - lineStart > MAX_LINE_LENGTH) {
                throw new Refusal(lineNumber == 0 ? 414 : 431, "head too long", "line " + (lineNumber + 1)
                        + " of the head is longer than " + MAX_LINE_LENGTH + " bytes");
            }
            String text = new String(buffer, lineStart, lineEnd - lineStart, StandardCharsets.ISO_8859_1);
            if (lineNumber++ == 0) {
                parseRequestLine(text);
            } else if (lineNumber - 1 > MAX_FIELDS) {
                throw new Refusal(431, "head too long", "more than " + MAX_FIELDS + " fields");
            } else {
                parseField(text, lineStart - start);
            }
            lineStart = lineEnd + 2;
        }
        parseFraming();
    }

    private void parseRequestLine(String line) throws Refusal {
        String[] parts = line.split(" ", -1);
        if (parts.length != 3 || !isToken(parts[0]) || !parts[1].startsWith("/")) {
            throw malformed("no request line", 0);
        }
        if (!parts[2].equals("HTTP/1.1") && !parts[2].equals("HTTP/1.0")) {
            throw parts[2].matches("HTTP/[0-9]\\.[0-9]")
                    ? new Refusal(505, "other version", "only HTTP/1.1 is spoken here") : malformed("no request line", 0);
        }
        method = parts[0];
        target = parts[1];
        isHttp10 = parts[2].endsWith("0");
    }

    private void parseField(String line, int at) throws Refusal {
        int colon = line.indexOf(':');
        if (colon <= 0 || !isToken(line.substring(0, colon))) {
            throw malformed("no name of a field", at);
        }
        String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
        if (!KEPT_FIELDS.contains(name)) {
            return;
        }
        String value = line.substring(colon + 1).strip();
        fieldBytes += value.length();
        if (fields.put(name, value) != null && (name.equals("content-length") || name.equals("host")
                || name.equals("transfer-encoding") || name.equals("idempotency-key")
                || name.equals("authorization"))) {
            throw new Refusal(400, "twice the same field", "field " + name + " comes twice");
        }
    }

    private static boolean isToken(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c >= 128 || !Character.isLetterOrDigit(c) && TOKEN_PUNCTUATION.indexOf(c) < 0) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    private void parseFraming() throws Refusal {
        if (!isHttp10 && !fields.containsKey("host")) {
            throw new Refusal(400, "no host", "field host is missing");
        }
        String contentLength = fields.get("content-length");
        String transferCoding = fields.get("transfer-encoding");
        if (contentLength != null && transferCoding != null) {
            throw new Refusal(400, "length and chunks", "both content-length and transfer-encoding");
        }
        bodyLength = 0;
        if (transferCoding != null) {
            if (!transferCoding.equalsIgnoreCase("chunked") || isHttp10) {
                throw new Refusal(isHttp10 ? 400 : 501, "other coding", "transfer-encoding " + transferCoding);
            }
            body = NO_BODY;
            state = CHUNK_SIZE;
            return;
        }
        if (contentLength != null && !CONTENT_LENGTH.matcher(contentLength).matches()) {
            throw new Refusal(400, "no length", "content-length is not a whole number");
        }
        long declaredLength = contentLength == null ? 0 : Long.parseLong(contentLength);
        if (declaredLength > maxBodyLength) {
            throw bodyTooLong();
        }
        remaining = (int) declaredLength;
        body = NO_BODY;
        state = BODY;
    }

    private Refusal bodyTooLong() {
        return new Refusal(413, "body too long", "the body is longer than " + maxBodyLength + " bytes");
    }

    private boolean readChunks() throws Refusal {
        while (true) {
            if (state == CHUNK_DATA) {
                int part = Math.min(remaining, writePosition - readPosition);
                int dataPart = Math.max(0, Math.min(part, remaining - 2));
                System.arraycopy(buffer, readPosition, body, bodyLength, dataPart);
                bodyLength += dataPart;
                for (int i = dataPart; i < part; i++) {
                    // The remaining two bytes must be the line break that ends the chunk.
                    if (buffer[readPosition + i] != (remaining - i == 2 ? '\r' : '\n')) {
                        throw malformed("a chunk that does not end where it should", bodyLength);
                    }
                }
                readPosition += part;
                remaining -= part;
                if (remaining > 0) {
                    return false;
                }
                state = CHUNK_SIZE;
            }
            int lineEnd = readPosition;
            while (lineEnd < writePosition && buffer[lineEnd] != '\n') {
                lineEnd++;
            }
            if (lineEnd - readPosition > MAX_CHUNK_LINE_LENGTH) {
                throw malformed("a chunk's size is too long", bodyLength);
            }
            if (lineEnd == writePosition) {
                return false;
            }
            if (lineEnd == readPosition || buffer[lineEnd - 1] != '\r') {
                throw malformed("a line feed without a carriage return", bodyLength);
            }
            String line = new String(buffer, readPosition, lineEnd - 1 - readPosition, StandardCharsets.ISO_8859_1);
            readPosition = lineEnd + 1;
            if (state == TRAILER) {
                if (line.isEmpty()) {
                    body = Arrays.copyOf(body, bodyLength);
                    return true;
                }
                if (++remaining > MAX_FIELDS) {
                    throw new Refusal(431, "head too long", "more than " + MAX_FIELDS + " trailers");
                }
                continue;
            }
            parseChunkSize(line);
        }
    }

    private void parseChunkSize(String line) throws Refusal {
        int semicolon = line.indexOf(';');
        int end = semicolon < 0 ? line.length() : semicolon;
        if (end == 0) {
            throw new Refusal(400, "no length", "a chunk's size is not a number");
        }
        int size = 0;
        boolean isTooLong = false;
        for (int i = 0; i < end; i++) {
            int digit = line.charAt(i) < 128 ? Character.digit(line.charAt(i), HEX_RADIX) : -1;
            if (digit < 0) {
                throw new Refusal(400, "no length", "a chunk's size is not a number");
            }
            size = HEX_RADIX * size + digit;
            // Checked with each digit, so that the size does not overflow.
            isTooLong |= size > maxBodyLength - bodyLength;
            size = isTooLong ? 0 : size;
        }
        if (isTooLong) {
            throw bodyTooLong();
        }
        if (size == 0) {
            state = TRAILER;
            remaining = 0;
            return;
        }
        if (bodyLength + size > body.length) {
            body = Arrays.copyOf(body, Math.min(maxBodyLength, Math.max(bodyLength + size, 2 * body.length)));
        }
        remaining = size + 2;
        state = CHUNK_DATA;
    }

    /** The request method. */
    public String method() {
        return method;
    }

    /** Path and query as received. */
    public String target() {
        return target;
    }

    /** The value of a header field, null if absent; the name must be in lower case. */
    public String field(String name) {
        return fields.get(name);
    }

    /** The request body; empty if there is none. */
    public byte[] body() {
        return body;
    }

    /** Whether the client allows the connection to stay open after the response. */
    public boolean isKeepAlive() {
        String connection = fields.getOrDefault("connection", isHttp10 ? "close" : "").toLowerCase(Locale.ROOT);
        return isHttp10 ? connection.contains("keep-alive") : !connection.contains("close");
    }
}
