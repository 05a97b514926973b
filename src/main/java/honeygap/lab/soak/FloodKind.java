package honeygap.lab.soak;

import honeygap.net.pg.PgMessages;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** What a client sends over and over on the PostgreSQL front. */
enum FloodKind {
    /** TLS requests back to back on one connection, which is opened again when the agent closes it; answers are read. */
    TLS_REQUESTS(true, false),
    /** The same, but the answers are not read. */
    TLS_REQUESTS_UNREAD(false, false),
    /** A TLS request on each new connection, then a startup and texts that are no statements. */
    TLS_THEN_UNKNOWN_STATEMENTS(true, true),
    /** Empty queries. */
    EMPTY_QUERIES(true, true),
    /** Statements of ever new methods, with ever new tenants, keys and ids. */
    NEW_NAMES(true, true),
    /** Statements with ever new keys and ids that may be served. */
    NEW_KEYS(true, true),
    /** Sound statements a byte at a time. */
    SINGLE_BYTES(true, true),
    /** Connections that are reset as soon as they are open. */
    RESETS(false, false),
    /** Connections that send part of a large statement and then nothing. */
    PARTIAL_STATEMENTS(false, true);

    private static final int TLS_REQUESTS_PER_WRITE = 512;
    private static final int QUERIES_PER_WRITE = 32;
    private static final int TLS_REQUEST_LENGTH = 8;
    private static final int PARTIAL_LENGTH = 32_768;

    /** Whether the client reads what it is answered. */
    final boolean readsAnswers;
    /** Whether the client begins with a startup message. */
    final boolean startsUp;

    FloodKind(boolean readsAnswers, boolean startsUp) {
        this.readsAnswers = readsAnswers;
        this.startsUp = startsUp;
    }

    /** The kinds whose input opens no RPC. */
    static List<FloodKind> withoutRpcs() {
        return Arrays.stream(values()).filter(kind -> kind != NEW_KEYS && kind != SINGLE_BYTES).toList();
    }

    /** What is sent before everything else on each connection. */
    byte[] opening() {
        List<ByteBuffer> messages = new ArrayList<>();
        if (this == TLS_THEN_UNKNOWN_STATEMENTS) {
            messages.add(tlsRequest());
        }
        if (startsUp) {
            messages.add(PgMessages.startupMessage());
        }
        return concatenate(messages);
    }

    /**
     * The bytes of one write.
     *
     * @param client a name that no other client has
     * @param number how many writes the client has made before
     */
    byte[] bytes(String client, long number) {
        List<ByteBuffer> messages = new ArrayList<>();
        switch (this) {
            case TLS_REQUESTS, TLS_REQUESTS_UNREAD -> {
                for (int i = 0; i < TLS_REQUESTS_PER_WRITE; i++) {
                    messages.add(tlsRequest());
                }
            }
            case PARTIAL_STATEMENTS -> {
                ByteBuffer query = PgMessages.query("SELECT content FROM kv WHERE name = '" + "k".repeat(2 * PARTIAL_LENGTH)
                        + "'");
                messages.add(query.slice(0, PARTIAL_LENGTH));
            }
            case RESETS -> { }
            case SINGLE_BYTES -> messages.add(PgMessages.query(statement("read", "k", client + number)));
            default -> {
                for (int i = 0; i < QUERIES_PER_WRITE; i++) {
                    messages.add(PgMessages.query(text(client + "-" + number + "-" + i)));
                }
            }
        }
        return concatenate(messages);
    }

    private String text(String name) {
        return switch (this) {
            case EMPTY_QUERIES -> "";
            case TLS_THEN_UNKNOWN_STATEMENTS -> "DROP TABLE kv /* " + name + " */";
            case NEW_NAMES -> statement("method-" + name, name, name);
            default -> statement("read", name, name);
        };
    }

    private static String statement(String method, String key, String id) {
        return "SELECT content FROM kv WHERE name = '" + key + "' /* id=" + id + ",c=" + method + ",t=tenant-" + id
                + ",d=500 */";
    }

    private static ByteBuffer tlsRequest() {
        return ByteBuffer.allocate(TLS_REQUEST_LENGTH).putInt(TLS_REQUEST_LENGTH).putInt(PgMessages.SSL_REQUEST).flip();
    }

    private static byte[] concatenate(List<ByteBuffer> messages) {
        byte[] bytes = new byte[messages.stream().mapToInt(ByteBuffer::remaining).sum()];
        int length = 0;
        for (ByteBuffer message : messages) {
            int messageLength = message.remaining();
            message.get(bytes, length, messageLength);
            length += messageLength;
        }
        return bytes;
    }
}
