package honeygap.net.pg;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Creates messages of the PostgreSQL wire protocol and reads fields of error messages. */
public final class PgMessages {

    // Codes of startup packets.
    public static final int PROTOCOL_3 = 196608;
    public static final int SSL_REQUEST = 80877103;
    public static final int GSSENC_REQUEST = 80877104;
    public static final int CANCEL_REQUEST = 80877102;

    // SQLSTATE codes.
    public static final String TOO_MANY_CONNECTIONS = "53300";
    public static final String CANNOT_CONNECT_NOW = "57P03";
    public static final String SYSTEM_ERROR = "58000";
    public static final String SYNTAX_ERROR = "42601";
    public static final String PROTOCOL_VIOLATION = "08P01";

    private static final int HEADER_LENGTH = 5;

    private static final ByteBuffer READY_FOR_QUERY = message('Z', "I".getBytes(StandardCharsets.US_ASCII));
    private static final ByteBuffer EMPTY_QUERY_RESPONSE = join(message('I'), READY_FOR_QUERY);
    private static final ByteBuffer SET_COMPLETE = join(message('C', cString("SET")), READY_FOR_QUERY);
    private static final ByteBuffer STARTUP_RESPONSE = join(message('R', new byte[4]),
            parameterStatus("server_version", "16.0"),
            parameterStatus("server_encoding", "UTF8"), parameterStatus("client_encoding", "UTF8"),
            parameterStatus("standard_conforming_strings", "on"), message('K', new byte[8]), READY_FOR_QUERY);
    private static final ByteBuffer STARTUP_MESSAGE = createStartupMessage();

    private PgMessages() {
    }

    private static byte[] cString(String value) {
        return (value + '\0').getBytes(StandardCharsets.UTF_8);
    }

    private static ByteBuffer parameterStatus(String name, String value) {
        return message('S', cString(name + '\0' + value));
    }

    private static ByteBuffer message(char type, byte... body) {
        ByteBuffer message = ByteBuffer.allocate(HEADER_LENGTH + body.length);
        return message.put((byte) type).putInt(4 + body.length).put(body).flip();
    }

    private static ByteBuffer join(ByteBuffer... parts) {
        int length = 0;
        for (ByteBuffer part : parts) {
            length += part.remaining();
        }
        ByteBuffer joined = ByteBuffer.allocate(length);
        for (ByteBuffer part : parts) {
            joined.put(part.duplicate());
        }
        return joined.flip();
    }

    private static ByteBuffer createStartupMessage() {
        byte[] parameters = cString("user\0backend\0database\0store\0");
        ByteBuffer message = ByteBuffer.allocate(8 + parameters.length);
        return message.putInt(8 + parameters.length).putInt(PROTOCOL_3).put(parameters).flip();
    }

    /** ReadyForQuery: the connection accepts the next query. */
    public static ByteBuffer readyForQuery() {
        return READY_FOR_QUERY.duplicate();
    }

    /** The response to an empty query. */
    public static ByteBuffer emptyQueryResponse() {
        return EMPTY_QUERY_RESPONSE.duplicate();
    }

    /** The response to a command that changes a session setting, which has no effect. */
    public static ByteBuffer setComplete() {
        return SET_COMPLETE.duplicate();
    }

    /** The response to a startup message: no authentication, parameters, ready for queries. */
    public static ByteBuffer startupResponse() {
        return STARTUP_RESPONSE.duplicate();
    }

    /** The startup message of a connection to an appliance. */
    public static ByteBuffer startupMessage() {
        return STARTUP_MESSAGE.duplicate();
    }

    /** The response to a request for TLS or GSSAPI encryption, neither of which is supported. */
    public static ByteBuffer encryptionRefused() {
        return ByteBuffer.wrap(new byte[] {'N'});
    }

    /** An error that ends one query. */
    public static ByteBuffer error(String code, String message, long retryAfterMs) {
        return join(errorResponse("ERROR", code, message, retryAfterMs), READY_FOR_QUERY);
    }

    /** An error that ends the connection. */
    public static ByteBuffer fatal(String code, String message) {
        return errorResponse("FATAL", code, message, 0);
    }

    private static ByteBuffer errorResponse(String severity, String code, String message, long retryAfterMs) {
        String detail = retryAfterMs > 0 ? "D" + retryAfterMs + '\0' : "";
        return message('E', cString("S" + severity + "\0V" + severity + "\0C" + code + "\0M" + message + '\0'
                + detail));
    }

    /** A query in slices, with the timeout inserted between the two parts of its text. */
    public static ByteBuffer[] query(ByteBuffer textBeforeTimeout, long timeoutMs, ByteBuffer textAfterTimeout) {
        byte[] digits = Long.toString(timeoutMs).getBytes(StandardCharsets.US_ASCII);
        int length = 4 + textBeforeTimeout.remaining() + digits.length + textAfterTimeout.remaining() + 1;
        return new ByteBuffer[] {
            ByteBuffer.allocate(HEADER_LENGTH).put((byte) 'Q').putInt(length).flip(), textBeforeTimeout.duplicate(),
            ByteBuffer.wrap(digits), textAfterTimeout.duplicate(), ByteBuffer.wrap(new byte[1])};
    }

    /** A query with this text. */
    public static ByteBuffer query(String text) {
        return query(text.getBytes(StandardCharsets.UTF_8));
    }

    /** A query with the text in these bytes. */
    public static ByteBuffer query(byte[] text) {
        return message('Q', Arrays.copyOf(text, text.length + 1));
    }

    /** The error field with this letter; empty if absent. */
    public static String errorField(ByteBuffer error, char letter) {
        int position = 0;
        while (position < error.limit() && error.get(position) != 0) {
            int end = position + 1;
            while (end < error.limit() && error.get(end) != 0) {
                end++;
            }
            if (error.get(position) == letter) {
                byte[] bytes = new byte[end - position - 1];
                error.get(position + 1, bytes);
                return new String(bytes, StandardCharsets.UTF_8);
            }
            position = end + 1;
        }
        return "";
    }
}
