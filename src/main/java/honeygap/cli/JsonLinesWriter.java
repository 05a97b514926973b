package honeygap.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import honeygap.net.Events;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * One event a line as JSON: time (RFC 3339, UTC), level, class, message, the ids of its context, and the class
 * and message of what was thrown. The logging library makes it by its name, "json lines".
 */
public final class JsonLinesWriter implements Writer {

    private final JsonFactory json = new JsonFactory();
    private final PrintStream out = System.out;

    /** The library hands over the properties of its own; none is known here. */
    public JsonLinesWriter(Map<String, String> properties) {
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(LogEntryValue.DATE, LogEntryValue.LEVEL, LogEntryValue.CLASS, LogEntryValue.MESSAGE,
                LogEntryValue.CONTEXT, LogEntryValue.EXCEPTION);
    }

    @Override
    public void write(LogEntry entry) throws IOException {
        StringWriter line = new StringWriter();
        try (JsonGenerator to = json.createGenerator(line)) {
            to.writeStartObject();
            to.writeStringField("time", entry.getTimestamp().toInstant().toString());
            to.writeStringField("level", entry.getLevel().name());
            String name = entry.getClassName();
            to.writeStringField("class", name.substring(name.lastIndexOf('.') + 1));
            boolean counts = entry.getContext() != null && entry.getContext().containsKey(Events.COUNTERS);
            to.writeStringField("message", counts ? "counters" : entry.getMessage());
            if (entry.getContext() != null) {
                for (Map.Entry<String, String> id : entry.getContext().entrySet()) {
                    to.writeFieldName(id.getKey());
                    if (id.getKey().equals(Events.COUNTERS)) {
                        to.writeRawValue(id.getValue());
                    } else {
                        to.writeString(id.getValue());
                    }
                }
            }
            if (entry.getException() != null) {
                to.writeStringField("thrown", entry.getException().toString());
            }
            to.writeEndObject();
        }
        out.println(line);
    }

    @Override
    public void flush() {
        out.flush();
    }

    @Override
    public void close() {
        out.flush();
    }
}
