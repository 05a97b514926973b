package honeygap.capture.message;

import honeygap.net.pg.Frames;
import honeygap.net.pg.Shapes;
import honeygap.net.pg.Statement;
import honeygap.net.pg.Words;
import honeygap.read.Malformed;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.function.Supplier;

/**
 * PostgreSQL's wire protocol, read with the agent's own frames and statements. After a hole a side is read on from a
 * sure edge only: the client from a chunk that is a whole statement to its last byte, the server from one that is
 * whole messages up to ready, and only after the client has been read on.
 */
public final class PgConversation implements Conversation {

    private static final int LONGEST = 4 * 65536;
    private static final int LONGEST_STARTUP = 10_000;
    private static final int MOST_OPEN = 1024;
    private static final String SERVER_TYPES = "RSKTDCEIZN";
    /** What an answer begins with: the description of a row, an error, or the word that nothing was asked. */
    private static final String FIRST_TYPES = "TEI";

    private enum Stage { START, MESSAGES, LOST, DARK }

    private final Supplier<Spoken> made;
    private final Hearer hearer;
    private final Map<String, Long> counts;
    private final Statement statement = new Statement();
    private Frames up = new Frames(LONGEST);
    private Frames down = new Frames(LONGEST);
    private Stage client;
    private Stage server = Stage.MESSAGES;
    /** What was asked and is not answered, in order; null for what is no RPC, as an empty query. */
    private final ArrayDeque<Spoken> open = new ArrayDeque<>();
    private static final Spoken NOTHING = new Spoken();
    private final ByteArrayOutputStream answer = new ByteArrayOutputStream();
    private Spoken.Outcome outcome;
    private String code = "";
    private boolean tlsAsked;
    /** The chunk right behind a hole was held back: when it was said, and what came between, is not known. */
    private boolean clientHeld;
    private boolean serverHeld;
    /** The server's first ready answers the startup, not a statement. */
    private boolean greeted;

    /** Made gives an RPC with all that the connection knows; counts are of faults, by kind. */
    public PgConversation(boolean isWhole, Supplier<Spoken> made, Hearer hearer, Map<String, Long> counts) {
        this.made = made;
        this.hearer = hearer;
        this.counts = counts;
        client = isWhole ? Stage.START : Stage.LOST;
        server = isWhole ? Stage.MESSAGES : Stage.LOST;
        greeted = !isWhole;
    }

    private void count(String kind) {
        counts.merge(kind, 1L, Long::sum);
    }

    /** Whether a chunk is of whole statements to the last byte. */
    public static boolean isStatement(byte[] bytes) {
        ByteBuffer all = ByteBuffer.wrap(bytes);
        if (all.remaining() < 6 || all.get(0) != 'Q' || all.getInt(1) != all.remaining() - 1
                || all.get(all.limit() - 1) != 0) {
            return false;
        }
        return new Statement().read(all.slice(5, all.remaining() - 5));
    }

    /**
     * Whether a chunk is one whole answer, from its first message to the last, which says ready. Guards against the
     * rest of an answer behind a hole, which would be taken for the answer to a later statement.
     */
    private static boolean isAnswer(byte[] bytes) {
        ByteBuffer all = ByteBuffer.wrap(bytes);
        if (bytes.length == 0 || FIRST_TYPES.indexOf(bytes[0]) < 0) {
            return false;
        }
        int at = 0;
        while (at + 5 <= bytes.length) {
            int length = all.getInt(at + 1);
            if (SERVER_TYPES.indexOf(bytes[at]) < 0 || length < 4 || length > bytes.length - at - 1) {
                return false;
            }
            if (bytes[at] == 'Z') {
                return at + 1 + length == bytes.length && length == 5;
            }
            at += 1 + length;
        }
        return false;
    }

    @Override
    public void data(boolean isClient, byte[] bytes, long at) {
        try {
            if (isClient) {
                client(bytes, at);
            } else {
                server(bytes, at);
            }
        } catch (Malformed e) {
            count(isClient ? "spoilt statements" : "spoilt answers");
            lose(isClient);
        }
    }

    private void client(byte[] bytes, long at) throws Malformed {
        if (client == Stage.DARK) {
            return;
        }
        if (client == Stage.LOST) {
            boolean wasHeld = clientHeld;
            clientHeld = false;
            if (wasHeld || !isStatement(bytes)) {
                count("chunks passed over");
                return;
            }
            client = Stage.MESSAGES;
            up = new Frames(LONGEST);
            // Whatever was open before the hole can't be told from what follows.
            tear();
        }
        up.feed(ByteBuffer.wrap(bytes));
        while (true) {
            if (client == Stage.START) {
                if (!up.nextUntyped(LONGEST_STARTUP)) {
                    return;
                }
                int version = up.body().remaining() < 4 ? 0 : up.body().getInt(0);
                if (version == Words.VERSION) {
                    client = Stage.MESSAGES;
                } else if (version == Words.TLS || version == Words.GSS) {
                    tlsAsked = true;
                } else {
                    client = Stage.DARK;
                    return;
                }
            } else if (!up.next()) {
                return;
            } else if (up.type() == 'Q') {
                asked(at);
            }
        }
    }

