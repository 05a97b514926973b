package honeygap.net.pg;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** The messages that an agent writes itself. */
public final class Words {

    public static final int VERSION = 196608;
    public static final int TLS = 80877103;
    public static final int GSS = 80877104;
    public static final int CANCEL = 80877102;

    public static final String TOO_MANY = "53300";
    public static final String SHUTTING_DOWN = "57P03";
    public static final String GIVEN_UP = "58000";
    public static final String SYNTAX = "42601";
    public static final String PROTOCOL = "08P01";

    private static final int HEAD = 5;

    private static final ByteBuffer READY = message('Z', "I".getBytes(StandardCharsets.US_ASCII));
    private static final ByteBuffer EMPTY = join(message('I'), READY);
    private static final ByteBuffer SET = join(message('C', text("SET")), READY);
    private static final ByteBuffer WELCOME = join(message('R', new byte[4]),
            setting("server_version", "16.0"),
            setting("server_encoding", "UTF8"), setting("client_encoding", "UTF8"),
            setting("standard_conforming_strings", "on"), message('K', new byte[8]), READY);
    private static final ByteBuffer LOGIN = login();

    private Words() {
    }

    private static byte[] text(String words) {
        return (words + '\0').getBytes(StandardCharsets.UTF_8);
    }

    private static ByteBuffer setting(String name, String value) {
        return message('S', text(name + '\0' + value));
    }

    private static ByteBuffer message(char type, byte... body) {
        ByteBuffer whole = ByteBuffer.allocate(HEAD + body.length);
        return whole.put((byte) type).putInt(4 + body.length).put(body).flip();
    }

    private static ByteBuffer join(ByteBuffer... parts) {
        int length = 0;
        for (ByteBuffer part : parts) {
            length += part.remaining();
        }
        ByteBuffer all = ByteBuffer.allocate(length);
        for (ByteBuffer part : parts) {
            all.put(part.duplicate());
        }
        return all.flip();
    }

    private static ByteBuffer login() {
        byte[] pairs = text("user\0backend\0database\0store\0");
        ByteBuffer whole = ByteBuffer.allocate(8 + pairs.length);
        return whole.putInt(8 + pairs.length).putInt(VERSION).put(pairs).flip();
    }

    /** Ready for the next query. */
    public static ByteBuffer ready() {
        return READY.duplicate();
    }

    public static ByteBuffer emptyQuery() {
        return EMPTY.duplicate();
    }

    public static ByteBuffer set() {
        return SET.duplicate();
    }

    public static ByteBuffer welcome() {
        return WELCOME.duplicate();
    }

    /** How a connection to an appliance begins. */
    public static ByteBuffer startup() {
        return LOGIN.duplicate();
    }

    public static ByteBuffer noTls() {
        return ByteBuffer.wrap(new byte[] {'N'});
    }

    /** An error that ends one query. */
    public static ByteBuffer error(String code, String words, long stayAwayMs) {
        return join(errorOnly("ERROR", code, words, stayAwayMs), READY);
    }

    /** An error that ends the connection. */
    public static ByteBuffer fatal(String code, String words) {
        return errorOnly("FATAL", code, words, 0);
    }

    private static ByteBuffer errorOnly(String severity, String code, String words, long stayAwayMs) {
        String detail = stayAwayMs > 0 ? "D" + stayAwayMs + '\0' : "";
        return message('E', text("S" + severity + "\0V" + severity + "\0C" + code + "\0M" + words + '\0'
                + detail));
    }

    /** A query: what stands before its time, the time, and what stands after it. */
    public static ByteBuffer[] query(ByteBuffer before, long timeMs, ByteBuffer after) {
        byte[] digits = Long.toString(timeMs).getBytes(StandardCharsets.US_ASCII);
        int length = 4 + before.remaining() + digits.length + after.remaining() + 1;
        return new ByteBuffer[] {
            ByteBuffer.allocate(HEAD).put((byte) 'Q').putInt(length).flip(), before.duplicate(),
            ByteBuffer.wrap(digits), after.duplicate(), ByteBuffer.wrap(new byte[1])};
    }

    public static ByteBuffer query(String words) {
        return message('Q', text(words));
    }

    /** One field of an error, by its letter; empty where it is not there. */
    public static String field(ByteBuffer error, char letter) {
        int at = 0;
        while (at < error.limit() && error.get(at) != 0) {
            int end = at + 1;
            while (end < error.limit() && error.get(end) != 0) {
                end++;
            }
            if (error.get(at) == letter) {
                byte[] bytes = new byte[end - at - 1];
                error.get(at + 1, bytes);
                return new String(bytes, StandardCharsets.UTF_8);
            }
            at = end + 1;
        }
        return "";
    }
}
