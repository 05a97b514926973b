package honeygap.capture.replay;

import honeygap.capture.message.RecordedRpc;
import honeygap.capture.redact.DataMasker;
import honeygap.net.pg.PgMessages;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Rewrites recorded requests for replay: assigns a new id, replaces the deadline if one is configured, maps
 * idempotency tokens, and optionally masks keys. Equal keys stay equal, and so do equal tokens within a round.
 */
public final class RequestRewriter {

    private final long seed;
    private final long deadlineMs;
    private final DataMasker keyMasker;
    private long idCount;

    /** Creates a rewriter. A deadline of 0 keeps the recorded one; without a masker (null) keys are not changed. */
    public RequestRewriter(long seed, long deadlineMs, DataMasker keyMasker) {
        this.seed = seed;
        this.deadlineMs = deadlineMs;
        this.keyMasker = keyMasker;
    }

    /** Returns the complete message to send, including its length prefix. */
    public ByteBuffer rewrite(RecordedRpc rpc, int round) {
        if (!rpc.protocol.equals("pg")) {
            return ByteBuffer.wrap(rpc.request);
        }
        String text = new String(rpc.request, 5, rpc.request.length - 6, StandardCharsets.ISO_8859_1);
        int comment = text.lastIndexOf("/*");
        int quote = text.indexOf('\'');
        int end = text.indexOf('\'', quote + 1);
        String statement = text.substring(0, quote + 1) + mapKey(text.substring(quote + 1, end))
                + text.substring(end, comment);
        StringBuilder fields = new StringBuilder();
        for (String field : text.substring(comment + 2, text.lastIndexOf("*/")).split(",")) {
            int equals = field.indexOf('=');
            String name = field.substring(0, Math.max(0, equals)).strip();
            String value = field.substring(equals + 1).strip();
            if (name.equals("id")) {
                value = nextId();
            } else if (name.equals("d") && deadlineMs > 0) {
                value = Long.toString(deadlineMs);
            } else if (name.equals("k")) {
                // A token identifies one effect, so each round of the replay needs its own.
                value = mapToken(value, round);
            }
            fields.append(fields.length() > 0 ? "," : "").append(name).append('=').append(value);
        }
        // One character for each byte of the recorded statement, whatever its encoding.
        return PgMessages.query((statement + "/* " + fields + " */").getBytes(StandardCharsets.ISO_8859_1));
    }

    private String nextId() {
        byte[] bytes = ByteBuffer.allocate(16).putLong(seed).putLong(idCount++).array();
        return String.format("%016x", MurmurHash3.hash128x64(bytes, 0, 16, 0)[0]);
    }

    private String mapToken(String value, int round) {
        byte[] bytes = (seed + "/" + round + "/" + value).getBytes(StandardCharsets.UTF_8);
        return String.format("%016x", MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0]);
    }

    private String mapKey(String key) {
        if (keyMasker == null) {
            return key;
        }
        byte[] bytes = key.getBytes(StandardCharsets.ISO_8859_1);
        keyMasker.mask(bytes, 0, bytes.length);
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }
}
