package honeygap.net.askers;

import honeygap.flags.Answers;
import honeygap.flags.Served;
import honeygap.net.guests.Guest;
import honeygap.net.http.Refusal;
import honeygap.net.http.Requests;
import honeygap.net.ofrep.Awaited;
import honeygap.net.ofrep.Bodies;
import honeygap.net.ofrep.Request;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * A client that asks for flags over HTTP/1.1. Requests may be sent one behind another; they are read one by
 * one, so that the answers go out in their order.
 */
final class Asker extends Guest {

    private static final byte[] NOTHING = {};

    private final Askers all;
    private final Requests requests;
    private Asking asking;
    private boolean leaveGiven;
    private boolean hasSent;

    Asker(Askers all) {
        super(all.guests);
        this.all = all;
        requests = new Requests(all.longestBody);
    }

    /** One evaluation of this client. */
    private final class Asking extends Awaited {

        private final boolean isKept;

        Asking(Request request, long takenAt, long deadline, long holds) {
            super(request, takenAt, deadline, holds);
            isKept = requests.isKept();
        }

        @Override
        public void answer(Served served, int how) {
            Asker.this.answer(this, served, how);
        }

        @Override
        public void pushBack(long stayAway) {
            all.pushedBack();
            long wait = Math.max(stayAway, all.exchange.opensIn());
            answered(this, 429, error("GENERAL", "pushed back, trying again is harmless"),
                    "Retry-After: " + Math.max(1, (wait + 9_999) / 10_000) + "\r\n");
        }

        @Override
        public void abort() {
            answered(this, 500, error("GENERAL", "aborted"), "");
        }

        private byte[] error(String code, String details) {
            return Bodies.error(question.flag, code, details);
        }
    }

    /** A connection of HTTP begins with nothing but the first request. */
    @Override
    protected boolean isStarted() {
        return hasSent;
    }

    @Override
    protected boolean isAsking() {
        return asking != null;
    }

    @Override
    protected int waiting() {
        return requests.waiting();
    }

    @Override
    protected int longest() {
        return requests.longest();
    }

    @Override
    protected ByteBuffer tooLongWord() {
        all.refused("too slow");
        return head(408, Bodies.error(null, null, "nothing whole has come in time"), "", false);
    }

    @Override
    protected ByteBuffer tooManyWord() {
        all.refused("too many connections");
        return head(503, Bodies.error(null, null, "too many connections"), "Retry-After: 1\r\n", false);
    }

    @Override
    protected ByteBuffer shutdownWord() {
        all.refused("shutting down");
        return head(503, Bodies.error(null, null, "this agent is shutting down"), "Retry-After: 1\r\n", false);
    }

    @Override
    protected void giveUp() {
        Asking left = asking;
        all.exchange.left(left);
        left.abort();
    }

    @Override
    protected void keep(ByteBuffer bytes) {
        requests.feed(bytes);
    }

    @Override
    protected void leave() {
        if (asking != null) {
            Asking left = asking;
            drop();
            all.exchange.left(left);
        }
    }

