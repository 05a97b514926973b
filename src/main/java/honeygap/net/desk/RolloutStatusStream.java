package honeygap.net.desk;

import honeygap.net.Counters;
import honeygap.net.Loop;
import honeygap.net.http.ResponseStream;
import honeygap.config.Malformed;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** Subscribes to the rollout status that the release desk streams; reconnects whenever the stream ends. */
public final class RolloutStatusStream implements Counters.Group {

    private final Loop loop;
    private final RolloutStatusParser statusParser;
    private InetSocketAddress address;
    private final long silenceTimeout;
    private final long seed;
    private String eventType = "";
    private Runnable pendingUpdate;
    private ResponseStream stream;
    private Loop.Timer reconnectTimer;
    private long failures;
    private long unreadableLines;

    /**
     * The stream fails after the timeout, in tenths of a millisecond, without any data. It is reopened after a random
     * delay of at most a quarter of the timeout.
     */
    public RolloutStatusStream(Loop loop, RolloutStatusParser statusParser, InetSocketAddress address, long silenceTimeout,
            long seed) {
        this.loop = loop;
        this.statusParser = statusParser;
        this.address = address;
        this.silenceTimeout = silenceTimeout;
        this.seed = seed;
    }

    /** Opens the stream. */
    public void connect() {
        eventType = "";
        pendingUpdate = null;
        stream = new ResponseStream(loop, address, "/bulletin", silenceTimeout, silenceTimeout, this::readLine, end -> {
            failures++;
            reconnectTimer = loop.schedule(loop.now() + (long) (jitter() * silenceTimeout / 4), this::connect);
        });
    }

    /** Switches the stream to another address. */
    public void changeAddress(InetSocketAddress address) {
        this.address = address;
        if (stream == null) {
            return;    // Not connected yet: the configuration may be reloaded while the agent starts.
        }
        stream.close();
        if (reconnectTimer != null) {
            reconnectTimer.cancel();
        }
        connect();
    }

    /** A pseudo-random number in [0, 1) that differs for each seed and reconnect. */
    private double jitter() {
        CRC32 crc = new CRC32();
        crc.update(ByteBuffer.allocate(16).putLong(seed).putLong(failures).array());
        return crc.getValue() / 4294967296.0;
    }

    /**
     * Parses a line of the event stream. An event takes effect only at the empty line that ends it, so one that is
     * cut off by the end of the stream is ignored. A malformed line ends the stream; the next stream begins with the
     * current status.
     */
    private void readLine(byte[] bytes, int length) throws Malformed {
        String text = new String(bytes, 0, length, StandardCharsets.UTF_8);
        try {
            if (text.isEmpty()) {
                if (pendingUpdate != null) {
                    loop.defer(pendingUpdate);
                }
                eventType = "";
                pendingUpdate = null;
            } else if (text.startsWith("event:")) {
                eventType = text.substring(6).strip();
            } else if (text.startsWith("data:")) {
                pendingUpdate = parseEvent(text.substring(5).strip());
            } else if (text.charAt(0) != ':') {
                throw new Malformed("malformed line in the event stream");
            }
        } catch (Malformed e) {
            unreadableLines++;
            throw e;
        }
    }

    private Runnable parseEvent(String form) throws Malformed {
        switch (eventType) {
            case "progress":
                return statusParser.parseProgress(form);
            case "metrics":
                return statusParser.parseMetrics(form);
            default:
                return null;
        }
    }

    @Override
    public void report(Counters counters) {
        counters.count("ended", failures);
        counters.count("unreadable", unreadableLines);
    }
}
