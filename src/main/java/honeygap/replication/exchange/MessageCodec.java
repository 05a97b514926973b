package honeygap.replication.exchange;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import honeygap.config.JsonObject;
import honeygap.config.Malformed;
import honeygap.replication.table.Entry;
import honeygap.replication.table.DigestEntry;
import honeygap.replication.table.Delta;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Encodes messages as JSON and decodes them. A digest item is an array of owner, generation and highest sequence
 * number; an entry is an array of name, sequence number, TTL, age and value. Generations and sequence numbers are
 * written as strings, because some JSON parsers cannot hold 64-bit integers. Unknown fields are ignored, so that
 * newer format versions stay readable; a value of the wrong type is an error that names its location.
 */
public final class MessageCodec {

    private static final JsonFactory JSON = new JsonFactory();

    private MessageCodec() {
    }

    public static byte[] write(Message message) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(1024);
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            out.writeStartObject();
            out.writeNumberField("version", message.version());
            out.writeStringField("from", message.from());
            out.writeObjectFieldStart("tables");
            for (Map.Entry<String, Message.TableSection> section : message.sections().entrySet()) {
                out.writeObjectFieldStart(section.getKey());
                out.writeArrayFieldStart("digest");
                for (DigestEntry entry : section.getValue().digest()) {
                    out.writeStartArray();
                    out.writeString(entry.owner());
                    out.writeString(Long.toString(entry.generation()));
                    out.writeString(Long.toString(entry.highestSequence()));
                    out.writeEndArray();
                }
                out.writeEndArray();
                out.writeArrayFieldStart("parcels");
                for (Delta delta : section.getValue().deltas()) {
                    delta(out, delta);
                }
                out.writeEndArray();
                out.writeEndObject();
            }
            out.writeEndObject();
            out.writeEndObject();
        }
        return bytes.toByteArray();
    }

    private static void delta(JsonGenerator out, Delta delta) throws IOException {
        out.writeStartObject();
        out.writeStringField("owner", delta.owner());
        out.writeStringField("generation", Long.toString(delta.generation()));
        out.writeStringField("from", Long.toString(delta.afterSequence()));
        out.writeArrayFieldStart("entries");
        for (Delta.AgedEntry agedEntry : delta.entries()) {
            Entry entry = agedEntry.entry();
            out.writeStartArray();
            out.writeString(entry.name());
            out.writeString(Long.toString(entry.sequence()));
            out.writeNumber(entry.ttl());
            out.writeNumber(agedEntry.age());
            out.writeString(entry.value());
            out.writeEndArray();
        }
        out.writeEndArray();
        out.writeEndObject();
    }

    public static Message read(byte[] body) throws Malformed {
        try (JsonParser parser = JSON.createParser(body)) {
            JsonObject fields = JsonObject.parse(parser);
            Message message = new Message(fields.text("from"), fields.intValue("version"),
                    Message.of("").sections());
            JsonObject tables = fields.objectOrEmpty("tables");
            for (String name : tables.names()) {
                JsonObject section = tables.object(name);
                List<DigestEntry> digest = new ArrayList<>();
                for (Object item : listField(section, name, "digest")) {
                    List<?> values = requireArray(item, 3, name + ".digest");
                    digest.add(new DigestEntry(textAt(values, 0, name + ".digest"),
                            nonNegativeAt(values, 1, name + ".digest"),
                            nonNegativeAt(values, 2, name + ".digest")));
                }
                List<Delta> deltas = new ArrayList<>();
                for (JsonObject delta : section.has("parcels") ? section.objects("parcels") : List.<JsonObject>of()) {
                    deltas.add(delta(delta, name + ".parcels"));
                }
                message.sections().put(name, new Message.TableSection(digest, deltas));
            }
            return message;
        } catch (IOException e) {
            throw new Malformed("not JSON");
        }
    }

    private static Delta delta(JsonObject delta, String location) throws Malformed {
        List<Delta.AgedEntry> entries = new ArrayList<>();
        long lastSequence = 0;
        for (Object item : listField(delta, location, "entries")) {
            List<?> values = requireArray(item, 5, location);
            Entry entry = new Entry(textAt(values, 0, location), nonNegativeAt(values, 1, location),
                    nonNegativeAt(values, 2, location),
                    values.get(4) == null ? null : textAt(values, 4, location));
            if (entry.sequence() <= lastSequence) {
                throw new Malformed(location + ": counts that do not rise");
            }
            lastSequence = entry.sequence();
            entries.add(new Delta.AgedEntry(entry, nonNegativeAt(values, 3, location)));
        }
        try {
            return new Delta(delta.text("owner"), Long.parseLong(delta.text("generation")),
                    Long.parseLong(delta.text("from")), entries);
        } catch (NumberFormatException e) {
            throw new Malformed(location + ": generation or from is not a whole number");
        }
    }

    private static List<?> listField(JsonObject fields, String location, String name) throws Malformed {
        Object list = fields.value(name);
        if (list != null && !(list instanceof List)) {
            throw new Malformed(location + "." + name + ": not a list");
        }
        return list == null ? List.of() : (List<?>) list;
    }

    private static List<?> requireArray(Object value, int minSize, String location) throws Malformed {
        if (!(value instanceof List<?> values) || values.size() < minSize) {
            throw new Malformed(location + ": a row that is no list of " + minSize);
        }
        return values;
    }

    private static String textAt(List<?> values, int index, String location) throws Malformed {
        if (!(values.get(index) instanceof String text)) {
            throw new Malformed(location + ": text expected at place " + index + " of a row");
        }
        return text;
    }

    /** Reads a non-negative integer, written as a string or as a number. */
    private static long nonNegativeAt(List<?> values, int index, String location) throws Malformed {
        Object value = values.get(index);
        try {
            long number = value instanceof Long integer ? integer : Long.parseLong(String.valueOf(value));
            if (number >= 0) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Falls through to the error below.
        }
        throw new Malformed(location + ": a whole number expected at place " + index + " of a row");
    }
}
