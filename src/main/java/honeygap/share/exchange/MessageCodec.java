package honeygap.share.exchange;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import honeygap.read.Fields;
import honeygap.read.Malformed;
import honeygap.share.table.Entry;
import honeygap.share.table.DigestEntry;
import honeygap.share.table.Delta;
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
            for (Map.Entry<String, Message.TableSection> part : message.sections().entrySet()) {
                out.writeObjectFieldStart(part.getKey());
                out.writeArrayFieldStart("digest");
                for (DigestEntry entry : part.getValue().digest()) {
                    out.writeStartArray();
                    out.writeString(entry.owner());
                    out.writeString(Long.toString(entry.generation()));
                    out.writeString(Long.toString(entry.highestSequence()));
                    out.writeEndArray();
                }
                out.writeEndArray();
                out.writeArrayFieldStart("parcels");
                for (Delta delta : part.getValue().deltas()) {
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
        for (Delta.AgedEntry aged : delta.entries()) {
            Entry entry = aged.entry();
            out.writeStartArray();
            out.writeString(entry.name());
            out.writeString(Long.toString(entry.sequence()));
            out.writeNumber(entry.ttl());
            out.writeNumber(aged.age());
            out.writeString(entry.value());
            out.writeEndArray();
        }
        out.writeEndArray();
        out.writeEndObject();
    }

    public static Message read(byte[] body) throws Malformed {
        try (JsonParser parser = JSON.createParser(body)) {
            Fields fields = Fields.document(parser);
            Message message = new Message(fields.text("from"), fields.index("version"),
                    Message.of("").sections());
            Fields tables = fields.part("tables");
            for (String name : tables.names()) {
                Fields section = tables.object(name);
                List<DigestEntry> digest = new ArrayList<>();
                for (Object item : listField(section, name, "digest")) {
                    List<?> values = requireRow(item, 3, name + ".digest");
                    digest.add(new DigestEntry(textAt(values, 0, name + ".digest"),
                            nonNegativeAt(values, 1, name + ".digest"),
                            nonNegativeAt(values, 2, name + ".digest")));
                }
                List<Delta> deltas = new ArrayList<>();
                for (Fields delta : section.has("parcels") ? section.objects("parcels") : List.<Fields>of()) {
                    deltas.add(delta(delta, name + ".parcels"));
                }
                message.sections().put(name, new Message.TableSection(digest, deltas));
            }
            return message;
        } catch (IOException e) {
            throw new Malformed("not JSON");
        }
    }

    private static Delta delta(Fields delta, String place) throws Malformed {
        List<Delta.AgedEntry> entries = new ArrayList<>();
        long last = 0;
        for (Object item : listField(delta, place, "entries")) {
            List<?> values = requireRow(item, 5, place);
            Entry entry = new Entry(textAt(values, 0, place), nonNegativeAt(values, 1, place),
                    nonNegativeAt(values, 2, place),
                    values.get(4) == null ? null : textAt(values, 4, place));
            if (entry.sequence() <= last) {
                throw new Malformed(place + ": sequence numbers are not increasing");
            }
            last = entry.sequence();
            entries.add(new Delta.AgedEntry(entry, nonNegativeAt(values, 3, place)));
        }
        try {
            return new Delta(delta.text("owner"), Long.parseLong(delta.text("generation")),
                    Long.parseLong(delta.text("from")), entries);
        } catch (NumberFormatException e) {
            throw new Malformed(place + ": generation or from is not an integer");
        }
    }

    private static List<?> listField(Fields fields, String place, String name) throws Malformed {
        Object list = fields.value(name);
        if (list != null && !(list instanceof List)) {
            throw new Malformed(place + "." + name + ": not a list");
        }
        return list == null ? List.of() : (List<?>) list;
    }

    private static List<?> requireRow(Object value, int minSize, String place) throws Malformed {
        if (!(value instanceof List<?> values) || values.size() < minSize) {
            throw new Malformed(place + ": expected an array with a minimum length of " + minSize);
        }
        return values;
    }

    private static String textAt(List<?> values, int index, String place) throws Malformed {
        if (!(values.get(index) instanceof String text)) {
            throw new Malformed(place + ": expected a string at array index " + index + " of an item");
        }
        return text;
    }

    /** Reads a non-negative integer, written as a string or as a number. */
    private static long nonNegativeAt(List<?> values, int index, String place) throws Malformed {
        Object value = values.get(index);
        try {
            long number = value instanceof Long integer ? integer : Long.parseLong(String.valueOf(value));
            if (number >= 0) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Falls through to the error below.
        }
        throw new Malformed(place + ": expected a non-negative integer at array index " + index + " of an item");
    }
}