    @Override
    protected void read() {
        try {
            while (canRead() && requests.next()) {
                hasSent = true;
                hasAsked();
                leaveGiven = false;
                if (all.guests.isFull()) {
                    end(tooManyWord());
                } else {
                    request();
                }
            }
            if (canRead() && !leaveGiven && requests.isLeaveAsked()) {
                leaveGiven = true;
                write(ByteBuffer.wrap("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII)));
            }
        } catch (Refusal e) {
            // What follows on the connection can't be read for sure.
            all.refused(e.kind);
            end(head(e.status, Bodies.error(null, null, e.getMessage()), "", false));
        }
    }

    /** A request read whole; one that is turned down leaves the connection as it is. */
    private void request() {
        String flag = null;
        try {
            String coding = requests.field("content-encoding");
            if (coding != null && !coding.equalsIgnoreCase("identity")) {
                throw new Refusal(415, "other coding", "content-encoding " + coding);
            }
            Paths.Where where = Paths.read(requests.target());
            flag = where.flag();
            if (!requests.method().equals("POST")) {
                throw new Refusal(405, "other method", requests.method() + " is not taken here");
            }
            String type = requests.field("content-type");
            if (type != null && !type.toLowerCase(Locale.ROOT).startsWith("application/json")) {
                throw new Refusal(415, "other type", "content-type " + type);
            }
            asking = ask(where);
            all.exchange.asked(asking, all.tick);
        } catch (Refusal e) {
            all.refused(e.kind);
            boolean isCode = e.status == 400;
            write(requests.isKept(), e.status, Bodies.error(isCode ? flag : null, isCode ? e.kind : null,
                    e.getMessage()), e.status == 405 ? "Allow: POST\r\n" : "");
        }
    }

    private Asking ask(Paths.Where where) throws Refusal {
        String token = requests.field("idempotency-key");
        boolean isTracking = where.isTracking();
        long subject = Bodies.subject(requests.body());
        long holds = isTracking || where.flag() != null ? Served.NO_VERSION
                : Tags.version(requests.field("if-none-match"));
        StringBuilder fields = new StringBuilder();
        pass(fields, "Authorization", requests.field("authorization"));
        pass(fields, "X-API-Key", requests.field("x-api-key"));
        if (isTracking && token != null) {
            if (token.isEmpty() || token.length() > 255) {
                throw new Refusal(400, "INVALID_CONTEXT", "field idempotency-key is empty or over 255 long");
            }
            pass(fields, "Idempotency-Key", token);
        }
        Request request = Request.of(all.method(where, token != null), where.flag(), subject, where.path(),
                fields.toString(), requests.body(), !isTracking);
        long now = all.clock();
        return new Asking(request, now, now + all.within(request.method, requests.field("x-deadline-ms")), holds);
    }

    private static void pass(StringBuilder fields, String name, String value) {
        if (value != null) {
            fields.append(name).append(": ").append(value).append("\r\n");
        }
    }

    private void answer(Asking asked, Served served, int how) {
        if (asked.question.flag != null || !asked.question.shareable || !served.isGood()) {
            byte[] body = how == Answers.FRESH ? served.body
                    : Bodies.withReason(served.body, false, reason(how));
            answered(asked, served.status, body, "");
            return;
        }
        String tag = Tags.of(served);
        if (Tags.isAmong(tag, requests.field("if-none-match"))) {
            answered(asked, 304, NOTHING, "ETag: " + tag + "\r\n");
        } else {
            byte[] body = how == Answers.FRESH ? served.body
                    : Bodies.withReason(served.body, true, reason(how));
            answered(asked, 200, body, "ETag: " + tag + "\r\n");
        }
    }

    private static String reason(int how) {
        return how == Answers.CACHED ? "CACHED" : "STALE";
    }

    private void answered(Asking asked, int status, byte[] body, String fields) {
        if (asking == asked) {
            drop();
            write(asked.isKept, status, body, fields);
        }
    }

    /** Parts from the evaluation: it is answered, or nobody waits any more. */
    private void drop() {
        asking.guard.callOff();
        asking = null;
    }

    private void write(boolean isKept, int status, byte[] body, String fields) {
        boolean stays = isKept && !all.guests.isLeaving();
        write(head(status, body, fields, stays));
        if (!stays) {
            close();
        }
    }

    /** A whole answer: status, fields and body. */
    private static ByteBuffer head(int status, byte[] body, String fields, boolean stays) {
        boolean hasBody = status != 204 && status != 304;
        StringBuilder lines = new StringBuilder(160).append("HTTP/1.1 ").append(status).append(' ')
                .append(Tags.reason(status)).append("\r\n");
        if (hasBody) {
            lines.append("Content-Type: application/json\r\nContent-Length: ").append(body.length).append("\r\n");
        }
        if (!stays) {
            lines.append("Connection: close\r\n");
        }
        byte[] head = lines.append(fields).append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer whole = ByteBuffer.allocate(head.length + (hasBody ? body.length : 0));
        whole.put(head);
        if (hasBody) {
            whole.put(body);
        }
        return whole.flip();
    }
}
