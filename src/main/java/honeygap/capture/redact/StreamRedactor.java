package honeygap.capture.redact;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;

/**
 * Masks keys and values in one direction of a connection without changing any byte's position. Data is released once
 * a message is complete. Data that can't be parsed is blanked, and so is the rest of the connection, since it may
 * contain anything.
 */
public final class StreamRedactor {

    private static final int MAX_MESSAGE_BYTES = 1 << 21;
    private static final int MAX_HTTP_HEAD_BYTES = 1 << 15;
    private static final byte FILL_BYTE = 'x';
    private static final String[] SECRET_HEADERS = {"authorization", "x-api-key", "idempotency-key", "cookie"};

    private enum Protocol { UNKNOWN, STARTUP, PG, HTTP, OPAQUE }

    private final DataMasker masker;
    private final boolean isClient;
    private Protocol protocol;
    private byte[] buffer = {};

    /** Creates a redactor. A connection that was not captured from its start can't be parsed and is blanked. */
    public StreamRedactor(DataMasker masker, boolean isClient, boolean isFromStart) {
        this.masker = masker;
        this.isClient = isClient;
        protocol = isFromStart ? Protocol.UNKNOWN : Protocol.OPAQUE;
    }

    /** Buffers bytes and returns, in order, the redacted bytes that are ready to be written. */
    public byte[] redact(byte[] bytes) {
        if (protocol == Protocol.OPAQUE) {
            byte[] blanked = new byte[bytes.length];
            Arrays.fill(blanked, FILL_BYTE);
            return blanked;
        }
        int oldLength = buffer.length;
        buffer = Arrays.copyOf(buffer, oldLength + bytes.length);
        System.arraycopy(bytes, 0, buffer, oldLength, bytes.length);
        if (protocol == Protocol.UNKNOWN && buffer.length > 0) {
            detectProtocol();
        }
        int done = 0;
        while (done < buffer.length && protocol != Protocol.OPAQUE && protocol != Protocol.UNKNOWN) {
            int length = protocol == Protocol.HTTP ? redactHttpMessage(done) : redactPgMessage(done);
            if (length == 0) {
                break;
            }
            done += length;
        }
        if (buffer.length - done > MAX_MESSAGE_BYTES) {
            protocol = Protocol.OPAQUE;
        }
        if (protocol == Protocol.OPAQUE) {
            Arrays.fill(buffer, done, buffer.length, FILL_BYTE);
            done = buffer.length;
        }
        byte[] redacted = Arrays.copyOf(buffer, done);
        buffer = Arrays.copyOfRange(buffer, done, buffer.length);
        return redacted;
    }

    /**
     * Returns the buffered bytes blanked, on a gap or at the end of the connection. The rest of the stream is blanked
     * too, since nothing after a gap can be parsed.
     */
    public byte[] blankRemaining() {
        byte[] blanked = new byte[buffer.length];
        Arrays.fill(blanked, FILL_BYTE);
        buffer = new byte[0];
        protocol = Protocol.OPAQUE;
        return blanked;
    }

    private void detectProtocol() {
        byte first = buffer[0];
        if (isClient) {
            boolean isHttp = first >= 'A' && first <= 'Z';
            protocol = isHttp ? Protocol.HTTP : first == 0 ? Protocol.STARTUP : Protocol.OPAQUE;
        } else {
            protocol = first == 'H' ? Protocol.HTTP : Protocol.PG;
        }
    }

    /** Masks the message at an offset and returns its length; 0 if it is incomplete. */
    private int redactPgMessage(int start) {
        ByteBuffer bytes = ByteBuffer.wrap(buffer);
        int available = buffer.length - start;
        if (protocol == Protocol.STARTUP) {
            if (available < 8) {
                return 0;
            }
            int length = bytes.getInt(start);
            if (length < 8 || length > 10_000) {
                return markUnreadable();
            }
            if (available < length) {
                return 0;
            }
            int version = bytes.getInt(start + 4);
            // SSLRequest and GSSENCRequest are followed by a startup message, which is assumed to be unencrypted.
            protocol = version == 80877103 || version == 80877104 ? Protocol.STARTUP : Protocol.PG;
            return length;
        }
        if (!isClient && available >= 1 && buffer[start] == 'S' && available == 1) {
            return 0;
        }
        if (available < 5) {
            // A single N refuses an encryption request.
            if (!isClient && available == 1 && buffer[start] == 'N') {
                return 1;
            }
            return 0;
        }
        int length = bytes.getInt(start + 1);
        if (length < 4 || length > MAX_MESSAGE_BYTES) {
            return !isClient && buffer[start] == 'N' ? 1 : markUnreadable();
        }
        if (available < 1 + length) {
            return 0;
        }
        maskPgMessage(start, start + 1 + length);
        return 1 + length;
    }

