package honeygap.net.servers;

import honeygap.flags.Served;
import honeygap.fleet.Pick;
import honeygap.net.Gathered;
import honeygap.net.http.Answers;
import honeygap.net.links.UpstreamConnection;
import honeygap.net.links.ConnectionPool;
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
public final class FlagServerConnection extends UpstreamConnection implements Answers.Reader {

    /** What outlasts this many seconds is taken for it; the decision on limits has a bound of its own. */
    private static final long MAX_RETRY_AFTER_SECONDS = 86_400;

    private final int maxAnswerBytes;
    private final Answers answers = new Answers(this);
    private byte[] body = new byte[256];
    private int length;
    private byte[] hostHeader;
    private int status;
    private boolean closesAfterAnswer;
    private String dateHeader;
    private String retryAfterHeader;
    private boolean isComplete;

    /** Answers longer than so many bytes are turned down. */
    public FlagServerConnection(ConnectionPool pool, Remote appliance, int maxAnswerBytes) {
        super(pool, appliance);
        this.maxAnswerBytes = maxAnswerBytes;
    }

    @Override
    protected void startProtocol() {
        becomeIdle();
    }

    @Override
    protected void sendProbe() {
        // Nothing of the protocol asks whether a server is well: connecting is all.
        becomeIdle();
    }

    @Override
    protected void sendRequest() {
        if (hostHeader == null) {
            String ip = appliance.address.getAddress().getHostAddress();
            hostHeader = ((ip.indexOf(':') < 0 ? ip : "[" + ip + "]") + ":" + appliance.address.getPort())
                    .getBytes(StandardCharsets.US_ASCII);
        }
        length = 0;
        closesAfterAnswer = false;
        retryAfterHeader = null;
        dateHeader = null;
        session.write(new Gathered(((Ask) call).request().parts(hostHeader)));
    }

    @Override
    protected void handleInput(ByteBuffer bytes) throws Malformed {
        if (call == null || !isFullyWritten) {
            throw new Malformed("an answer that nobody waits for");
        }
        isComplete = false;
        answers.feed(bytes);
        if (isComplete && bytes.hasRemaining()) {
            throw new Malformed("more than one answer");
        }
        if (!isClosed && answers.isOpenEnded()) {
            throw new Malformed("an answer without a length");
        }
    }

    @Override
    protected boolean hasPartialMessage() {
        return !answers.isBetween();
    }

    @Override
    public void field(String name, String value) throws Malformed {
        switch (name) {
            case "content-length":
                // What can't be kept is not waited for.
                if (value.length() > 9 || Long.parseLong(value) > maxAnswerBytes) {
                    throw new Malformed("an answer too long");
                }
                break;
            case "":
                closesAfterAnswer = value.equals("HTTP/1.0");
                break;
            case "connection":
                closesAfterAnswer |= value.toLowerCase(Locale.ROOT).contains("close");
                break;
            case "retry-after":
                retryAfterHeader = value;
                break;
            case "date":
                dateHeader = value;
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
        int added = bytes.remaining();
        if (length + added > maxAnswerBytes) {
            throw new Malformed("an answer too long");
        }
        if (length + added > body.length) {
            body = Arrays.copyOf(body, Math.max(length + added, 2 * body.length));
        }
        bytes.get(body, length, added);
        length += added;
    }

    @Override
    public void end() throws Malformed {
        if (call == null || isComplete) {
            throw new Malformed("an answer that nobody waits for");
        }
        isComplete = true;
        Ask ask = (Ask) call;
        if (retryAfterHeader != null && (status == 429 || status == 503)) {
            ask.stayAway(appliance, parseRetryAfter(retryAfterHeader, dateHeader));
        }
        boolean closes = closesAfterAnswer;
        finishPick(outcome(ask));
        if (closes) {
            close(Pick.CANCELLED);
        } else {
            becomeIdle();
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
            return ask.served(appliance, status, Arrays.copyOf(body, length));
        } catch (Malformed e) {
            reportMalformed(e);
            return Pick.ERROR;
        }
    }

    /**
     * Seconds or a date, in tenths of a millisecond from now; what is neither is no wait. A date counts from the server's
     * own, where it says one: this machine's clock may have been stepped since.
     */
    private static long parseRetryAfter(String retryAfter, String dateHeader) {
        try {
            if (retryAfter.matches("[0-9]{1,9}")) {
                return Math.min(MAX_RETRY_AFTER_SECONDS, Long.parseLong(retryAfter)) * 10_000;
            }
            ZonedDateTime date = ZonedDateTime.parse(retryAfter, DateTimeFormatter.RFC_1123_DATE_TIME);
            Instant from = dateHeader == null ? Instant.now()
                    : ZonedDateTime.parse(dateHeader, DateTimeFormatter.RFC_1123_DATE_TIME).toInstant();
            Duration left = Duration.between(from, date.toInstant());
            return Math.max(0, Math.min(MAX_RETRY_AFTER_SECONDS, left.getSeconds()) * 10_000);
        } catch (DateTimeParseException e) {
            return 0;
        }
    }
}