    private void asked(long at) {
        if (open.size() >= MOST_OPEN) {
            count("too many open");
            tear();
        }
        if (server == Stage.LOST) {
            // Clients ask one by one: what is open was answered where the server can't be read.
            tear();
        }
        if (!statement.read(up.body())) {
            open.add(NOTHING);
            return;
        }
        Spoken spoken = made.get();
        spoken.protocol = "pg";
        spoken.method = statement.method();
        spoken.id = statement.id();
        spoken.tenant = statement.tenant() == null ? "" : statement.tenant();
        spoken.key = statement.key();
        spoken.deadlineMs = statement.timeMs();
        spoken.at = at;
        ByteBuffer whole = up.whole();
        spoken.request = new byte[whole.remaining()];
        whole.duplicate().get(spoken.request);
        spoken.isRead = spoken.request[5] == 'S';
        open.add(spoken);
    }

    private void server(byte[] bytes, long at) throws Malformed {
        if (server == Stage.DARK || client == Stage.DARK) {
            return;
        }
        byte[] rest = bytes;
        if (tlsAsked && bytes.length > 0) {
            tlsAsked = false;
            if (bytes[0] != 'N') {
                // From here on all is encrypted.
                client = server = Stage.DARK;
                count("encrypted connections");
                return;
            }
            rest = java.util.Arrays.copyOfRange(bytes, 1, bytes.length);
        }
        if (server == Stage.LOST) {
            boolean wasHeld = serverHeld;
            serverHeld = false;
            if (wasHeld || client == Stage.LOST || !isAnswer(rest) || open.size() != 1) {
                count("chunks passed over");
                // It may have been the answer to what is open, which the next one is not.
                tear();
                return;
            }
            server = Stage.MESSAGES;
            down = new Frames(LONGEST);
            greeted = true;
        }
        down.feed(ByteBuffer.wrap(rest));
        while (down.next()) {
            message(at);
        }
    }

    private void message(long at) throws Malformed {
        if (SERVER_TYPES.indexOf(down.type()) < 0) {
            throw new Malformed("a message that no server sends");
        }
        Shapes.check(down.type(), down.body());
        switch (down.type()) {
            case 'T', 'D':
                keep();
                break;
            case 'C':
                keep();
                outcome = outcome == null ? Spoken.Outcome.served : outcome;
                break;
            case 'I':
                outcome = outcome == null ? Spoken.Outcome.served : outcome;
                break;
            case 'E':
                keep();
                code = Words.field(down.body(), 'C');
                outcome = Spoken.Outcome.ofCode(code);
                if (Words.field(down.body(), 'S').equals("FATAL")) {
                    answered(at);
                }
                break;
            case 'Z':
                if (greeted) {
                    answered(at);
                }
                greeted = true;
                break;
            default:
                break;
        }
    }

    private void keep() {
        ByteBuffer whole = down.whole();
        if (answer.size() + whole.remaining() <= LONGEST) {
            while (whole.hasRemaining()) {
                answer.write(whole.get());
            }
        }
    }

    private void answered(long at) {
        Spoken spoken = open.poll();
        if (spoken != null && spoken != NOTHING) {
            spoken.took = Math.max(0, at - spoken.at);
            spoken.outcome = outcome == null ? Spoken.Outcome.failed : outcome;
            spoken.code = code;
            spoken.answer = answer.toByteArray();
            hearer.accept(spoken);
        }
        outcome = null;
        code = "";
        answer.reset();
    }

    @Override
    public void hole(boolean isClient, long length) {
        count("holes in conversations");
        clientHeld |= isClient;
        serverHeld |= !isClient;
        lose(isClient);
    }

    private void lose(boolean isClient) {
        if (client == Stage.DARK) {
            return;
        }
        // With one side lost, answers can't be told from each other: both wait for a sure edge.
        client = isClient ? Stage.LOST : client == Stage.START ? Stage.LOST : client;
        server = Stage.LOST;
        tear();
    }

    private void tear() {
        for (Spoken spoken : open) {
            if (spoken != NOTHING) {
                spoken.outcome = Spoken.Outcome.torn;
                hearer.accept(spoken);
            }
        }
        open.clear();
        outcome = null;
        code = "";
        answer.reset();
    }

    @Override
    public void over() {
        for (Spoken spoken : open) {
            if (spoken != NOTHING) {
                spoken.outcome = Spoken.Outcome.open;
                hearer.accept(spoken);
            }
        }
        open.clear();
    }
}
