package honeygap.read;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A form that an operator has filled in, read field by field. What is wrong does not end the reading: every
 * fault is noted with its path, the type or unit expected and what stands there, and something harmless is
 * read instead; {@link #noted} says in the end whether any of it may be used.
 */
public final class Sheet {

    private static final Pattern DURATION = Pattern.compile("([0-9]{1,9})(\\.[0-9])?(ms|s|m|h)");
    private static final InetSocketAddress NOWHERE = new InetSocketAddress(0);

    private final Fields fields;
    private final String path;
    private final List<String> faults;
    private final Set<String> read = new LinkedHashSet<>();

    /** The whole of a form. */
    public Sheet(Fields fields) {
        this(fields, "", new ArrayList<>());
    }

    private Sheet(Fields fields, String path, List<String> faults) {
        this.fields = fields;
        this.path = path;
        this.faults = faults;
    }

    /** All that was found wrong in the whole form so far, a line each. */
    public List<String> noted() {
        return faults;
    }

    /** Ends the reading of this part: notes fields that nobody has asked for. */
    public void end() {
        for (String name : fields.names()) {
            if (!read.contains(name)) {
                faults.add(path + name + ": nothing goes by this name; known here: " + String.join(", ", read));
            }
        }
    }

    /** Notes that a field holds what it must not. */
    public void fault(String name, String wanted) {
        Object there = fields.value(name);
        faults.add(path + name + ": " + wanted + " expected, " + (there == null ? "nothing"
                : there instanceof Fields ? "an object" : there instanceof List ? "a list"
                : there instanceof String ? '"' + there.toString() + '"' : there.toString()) + " found");
    }

    public boolean has(String name) {
        read.add(name);
        return fields.has(name);
    }

    public String text(String name, String ifAbsent) {
        return has(name) ? or(name, () -> fields.text(name), "", "text") : absent(name, ifAbsent, "text");
    }

    public boolean flag(String name, boolean ifAbsent) {
        return has(name) ? or(name, () -> fields.flag(name), ifAbsent, "true or false") : ifAbsent;
    }

    /** One of some words; the first where the field is absent. */
    public String word(String name, String... words) {
        String word = text(name, words[0]);
        if (!List.of(words).contains(word)) {
            fault(name, "one of " + String.join(", ", words));
            return words[0];
        }
        return word;
    }

    public long whole(String name, long ifAbsent, long least, long most) {
        if (!has(name)) {
            return ifAbsent;
        }
        String wanted = "a whole number from " + least + " to " + most;
        Object there = fields.value(name);
        // Templates write whole numbers with a fraction of zero at times.
        if (there instanceof Number number && number.doubleValue() == Math.rint(number.doubleValue())
                && number.doubleValue() >= least && number.doubleValue() <= most) {
            return number.longValue();
        }
        fault(name, wanted);
        return least;
    }

    public double number(String name, double ifAbsent, double least, double most) {
        if (!has(name)) {
            return ifAbsent;
        }
        if (fields.value(name) instanceof Number number && number.doubleValue() >= least
                && number.doubleValue() <= most) {
            return number.doubleValue();
        }
        fault(name, "a number from " + least + " to " + most);
        return least;
    }

    public double[] numbers(String name, double[] ifAbsent, double least, double most) {
        if (!has(name)) {
            return ifAbsent;
        }
        try {
            double[] numbers = fields.numbers(name);
            for (double number : numbers) {
                if (!(number >= least && number <= most)) {
                    throw new Malformed("out of range");
                }
            }
            return numbers;
        } catch (Malformed e) {
            fault(name, "a list of numbers from " + least + " to " + most);
            return ifAbsent;
        }
    }

    /** A time such as 250ms, 1.5s, 2m or 1h, in tenths of a millisecond. */
    public long duration(String name, String ifAbsent) {
        String words = has(name) ? fields.value(name).toString() : ifAbsent;
        Matcher matcher = DURATION.matcher(words);
        if (!matcher.matches() || has(name) && !(fields.value(name) instanceof String)) {
            fault(name, "a time with its unit, such as \"250ms\", \"1.5s\", \"2m\" or \"1h\",");
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

    /** An address in figures and a port. */
    public InetSocketAddress address(String name) {
        return has(name) ? or(name, () -> fields.address(name), NOWHERE, "an address such as \"127.0.0.1:8016\"")
                : absent(name, null, "an address such as \"127.0.0.1:8016\"");
    }

    /** An object, empty where it is absent; goes on with the faults of this one. */
    public Sheet part(String name) {
        Fields part = has(name) ? or(name, () -> fields.object(name), null, "an object") : null;
        return new Sheet(part == null ? new Fields() : part, path + name + ".", faults);
    }

    public List<Sheet> parts(String name) {
        List<Sheet> parts = new ArrayList<>();
        if (has(name)) {
            List<Fields> all = or(name, () -> fields.objects(name), List.of(), "a list of objects");
            for (int i = 0; i < all.size(); i++) {
                parts.add(new Sheet(all.get(i), path + name + "[" + i + "].", faults));
            }
        }
        return parts;
    }

    /** All fields of a part whose names are the operator's own, each as text. */
    public void each(java.util.function.BiConsumer<String, String> fields) {
        for (String name : this.fields.names()) {
            read.add(name);
            Object there = this.fields.value(name);
            if (there instanceof String || there instanceof Number || there instanceof Boolean) {
                boolean isWhole = there instanceof Double number && number == Math.rint(number);
                fields.accept(name, isWhole ? Long.toString(((Double) there).longValue()) : there.toString());
            } else {
                fault(name, "text or a number");
            }
        }
    }

    private interface Reading<T> {

        T read() throws Malformed;
    }

    private <T> T or(String name, Reading<T> reading, T otherwise, String wanted) {
        try {
            return reading.read();
        } catch (Malformed e) {
            fault(name, wanted);
            return otherwise;
        }
    }

    private <T> T absent(String name, T ifAbsent, String wanted) {
        if (ifAbsent == null) {
            fault(name, wanted);
        }
        return ifAbsent;
    }
}
