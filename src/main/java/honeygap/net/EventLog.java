package honeygap.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Map;
import org.tinylog.Logger;
import org.tinylog.ThreadContext;

/**
 * Structured log events: a readable line, and the ids as separate fields if the log is written as JSON. Ids are those
 * of an agent, an RPC, a pick (its index, from 0) and an appliance.
 */
public final class EventLog {

    /** The log field that holds counters, as JSON. */
    public static final String COUNTERS = "counters";

    private static final JsonFactory JSON = new JsonFactory();

    private EventLog() {
    }

    /** Sets the agent's name for all log events of this thread and of threads that it starts later. */
    public static void setAgent(String name) {
        ThreadContext.put("agent", name);
    }

    public static void logCounters(Counters counters) {
        ThreadContext.put(COUNTERS, json(counters));
        try {
            Logger.info("counters {}", counters);
        } finally {
            ThreadContext.remove(COUNTERS);
        }
    }

    /** Logs a problem with a single pick. Not for events that occur with every RPC. */
    public static void logPick(String rpc, int pick, long appliance, String message) {
        ThreadContext.put("rpc", rpc);
        ThreadContext.put("pick", String.valueOf(pick));
        ThreadContext.put("appliance", String.valueOf(appliance));
        try {
            Logger.warn("RPC {}, pick {}, appliance {}: {}", rpc, pick, appliance, message);
        } finally {
            ThreadContext.remove("rpc");
            ThreadContext.remove("pick");
            ThreadContext.remove("appliance");
        }
    }

    /**
     * Logs that an RPC was refused or failed, with the reason; the appliance is that of its last pick, or -1 if it
     * had none.
     */
    public static void logAbandonedRpc(String rpc, String method, String reason, long appliance, long leftMs,
            String detail) {
        Map<String, String> fields = Map.of("event", "given up", "rpc", rpc, "method", method, "reason", reason,
                "appliance", String.valueOf(appliance), "left_ms", String.valueOf(leftMs));
        fields.forEach(ThreadContext::put);
        try {
            Logger.info("RPC {} ({}) given up: {}, last pick at appliance {}, {} ms left; {}",
                    rpc, method, reason, appliance, leftMs, detail);
        } finally {
            fields.keySet().forEach(ThreadContext::remove);
        }
    }

    private static String json(Counters counters) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            for (Map.Entry<String, Map<String, Long>> group : counters.groups().entrySet()) {
                out.writeObjectFieldStart(group.getKey());
                for (Map.Entry<String, Long> counter : group.getValue().entrySet()) {
                    out.writeNumberField(counter.getKey(), counter.getValue());
                }
                out.writeEndObject();
            }
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }
}
