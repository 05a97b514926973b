package honeygap.share.exchange;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import honeygap.read.Fields;
import honeygap.read.Malformed;
import honeygap.share.table.Entry;
import honeygap.share.table.Known;
import honeygap.share.table.Parcel;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Messages as JSON. A line of a digest is a list of owner, generation and count; an entry is one of name, count, time to
 * hold, age and value. Generations and counts are text, since some readers' numbers hold fewer bits. Fields with other
 * names are passed over, also in a newer version of the form; what is of another type is a fault with its place.
 */
public final class Form {

    private static final JsonFactory JSON = new JsonFactory();

    private Form() {
    }

    public static byte[] write(Message message) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(1024);
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            out.writeStartObject();
            out.writeNumberField("version", message.version());
            out.writeStringField("from", message.from());
            out.writeObjectFieldStart("tables");
            for (Map.Entry<String, Message.Part> part : message.parts().entrySet()) {
                out.writeObjectFieldStart(part.getKey());
                out.writeArrayFieldStart("digest");
                for (Known line : part.getValue().digest()) {
                    out.writeStartArray();
                    out.writeString(line.owner());
                    out.writeString(Long.toString(line.generation()));
                    out.writeString(Long.toString(line.highest()));
                    out.writeEndArray();
                }
                out.writeEndArray();
                out.writeArrayFieldStart("parcels");
                for (Parcel parcel : part.getValue().parcels()) {
                    parcel(out, parcel);
                }
                out.writeEndArray();
                out.writeEndObject();
            }
            out.writeEndObject();
            out.writeEndObject();
        }
        return bytes.toByteArray();
    }

    private static void parcel(JsonGenerator out, Parcel parcel) throws IOException {
        out.writeStartObject();
        out.writeStringField("owner", parcel.owner());
        out.writeStringField("generation", Long.toString(parcel.generation()));
        out.writeStringField("from", Long.toString(parcel.from()));
        out.writeArrayFieldStart("entries");
        for (Parcel.Aged aged : parcel.entries()) {
            Entry entry = aged.entry();
            out.writeStartArray();
            out.writeString(entry.name());
            out.writeString(Long.toString(entry.counter()));
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
                    Message.of("").parts());
            Fields tables = fields.part("tables");
            for (String name : tables.names()) {
                Fields part = tables.object(name);
                List<Known> digest = new ArrayList<>();
                for (Object line : list(part, name, "digest")) {
                    List<?> values = row(line, 3, name + ".digest");
                    digest.add(new Known(text(values, 0, name + ".digest"), whole(values, 1, name + ".digest"),
                            whole(values, 2, name + ".digest")));
                }
                List<Parcel> parcels = new ArrayList<>();
                for (Fields parcel : part.has("parcels") ? part.objects("parcels") : List.<Fields>of()) {
                    parcels.add(parcel(parcel, name + ".parcels"));
                }
                message.parts().put(name, new Message.Part(digest, parcels));
            }
            return message;
        } catch (IOException e) {
            throw new Malformed("not JSON");
        }
    }

    private static Parcel parcel(Fields parcel, String place) throws Malformed {
        List<Parcel.Aged> entries = new ArrayList<>();
        long last = 0;
        for (Object row : list(parcel, place, "entries")) {
            List<?> values = row(row, 5, place);
            Entry entry = new Entry(text(values, 0, place), whole(values, 1, place), whole(values, 2, place),
                    values.get(4) == null ? null : text(values, 4, place));
            if (entry.counter() <= last) {
                throw new Malformed(place + ": counts that do not rise");
            }
            last = entry.counter();
            entries.add(new Parcel.Aged(entry, whole(values, 3, place)));
        }
        try {
            return new Parcel(parcel.text("owner"), Long.parseLong(parcel.text("generation")),
                    Long.parseLong(parcel.text("from")), entries);
        } catch (NumberFormatException e) {
            throw new Malformed(place + ": generation or from is not a whole number");
        }
    }

    private static List<?> list(Fields fields, String place, String name) throws Malformed {
        Object value = fields.value(name);
        if (value != null && !(value instanceof List)) {
            throw new Malformed(place + "." + name + ": not a list");
        }
        return value == null ? List.of() : (List<?>) value;
    }

    private static List<?> row(Object row, int least, String place) throws Malformed {
        if (!(row instanceof List<?> values) || values.size() < least) {
            throw new Malformed(place + ": a row that is no list of " + least);
        }
        return values;
    }

    private static String text(List<?> row, int at, String place) throws Malformed {
        if (!(row.get(at) instanceof String text)) {
            throw new Malformed(place + ": text expected at place " + at + " of a row");
        }
        return text;
    }

    /** A whole number, not negative, as text or as a number. */
    private static long whole(List<?> row, int at, String place) throws Malformed {
        Object value = row.get(at);
        try {
            long whole = value instanceof Long number ? number : Long.parseLong(String.valueOf(value));
            if (whole >= 0) {
                return whole;
            }
        } catch (NumberFormatException e) {
            // Told below.
        }
        throw new Malformed(place + ": a whole number expected at place " + at + " of a row");
    }
}
