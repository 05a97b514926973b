package honeygap.net.servers;

import honeygap.flags.Served;
import honeygap.fleet.Pick;
import honeygap.net.Gathered;
import honeygap.net.http.Answers;
import honeygap.net.links.Link;
import honeygap.net.links.Links;
import honeygap.net.links.Remote;
import honeygap.net.ofrep.Ask;
import honeygap.read.Malformed;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.ZonedDateTime;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeParseException;
import java.util.Arrays;
import java.util.Locale;

/**
 * A connection to a flag server, which speaks the remote evaluation protocol over HTTP/1.1. Only whole answers
 * count: one whose end is the connection's end can't be told from half of one.
 */
public final class Server extends Link implements Answers.Reader {

    /** What outlasts this many seconds is taken for it; the decision on limits has a bound of its own. */
    private static final long LONGEST_AWAY = 86_400;

    private final int longest;
    private final Answers answers = new Answers(this);
    private byte[] body = new byte[256];
    private int length;
    private byte[] host;
    private int status;
    private boolean isLast;
    private String saidAt;
    private String awayUntil;
    private boolean whole;

    /** Answers longer than so many bytes are turned down. */
    public Server(Links all, Remote remote, int longest) {
        super(all, remote);
        this.longest = longest;
    }

    @Override
    protected void begin() {
        idle();
    }

    @Override
    protected void sendProbe() {
        // Nothing of the protocol asks whether a server is well: connecting is all.
        idle();
    }

    @Override
    protected void send() {
        if (host == null) {
            String figures = remote.address.getAddress().getHostAddress();
            host = ((figures.indexOf(':') < 0 ? figures : "[" + figures + "]") + ":" + remote.address.getPort())
                    .getBytes(StandardCharsets.US_ASCII);
        }
        length = 0;
        isLast = false;
        awayUntil = null;
        saidAt = null;
        session.write(new Gathered(((Ask) call).request().parts(host)));
    }

    @Override
    protected void read(ByteBuffer bytes) throws Malformed {
        if (call == null || !handedOver) {
            throw new Malformed("an answer that nobody waits for");
        }
        whole = false;
        answers.feed(bytes);
        if (whole && bytes.hasRemaining()) {
            throw new Malformed("more than one answer");
        }
        if (!over && answers.isOpenEnded()) {
            throw new Malformed("an answer without a length");
        }
    }

    @Override
    protected boolean isHalfRead() {
        return !answers.isBetween();
    }

    @Override
    public void field(String name, String value) throws Malformed {
        switch (name) {
            case "content-length":
                // What can't be kept is not waited for.
                if (value.length() > 9 || Long.parseLong(value) > longest) {
                    throw new Malformed("an answer too long");
                }
                break;
            case "":
                isLast = value.equals("HTTP/1.0");
                break;
            case "connection":
                isLast |= value.toLowerCase(Locale.ROOT).contains("close");
                break;
            case "retry-after":
                awayUntil = value;
                break;
            case "date":
                saidAt = value;
                break;
            default:
                break;
        }
    }

    @Override
    public void head(int status) {
        this.status = status;
    }

    @Override
    public void data(ByteBuffer bytes) throws Malformed {
        int more = bytes.remaining();
        if (length + more > longest) {
            throw new Malformed("an answer too long");
        }
        if (length + more > body.length) {
            body = Arrays.copyOf(body, Math.max(length + more, 2 * body.length));
        }
        bytes.get(body, length, more);
        length += more;
    }

    @Override
    public void end() throws Malformed {
        if (call == null || whole) {
            throw new Malformed("an answer that nobody waits for");
        }
        whole = true;
        Ask ask = (Ask) call;
        if (awayUntil != null && (status == 429 || status == 503)) {
            ask.stayAway(remote, tenths(awayUntil, saidAt));
        }
        boolean last = isLast;
        finish(outcome(ask));
        if (last) {
            end(Pick.CANCELLED);
        } else {
            idle();
        }
    }

    /** What a server pushes back, surely unheard, is 429; all else that is no answer may have run. */
    private int outcome(Ask ask) {
        boolean isTracking = !ask.request().shareable;
        boolean isAnswer = status / 100 == 2 && (isTracking || status == 200)
                || status == 400 || status == 401 || status == 403 || status == 404 && ask.request().flag != null;
        if (!isAnswer) {
            return status == 429 ? Pick.FULL : Pick.ERROR;
        }
        try {
            return ask.served(remote, status, Arrays.copyOf(body, length));
        } catch (Malformed e) {
            unreadable(e);
            return Pick.ERROR;
        }
    }

    /**
     * Seconds or a date, in tenths of a millisecond from now; what is neither is no wait. A date counts from the server's
     * own, where it says one: this machine's clock may have been stepped since.
     */
    private static long tenths(String words, String saidAt) {
        try {
            if (words.matches("[0-9]{1,9}")) {
                return Math.min(LONGEST_AWAY, Long.parseLong(words)) * 10_000;
            }
            ZonedDateTime date = ZonedDateTime.parse(words, DateTimeFormatter.RFC_1123_DATE_TIME);
            Instant from = saidAt == null ? Instant.now()
                    : ZonedDateTime.parse(saidAt, DateTimeFormatter.RFC_1123_DATE_TIME).toInstant();
            Duration left = Duration.between(from, date.toInstant());
            return Math.max(0, Math.min(LONGEST_AWAY, left.getSeconds()) * 10_000);
        } catch (DateTimeParseException e) {
            return 0;
        }
    }
}
