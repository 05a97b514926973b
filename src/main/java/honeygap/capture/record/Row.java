package honeygap.capture.record;

import honeygap.capture.message.Spoken;
import java.util.List;
import java.util.function.Function;
import org.apache.commons.codec.digest.MurmurHash3;

/** The columns of a row an RPC, the same in every form: a name, a type, and what stands there. */
public final class Row {

    /** One column; its values are text or whole numbers. */
    public record Column(String name, boolean isText, Function<Spoken, Object> value) { }

    public static final List<Column> COLUMNS = List.of(
            new Column("protocol", true, spoken -> spoken.protocol),
            new Column("connection", false, spoken -> spoken.connection),
            new Column("client", true, spoken -> spoken.client.toString()),
            new Column("server", true, spoken -> spoken.server.toString()),
            new Column("at_ns", false, spoken -> spoken.at),
            new Column("took_ns", false, spoken -> spoken.took),
            new Column("method", true, spoken -> spoken.method),
            new Column("id", true, spoken -> spoken.id),
            new Column("tenant", true, spoken -> spoken.tenant),
            new Column("key_hash", true, spoken -> hash(spoken.key)),
            new Column("outcome", true, spoken -> spoken.outcome.name()),
            new Column("code", true, spoken -> spoken.code),
            new Column("deadline_ms", false, spoken -> spoken.deadlineMs),
            new Column("request_bytes", false, spoken -> (long) spoken.request.length),
            new Column("answer_bytes", false, spoken -> (long) spoken.answer.length));

    private Row() {
    }

    /** Keys themselves stay in the capture; a hash tells which are the same. */
    private static String hash(String key) {
        if (key.isEmpty()) {
            return "";
        }
        byte[] bytes = key.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        return String.format("%016x", MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0]);
    }
}
