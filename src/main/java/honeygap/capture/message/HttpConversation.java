package honeygap.capture.message;

import honeygap.net.http.Answers;
import honeygap.net.http.Refusal;
import honeygap.net.http.Requests;
import honeygap.net.ofrep.Bodies;
import honeygap.read.Malformed;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The flag API over HTTP/1.1, read with the agent's own parsers. After a hole the client is read on from a chunk that
 * begins with a request line, the server from one that begins with a status line while one request is open.
 */
public final class HttpConversation implements Conversation, Answers.Reader {

    private static final int LONGEST_BODY = 1 << 20;
    private static final int MOST_OPEN = 256;
    private static final String FLAGS = "/ofrep/v1/evaluate/flags";

    private final Supplier<Spoken> made;
    private final Hearer hearer;
    private final Map<String, Long> counts;
    private Requests requests = new Requests(LONGEST_BODY);
    private Answers answers = new Answers(this);
    private boolean clientLost;
    /** The chunk right behind a hole was held back, for who knows how long. */
    private boolean clientHeld;
    private boolean serverHeld;
    private boolean serverLost;
    private final ArrayDeque<Spoken> open = new ArrayDeque<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private long now;

    public HttpConversation(boolean isWhole, Supplier<Spoken> made, Hearer hearer, Map<String, Long> counts) {
        this.made = made;
        this.hearer = hearer;
        this.counts = counts;
        clientLost = serverLost = !isWhole;
    }

    private void count(String kind) {
        counts.merge(kind, 1L, Long::sum);
    }

    /** Whether a chunk begins with a request line of HTTP/1.1. */
    public static boolean isRequest(byte[] bytes) {
        return starts(bytes, "POST /") || starts(bytes, "GET /") || starts(bytes, "PUT /")
                || starts(bytes, "HEAD /") || starts(bytes, "OPTIONS ") || starts(bytes, "DELETE /");
    }

    private static boolean starts(byte[] bytes, String words) {
        for (int i = 0; i < words.length(); i++) {
            if (i >= bytes.length || bytes[i] != words.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void data(boolean isClient, byte[] bytes, long at) {
        now = at;
        try {
            if (isClient) {
                client(bytes, at);
            } else {
                server(bytes);
            }
        } catch (Malformed e) {
            count(isClient ? "spoilt requests" : "spoilt answers");
            lose(isClient);
        }
    }

    private void client(byte[] bytes, long at) throws Refusal {
        if (clientLost) {
            boolean wasHeld = clientHeld;
            clientHeld = false;
            if (wasHeld || !isRequest(bytes)) {
                count("chunks passed over");
                return;
            }
            clientLost = false;
            requests = new Requests(LONGEST_BODY);
            tear();
        }
        requests.feed(ByteBuffer.wrap(bytes));
        while (requests.next()) {
            if (serverLost) {
                tear();
            }
            if (open.size() >= MOST_OPEN) {
                count("too many open");
                tear();
            }
            open.add(spoken(at));
        }
    }

    private Spoken spoken(long at) {
        Spoken spoken = made.get();
        spoken.protocol = "http";
        spoken.at = at;
        String target = requests.target();
        boolean isTracking = target.startsWith("/ofrep/v1/track");
        spoken.method = target.equals(FLAGS) ? "all" : target.startsWith(FLAGS + "/") ? "one"
                : isTracking ? requests.field("idempotency-key") != null ? "tracked" : "track"
                : requests.method() + " " + target;
        spoken.isRead = target.startsWith(FLAGS);
        spoken.tenant = target.startsWith(FLAGS + "/") ? target.substring(FLAGS.length() + 1) : "";
        spoken.request = whole();
        try {
            long subject = Bodies.subject(requests.body());
            spoken.key = subject == 0 ? "" : Long.toHexString(subject);
        } catch (Refusal e) {
            count("bodies without a context");
        }
        return spoken;
    }

    /** The request as it is sent again: its line, the fields that matter, and its body by length. */
    private byte[] whole() {
        StringBuilder head = new StringBuilder(requests.method() + " " + requests.target() + " HTTP/1.1\r\n");
        for (String name : new String[] {"host", "content-type", "authorization", "x-api-key", "idempotency-key",
            "if-none-match", "x-deadline-ms"}) {
            if (requests.field(name) != null) {
                head.append(name).append(": ").append(requests.field(name)).append("\r\n");
            }
        }
        head.append("content-length: ").append(requests.body().length).append("\r\n\r\n");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        bytes.writeBytes(requests.body());
        return bytes.toByteArray();
    }

    private void server(byte[] bytes) throws Malformed {
        if (serverLost) {
            boolean wasHeld = serverHeld;
            serverHeld = false;
            if (wasHeld || clientLost || open.size() != 1 || !starts(bytes, "HTTP/1.")) {
                count("chunks passed over");
                return;
            }
            serverLost = false;
            answers = new Answers(this);
            body.reset();
        }
        answers.feed(ByteBuffer.wrap(bytes));
    }

    @Override
    public void head(int status) {
        this.status = status;
    }

    @Override
    public void data(ByteBuffer bytes) throws Malformed {
        if (body.size() + bytes.remaining() > LONGEST_BODY) {
            throw new Malformed("an answer too long");
        }
        while (bytes.hasRemaining()) {
            body.write(bytes.get());
        }
    }

    @Override
    public void end() {
        Spoken spoken = open.poll();
        if (spoken != null) {
            spoken.took = Math.max(0, now - spoken.at);
            spoken.code = Integer.toString(status);
            spoken.outcome = Spoken.Outcome.ofStatus(status);
            spoken.answer = body.toByteArray();
            hearer.accept(spoken);
        }
        body.reset();
    }

    @Override
    public void hole(boolean isClient, long length) {
        count("holes in conversations");
        clientHeld |= isClient;
        serverHeld |= !isClient;
        lose(isClient);
    }

    private void lose(boolean isClient) {
        clientLost |= isClient;
        serverLost = true;
        tear();
    }

    private void tear() {
        for (Spoken spoken : open) {
            spoken.outcome = Spoken.Outcome.torn;
            hearer.accept(spoken);
        }
        open.clear();
        body.reset();
    }

    @Override
    public void over() {
        for (Spoken spoken : open) {
            spoken.outcome = Spoken.Outcome.open;
            hearer.accept(spoken);
        }
        open.clear();
    }
}
