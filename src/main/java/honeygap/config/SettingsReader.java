package honeygap.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads an operator's settings field by field. An invalid field does not stop the reading: the error is recorded
 * with the field's path, the expected type or unit and the value found, and a harmless value is returned instead.
 * The settings may be used only if {@link #errors} is empty at the end.
 */
public final class SettingsReader {

    private static final Pattern DURATION = Pattern.compile("([0-9]{1,9})(\\.[0-9])?(ms|s|m|h)");
    private static final InetSocketAddress PLACEHOLDER_ADDRESS = new InetSocketAddress(0);

    private final JsonObject fields;
    private final String path;
    private final List<String> errors;
    private final Set<String> knownNames = new LinkedHashSet<>();

    /** Creates a reader of the top-level object. */
    public SettingsReader(JsonObject fields) {
        this(fields, "", new ArrayList<>());
    }

    private SettingsReader(JsonObject fields, String path, List<String> errors) {
        this.fields = fields;
        this.path = path;
        this.errors = errors;
    }

    /** All errors found so far in the whole document, one line each. */
    public List<String> errors() {
        return errors;
    }

    /** Reports all fields of this section that were never read, as unknown. Call it last. */
    public void rejectUnknownFields() {
        for (String name : fields.names()) {
            if (!knownNames.contains(name)) {
                errors.add(path + name + ": unknown field; known fields: " + String.join(", ", knownNames));
            }
        }
    }

    /** Records that a field does not have the expected value. */
    public void reportExpected(String name, String expected) {
        Object found = fields.value(name);
        errors.add(path + name + ": " + expected + " expected, " + (found == null ? "nothing"
                : found instanceof JsonObject ? "an object" : found instanceof List ? "a list"
                : found instanceof String ? '"' + found.toString() + '"' : found.toString()) + " found");
    }

    public boolean has(String name) {
        knownNames.add(name);
        return fields.has(name);
    }

    public String text(String name, String ifAbsent) {
        return has(name) ? readOrReport(name, () -> fields.text(name), "", "text") : defaultOrReport(name, ifAbsent, "text");
    }

    public boolean bool(String name, boolean ifAbsent) {
        return has(name) ? readOrReport(name, () -> fields.bool(name), ifAbsent, "true or false") : ifAbsent;
    }

    /** One of several string values; the first is the default. */
    public String choice(String name, String... choices) {
        String value = text(name, choices[0]);
        if (!List.of(choices).contains(value)) {
            reportExpected(name, "one of " + String.join(", ", choices));
            return choices[0];
        }
        return value;
    }

    public long integer(String name, long ifAbsent, long min, long max) {
        if (!has(name)) {
            return ifAbsent;
        }
        String expected = "a whole number from " + min + " to " + max;
        Object value = fields.value(name);
        // Jsonnet may write an integer as a decimal number, such as 3.0.
        if (value instanceof Number number && number.doubleValue() == Math.rint(number.doubleValue())
                && number.doubleValue() >= min && number.doubleValue() <= max) {
            return number.longValue();
        }
        reportExpected(name, expected);
        return min;
    }

    public double number(String name, double ifAbsent, double min, double max) {
        if (!has(name)) {
            return ifAbsent;
        }
        if (fields.value(name) instanceof Number number && number.doubleValue() >= min
                && number.doubleValue() <= max) {
            return number.doubleValue();
        }
        reportExpected(name, "a number from " + min + " to " + max);
        return min;
    }

    public double[] numbers(String name, double[] ifAbsent, double min, double max) {
        if (!has(name)) {
            return ifAbsent;
        }
        try {
            double[] numbers = fields.numbers(name);
            for (double number : numbers) {
                if (!(number >= min && number <= max)) {
                    throw new Malformed("out of range");
                }
            }
            return numbers;
        } catch (Malformed e) {
            reportExpected(name, "a list of numbers from " + min + " to " + max);
            return ifAbsent;
        }
    }

    /** A duration such as 250ms, 1.5s, 2m or 1h, in tenths of a millisecond. */
    public long duration(String name, String ifAbsent) {
        String text = has(name) ? fields.value(name).toString() : ifAbsent;
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches() || has(name) && !(fields.value(name) instanceof String)) {
            reportExpected(name, "a time with its unit, such as \"250ms\", \"1.5s\", \"2m\" or \"1h\",");
            return 1;
        }
        long unit = switch (matcher.group(3)) {
            case "ms" -> 10;
            case "s" -> 10_000;
            case "m" -> 600_000;
            default -> 36_000_000;
        };
        long tenths = matcher.group(2) == null ? 0 : matcher.group(2).charAt(1) - '0';
        return Long.parseLong(matcher.group(1)) * unit + tenths * unit / 10;
    }

    /** A numeric IP address and port; required. */
    public InetSocketAddress address(String name) {
        return has(name) ? readOrReport(name, () -> fields.address(name), PLACEHOLDER_ADDRESS, "an address such as \"127.0.0.1:8016\"")
                : defaultOrReport(name, null, "an address such as \"127.0.0.1:8016\"");
    }

    /** An optional nested object; its errors are added to those of this reader. */
    public SettingsReader section(String name) {
        JsonObject object = has(name) ? readOrReport(name, () -> fields.object(name), null, "an object") : null;
        return new SettingsReader(object == null ? new JsonObject() : object, path + name + ".", errors);
    }

    public List<SettingsReader> sections(String name) {
        List<SettingsReader> sections = new ArrayList<>();
        if (has(name)) {
            List<JsonObject> objects = readOrReport(name, () -> fields.objects(name), List.of(), "a list of objects");
            for (int i = 0; i < objects.size(); i++) {
                sections.add(new SettingsReader(objects.get(i), path + name + "[" + i + "].", errors));
            }
        }
        return sections;
    }

    /** Passes each field of a section with free-form names to the action, with its value as text. */
    public void forEachField(java.util.function.BiConsumer<String, String> action) {
        for (String name : this.fields.names()) {
            knownNames.add(name);
            Object value = this.fields.value(name);
            if (value instanceof String || value instanceof Number || value instanceof Boolean) {
                boolean isWhole = value instanceof Double number && number == Math.rint(number);
                action.accept(name, isWhole ? Long.toString(((Double) value).longValue()) : value.toString());
            } else {
                reportExpected(name, "text or a number");
            }
        }
    }

    private interface ValueReader<T> {

        T read() throws Malformed;
    }

    private <T> T readOrReport(String name, ValueReader<T> reader, T fallback, String expected) {
        try {
            return reader.read();
        } catch (Malformed e) {
            reportExpected(name, expected);
            return fallback;
        }
    }

    private <T> T defaultOrReport(String name, T ifAbsent, String expected) {
        if (ifAbsent == null) {
            reportExpected(name, expected);
        }
        return ifAbsent;
    }
}
