package honeygap.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A parsed JSON object. Reading a field that is missing or has another type throws {@link Malformed}. */
public final class JsonObject {

    /** Nanoseconds (the unit on the simulator's wire) per tenth of a millisecond (the unit of the decision code). */
    public static final long NANOS_PER_TENTH_MS = 100_000;

    private final Map<String, Object> values = new LinkedHashMap<>();
    /** The enclosing object, null at the top level. */
    private final JsonObject parent;
    private final String name;
    /** Position in the enclosing array, negative if this object is not in an array. */
    private final int arrayIndex;

    /** Creates an empty top-level object. */
    public JsonObject() {
        this(null, "", -1);
    }

    private JsonObject(JsonObject parent, String name, int arrayIndex) {
        this.parent = parent;
        this.name = name;
        this.arrayIndex = arrayIndex;
    }

    /** Reads an object whose start token the parser has just consumed. */
    public static JsonObject read(JsonParser parser) throws IOException {
        return read(parser, new JsonObject(null, "", -1));
    }

    private static JsonObject read(JsonParser parser, JsonObject object) throws IOException {
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            object.values.put(name, value(parser, object, name, -1));
        }
        return object;
    }

    /** Parses a whole document, which has to be an object. */
    public static JsonObject parse(JsonParser parser) throws IOException, Malformed {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new Malformed("not an object");
        }
        return read(parser);
    }

    private static Object value(JsonParser parser, JsonObject parent, String name, int arrayIndex) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT:
                return read(parser, new JsonObject(parent, name, arrayIndex));
            case START_ARRAY:
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(parser, parent, name, list.size()));
                }
                return list;
            case VALUE_STRING:
                return parser.getText();
            case VALUE_NUMBER_INT:
                return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? parser.getBigIntegerValue().longValue() : parser.getLongValue();
            case VALUE_NUMBER_FLOAT:
                return parser.getDoubleValue();
            case VALUE_TRUE:
                return true;
            case VALUE_FALSE:
                return false;
            default:
                return null;
        }
    }

    /** The names of all fields in document order. */
    public Set<String> names() {
        return values.keySet();
    }

    /** The value of a field: a string, number, boolean, list, {@link JsonObject} or null. */
    public Object value(String name) {
        return values.get(name);
    }

    public boolean has(String name) {
        return values.get(name) != null;
    }

    public long longValue(String name) throws Malformed {
        return get(name, Long.class, "a whole number");
    }

    public long longValue(String name, long ifAbsent) throws Malformed {
        return has(name) ? longValue(name) : ifAbsent;
    }

    /** A non-negative integer that fits an {@code int}. */
    public int intValue(String name) throws Malformed {
        return toInt(name, longValue(name));
    }

    public int intValue(String name, int ifAbsent) throws Malformed {
        return has(name) ? intValue(name) : ifAbsent;
    }

    /** A time or duration in nanoseconds, rounded down to tenths of a millisecond. */
    public long tenthsOfMs(String name) throws Malformed {
        return Math.floorDiv(longValue(name), NANOS_PER_TENTH_MS);
    }

    public long tenthsOfMs(String name, long ifAbsent) throws Malformed {
        return has(name) ? tenthsOfMs(name) : ifAbsent;
    }

    public double doubleValue(String name) throws Malformed {
        return get(name, Number.class, "a number").doubleValue();
    }

    public double doubleValue(String name, double ifAbsent) throws Malformed {
        return has(name) ? doubleValue(name) : ifAbsent;
    }

    /** A non-negative integer that may be written as a decimal number, such as 3.0. */
    public int roundedInt(String name) throws Malformed {
        return toInt(name, Math.round(doubleValue(name)));
    }

    public boolean bool(String name) throws Malformed {
        return get(name, Boolean.class, "true or false");
    }

    public boolean bool(String name, boolean ifAbsent) throws Malformed {
        return has(name) ? bool(name) : ifAbsent;
    }

    public String text(String name) throws Malformed {
        return get(name, String.class, "a string");
    }

    public String text(String name, String ifAbsent) throws Malformed {
        return has(name) ? text(name) : ifAbsent;
    }

    public JsonObject object(String name) throws Malformed {
        return get(name, JsonObject.class, "an object");
    }

    /** An optional object; empty if absent. */
    public JsonObject objectOrEmpty(String name) throws Malformed {
        return has(name) ? object(name) : new JsonObject(this, name, -1);
    }

    /** An exception whose message gives the full path of the field. */
    public Malformed error(String name, String problem) {
        return new Malformed("field " + path() + name + " " + problem);
    }

    private String path() {
        return parent == null ? "" : parent.path() + name + (arrayIndex < 0 ? "" : "[" + arrayIndex + "]") + ".";
    }

    /** A duration in nanoseconds, converted to tenths of a millisecond, that has to be positive. */
    public long positiveTenthsOfMs(String name) throws Malformed {
        long tenths = tenthsOfMs(name);
        if (tenths <= 0) {
            throw error(name, "is not a positive duration: " + longValue(name));
        }
        return tenths;
    }

    public List<JsonObject> objects(String name) throws Malformed {
        List<JsonObject> objects = new ArrayList<>();
        for (Object value : get(name, List.class, "a list")) {
            if (!(value instanceof JsonObject fields)) {
                throw error(name, "holds something other than objects");
            }
            objects.add(fields);
        }
        return objects;
    }

    public double[] numbers(String name) throws Malformed {
        List<?> list = get(name, List.class, "a list");
        double[] numbers = new double[list.size()];
        for (int i = 0; i < numbers.length; i++) {
            if (!(list.get(i) instanceof Number number)) {
                throw error(name, "holds something other than numbers");
            }
            numbers[i] = number.doubleValue();
        }
        return numbers;
    }

    /** A numeric IP address and port; host names are not looked up. */
    public InetSocketAddress address(String name) throws Malformed {
        String text = text(name);
        int colon = text.lastIndexOf(':');
        if (colon > 0 && text.substring(0, colon).matches("[0-9.]+|\\[?[0-9a-fA-F:]+]?")) {
            try {
                return new InetSocketAddress(text.substring(0, colon),
                        Integer.parseInt(text.substring(colon + 1)));
            } catch (IllegalArgumentException e) {
                throw error(name, "is not an address: " + text);
            }
        }
        throw error(name, "is not an address: " + text);
    }

    private <T> T get(String name, Class<T> type, String expected) throws Malformed {
        Object value = values.get(name);
        if (value == null) {
            throw error(name, "is missing");
        }
        if (!type.isInstance(value)) {
            throw error(name, "is not " + expected);
        }
        return type.cast(value);
    }

    private int toInt(String name, long value) throws Malformed {
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw error(name, "is out of range: " + value);
        }
        return (int) value;
    }
}