    private int markUnreadable() {
        protocol = Protocol.OPAQUE;
        return 0;
    }

    private void maskPgMessage(int start, int end) {
        switch (buffer[start]) {
            case 'Q':
                maskStatement(start + 5, end - 1);
                break;
            case 'D':
                // DataRow: a column count, then a length and a value for each column.
                ByteBuffer row = ByteBuffer.wrap(buffer, start + 5, end - start - 5).slice();
                int columns = row.remaining() < 2 ? 0 : row.getShort();
                int lengthOffset = start + 7;
                for (int i = 0; i < columns && lengthOffset + 4 <= end; i++) {
                    int size = ByteBuffer.wrap(buffer).getInt(lengthOffset);
                    int to = size < 0 ? lengthOffset + 4 : (int) Math.min(end, (long) lengthOffset + 4 + size);
                    masker.mask(buffer, lengthOffset + 4, to);
                    lengthOffset = to;
                }
                break;
            case 'E', 'N':
                maskErrorFields(start + 5, end);
                break;
            case 'P', 'B', 'p', 'd':
                Arrays.fill(buffer, start + 5, end, FILL_BYTE);
                break;
            default:
                break;
        }
    }

    /** Masks quoted literals, and the idempotency key (k=) in the trailing comment. */
    private void maskStatement(int from, int to) {
        int i = from;
        while (i < to) {
            if (buffer[i] == '\'') {
                int end = i + 1;
                while (end < to && buffer[end] != '\'') {
                    end++;
                }
                // A hexadecimal bytea literal starts with \\x, which is left as it is.
                int begin = end - i > 2 && buffer[i + 1] == '\\' && buffer[i + 2] == 'x' ? i + 3 : i + 1;
                masker.mask(buffer, begin, end);
                i = end + 1;
            } else if (buffer[i] == 'k' && i + 1 < to && buffer[i + 1] == '=' && i > from
                    && (buffer[i - 1] == ',' || buffer[i - 1] == ' ')) {
                int end = i + 2;
                while (end < to && buffer[end] != ',' && buffer[end] != ' ' && buffer[end] != '*') {
                    end++;
                }
                masker.mask(buffer, i + 2, end);
                i = end;
            } else {
                i++;
            }
        }
    }

    /** Masks the texts of an error; severity (S, V), code (C) and detail (D), which holds the retry time, stay. */
    private void maskErrorFields(int from, int end) {
        int fieldStart = from;
        while (fieldStart < end && buffer[fieldStart] != 0) {
            int fieldEnd = fieldStart + 1;
            while (fieldEnd < end && buffer[fieldEnd] != 0) {
                fieldEnd++;
            }
            if (buffer[fieldStart] != 'S' && buffer[fieldStart] != 'V' && buffer[fieldStart] != 'C'
                    && buffer[fieldStart] != 'D') {
                masker.mask(buffer, fieldStart + 1, fieldEnd);
            }
            fieldStart = fieldEnd + 1;
        }
    }

