package honeygap.net.flagservers;

import honeygap.flags.ServerAnswer;
import honeygap.fleet.Pick;
import honeygap.net.GatheringBuffer;
import honeygap.net.http.ResponseParser;
import honeygap.net.upstream.UpstreamConnection;
import honeygap.net.upstream.ConnectionPool;
import honeygap.net.upstream.RemoteAppliance;
import honeygap.net.ofrep.EvaluationCall;
import honeygap.config.Malformed;
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
 * A connection to a flag server over the OpenFeature remote evaluation protocol (OFREP) on HTTP/1.1. Answers need an
 * explicit length: one that ends with the connection can't be told from a truncated one.
 */
public final class FlagServerConnection extends UpstreamConnection implements ResponseParser.Handler {

    /** Longer Retry-After times are cut to this; the rules apply a limit of their own. */
    private static final long MAX_RETRY_AFTER_SECONDS = 86_400;
    private static final byte[] NO_BODY = {};

    private final int maxAnswerBytes;
    private final ResponseParser answers = new ResponseParser(this);
    private byte[] body = NO_BODY;
    private int length;
    private byte[] hostHeader;
    private int status;
    private boolean closesAfterAnswer;
    private String dateHeader;
    private String retryAfterHeader;
    private boolean isComplete;

    /** Answers longer than the limit are rejected. */
    public FlagServerConnection(ConnectionPool pool, RemoteAppliance appliance, int maxAnswerBytes) {
        super(pool, appliance);
        this.maxAnswerBytes = maxAnswerBytes;
    }

    @Override
    protected void startProtocol() {
        becomeIdle();
    }

    @Override
    protected void sendProbe() {
        // The protocol has no health check: a successful connect is sufficient.
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
        session.write(new GatheringBuffer(((EvaluationCall) call).request().withHost(hostHeader)));
    }

    @Override
    protected void handleInput(ByteBuffer bytes) throws Malformed {
        if (call == null || !isFullyWritten) {
            throw new Malformed("unexpected answer");
        }
        isComplete = false;
        answers.feed(bytes);
        if (isComplete && bytes.hasRemaining()) {
            throw new Malformed("more than one answer to a request");
        }
        if (!isClosed && answers.isDelimitedByClose()) {
            throw new Malformed("answer without a length");
        }
    }

    @Override
    protected long heldInputBytes() {
        return body.length;
    }

    @Override
    protected boolean hasPartialMessage() {
        return !answers.isBetweenResponses();
    }

    @Override
    public void onField(String name, String value) throws Malformed {
        switch (name) {
            case "content-length":
                // Rejects an oversized answer before its body arrives.
                if (value.length() > 9 || Long.parseLong(value) > maxAnswerBytes) {
                    throw new Malformed("answer too long");
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
    public void onHeadComplete(int status) {
        this.status = status;
    }

    @Override
    public void onData(ByteBuffer bytes) throws Malformed {
        int added = bytes.remaining();
        if (length + added > maxAnswerBytes) {
            throw new Malformed("answer too long");
        }
        if (length + added > body.length) {
            body = Arrays.copyOf(body, Math.max(length + added, 2 * body.length));
        }
        bytes.get(body, length, added);
        length += added;
    }

    @Override
    public void onComplete() throws Malformed {
        if (call == null || isComplete) {
            throw new Malformed("unexpected answer");
        }
        isComplete = true;
        EvaluationCall ask = (EvaluationCall) call;
        if (retryAfterHeader != null && (status == 429 || status == 503)) {
            ask.applyRetryAfter(appliance, parseRetryAfter(retryAfterHeader, dateHeader));
        }
        boolean closes = closesAfterAnswer;
        finishPick(outcome(ask));
        // An idle connection keeps no answer.
        body = NO_BODY;
        if (closes) {
            close(Pick.CANCELLED);
        } else {
            becomeIdle();
        }
    }

    /** Status 429 is a push-back: the request has certainly not run. After any other error it may have run. */
    private int outcome(EvaluationCall ask) {
        boolean isTracking = !ask.request().isShareable;
        boolean isAnswer = status / 100 == 2 && (isTracking || status == 200)
                || status == 400 || status == 401 || status == 403 || status == 404 && ask.request().flag != null;
        if (!isAnswer) {
            return status == 429 ? Pick.PUSHED_BACK : Pick.ERROR;
        }
        try {
            return ask.responseReceived(appliance, status, Arrays.copyOf(body, length));
        } catch (Malformed e) {
            reportMalformed(e);
            return Pick.ERROR;
        }
    }

    /**
     * Parses a Retry-After value, in seconds or as a date, to tenths of a millisecond from now; 0 if it is neither. A
     * date is compared with the server's Date header if present, as this machine's clock may have been stepped.
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
