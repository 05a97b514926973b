package honeygap.capture.record;

import honeygap.capture.message.RecordedRpc;
import java.util.List;
import java.util.function.Function;
import org.apache.commons.codec.digest.MurmurHash3;

/** The columns of the table of RPCs, the same in every output format. Each row describes one RPC. */
public final class RpcColumns {

    /** A column with text or integer values. */
    public record Column(String name, boolean isText, Function<RecordedRpc, Object> value) { }

    public static final List<Column> COLUMNS = List.of(
            new Column("protocol", true, rpc -> rpc.protocol),
            new Column("connection", false, rpc -> rpc.connection),
            new Column("client", true, rpc -> rpc.client.toString()),
            new Column("server", true, rpc -> rpc.server.toString()),
            new Column("at_ns", false, rpc -> rpc.requestTimeNs),
            new Column("took_ns", false, rpc -> rpc.durationNs),
            new Column("method", true, rpc -> rpc.method),
            new Column("id", true, rpc -> rpc.id),
            new Column("tenant", true, rpc -> rpc.tenant),
            new Column("key_hash", true, rpc -> hashKey(rpc.key)),
            new Column("outcome", true, rpc -> rpc.outcome.name()),
            new Column("code", true, rpc -> rpc.code),
            new Column("deadline_ms", false, rpc -> rpc.deadlineMs),
            new Column("request_bytes", false, rpc -> (long) rpc.request.length),
            new Column("answer_bytes", false, rpc -> (long) rpc.response.length));

    private RpcColumns() {
    }

    /** Exports a hash of the key, which still shows equal keys, so that the keys themselves don't leave the capture. */
    private static String hashKey(String key) {
        if (key.isEmpty()) {
            return "";
        }
        byte[] bytes = key.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        return String.format("%016x", MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0]);
    }
}