    private int redactHttpMessage(int start) {
        int bodyStart = -1;
        for (int i = start; i + 3 < buffer.length && i < start + MAX_HTTP_HEAD_BYTES; i++) {
            if (buffer[i] == '\r' && buffer[i + 1] == '\n' && buffer[i + 2] == '\r' && buffer[i + 3] == '\n') {
                bodyStart = i + 4;
                break;
            }
        }
        if (bodyStart < 0) {
            return buffer.length - start > MAX_HTTP_HEAD_BYTES ? markUnreadable() : 0;
        }
        String head = new String(buffer, start, bodyStart - start, StandardCharsets.ISO_8859_1);
        String lowerCaseHead = head.toLowerCase(Locale.ROOT);
        int end;
        if (lowerCaseHead.contains("\r\ntransfer-encoding: chunked\r\n")) {
            end = maskChunkedBody(bodyStart);
        } else {
            String length = headerValue(lowerCaseHead, "content-length");
            boolean hasBody = !lowerCaseHead.startsWith("http/1.1 304") && !lowerCaseHead.startsWith("http/1.1 204")
                    && !lowerCaseHead.startsWith("http/1.1 1");
            if (length == null && !isClient && hasBody || length != null && !length.matches("[0-9]{1,7}")) {
                return markUnreadable();
            }
            end = bodyStart + (length == null || !hasBody ? 0 : Integer.parseInt(length));
            if (end > buffer.length) {
                return 0;
            }
            masker.maskJson(buffer, bodyStart, end);
        }
        if (end <= 0) {
            return end < 0 ? markUnreadable() : 0;
        }
        maskSecretHeaders(start, head, lowerCaseHead);
        return end - start;
    }

    private static String headerValue(String lowerCaseHead, String name) {
        int from = lowerCaseHead.indexOf("\r\n" + name + ":");
        return from < 0 ? null : lowerCaseHead.substring(from + name.length() + 3,
                lowerCaseHead.indexOf("\r\n", from + 2)).strip();
    }

    private void maskSecretHeaders(int start, String head, String lowerCaseHead) {
        for (String name : SECRET_HEADERS) {
            int from = lowerCaseHead.indexOf("\r\n" + name + ":");
            if (from >= 0) {
                int begin = from + name.length() + 3;
                masker.mask(buffer, start + begin, start + head.indexOf("\r\n", begin));
            }
        }
    }

    /** Masks a chunked body and returns the offset of its end; 0 if it is incomplete, negative if it is malformed. */
    private int maskChunkedBody(int bodyStart) {
        int chunkStart = bodyStart;
        int[] chunkBounds = new int[64];
        int count = 0;
        while (true) {
            int sizeLineEnd = chunkStart;
            while (sizeLineEnd + 1 < buffer.length
                    && !(buffer[sizeLineEnd] == '\r' && buffer[sizeLineEnd + 1] == '\n')) {
                sizeLineEnd++;
            }
            if (sizeLineEnd + 1 >= buffer.length) {
                return 0;
            }
            String size = new String(buffer, chunkStart, sizeLineEnd - chunkStart, StandardCharsets.ISO_8859_1)
                    .split(";", 2)[0].strip();
            if (!size.matches("[0-9a-fA-F]{1,6}")) {
                return -1;
            }
            int length = Integer.parseInt(size, 16);
            int end = sizeLineEnd + 2 + length + 2;
            if (end > buffer.length) {
                return 0;
            }
            if (length == 0) {
                maskChunks(chunkBounds, count);
                return end;
            }
            if (2 * count == chunkBounds.length) {
                chunkBounds = Arrays.copyOf(chunkBounds, 2 * chunkBounds.length);
            }
            chunkBounds[2 * count] = sizeLineEnd + 2;
            chunkBounds[2 * count++ + 1] = sizeLineEnd + 2 + length;
            chunkStart = end;
        }
    }

    /** Masks the chunks as one JSON text and copies the result back into them. */
    private void maskChunks(int[] chunkBounds, int count) {
        int length = 0;
        for (int i = 0; i < count; i++) {
            length += chunkBounds[2 * i + 1] - chunkBounds[2 * i];
        }
        byte[] body = new byte[length];
        int offset = 0;
        for (int i = 0; i < count; i++) {
            System.arraycopy(buffer, chunkBounds[2 * i], body, offset, chunkBounds[2 * i + 1] - chunkBounds[2 * i]);
            offset += chunkBounds[2 * i + 1] - chunkBounds[2 * i];
        }
        masker.maskJson(body, 0, length);
        offset = 0;
        for (int i = 0; i < count; i++) {
            System.arraycopy(body, offset, buffer, chunkBounds[2 * i], chunkBounds[2 * i + 1] - chunkBounds[2 * i]);
            offset += chunkBounds[2 * i + 1] - chunkBounds[2 * i];
        }
    }
}
