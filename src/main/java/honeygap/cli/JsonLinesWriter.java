package honeygap.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import honeygap.net.EventLog;
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
 * Log writer with one JSON object per line: time (RFC 3339, UTC), level, class, message, the ids of the logging
 * context, and the class and message of the exception, if any. The logging library creates it by its
 * name, "json lines".
 */
public final class JsonLinesWriter implements Writer {

    private final JsonFactory jsonFactory = new JsonFactory();
    private final PrintStream out = System.out;

    /** Called by the logging library with the writer's properties, none of which is used. */
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
        try (JsonGenerator generator = jsonFactory.createGenerator(line)) {
            generator.writeStartObject();
            generator.writeStringField("time", entry.getTimestamp().toInstant().toString());
            generator.writeStringField("level", entry.getLevel().name());
            String className = entry.getClassName();
            generator.writeStringField("class", className.substring(className.lastIndexOf('.') + 1));
            boolean hasCounters = entry.getContext() != null && entry.getContext().containsKey(EventLog.COUNTERS);
            generator.writeStringField("message", hasCounters ? "counters" : entry.getMessage());
            if (entry.getContext() != null) {
                for (Map.Entry<String, String> contextEntry : entry.getContext().entrySet()) {
                    generator.writeFieldName(contextEntry.getKey());
                    if (contextEntry.getKey().equals(EventLog.COUNTERS)) {
                        generator.writeRawValue(contextEntry.getValue());
                    } else {
                        generator.writeString(contextEntry.getValue());
                    }
                }
            }
            if (entry.getException() != null) {
                generator.writeStringField("thrown", entry.getException().toString());
            }
            generator.writeEndObject();
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
