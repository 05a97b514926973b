package honeygap.standin;

import com.fasterxml.jackson.core.JsonGenerator;
import honeygap.config.JsonObject;
import honeygap.config.Malformed;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * A versioned set of flags of a fake flag server. Each flag has variants, targeting rules on the context, and a
 * percentage split by a hash of flag name and targeting key.
 */
final class FlagSet {

    /** The result of evaluating a flag for a context. A null value means that the caller uses its own default. */
    record Result(String variant, Object value, String reason) { }

    /** Selects a variant for contexts that have all of these field values. */
    private record Rule(JsonObject conditions, String variant) { }

    private static final class Flag {
        JsonObject variants;
        String defaultVariant;
        final List<Rule> rules = new ArrayList<>();
        JsonObject percentages;
        boolean isDisabled;
    }

    final long version;
    private final Map<String, Flag> flags = new LinkedHashMap<>();

    FlagSet(JsonObject definition) throws Malformed {
        version = definition.longValue("version");
        JsonObject flagDefinitions = definition.object("flags");
        for (String name : flagDefinitions.names()) {
            JsonObject flagDefinition = flagDefinitions.object(name);
            Flag flag = new Flag();
            flag.variants = flagDefinition.object("variants");
            flag.defaultVariant = flagDefinition.text("default");
            flag.isDisabled = flagDefinition.bool("off", false);
            flag.percentages = flagDefinition.objectOrEmpty("split");
            if (flagDefinition.has("rules")) {
                for (JsonObject rule : flagDefinition.objects("rules")) {
                    flag.rules.add(new Rule(rule.object("when"), rule.text("variant")));
                }
            }
            flags.put(name, flag);
        }
    }

    Iterable<String> names() {
        return flags.keySet();
    }

    /** Evaluates a flag; null if the flag is not in the set. */
    Result evaluate(String name, JsonObject context) throws Malformed {
        Flag flag = flags.get(name);
        if (flag == null) {
            return null;
        }
        if (flag.isDisabled) {
            return result(flag, flag.defaultVariant, "DISABLED");
        }
        for (Rule rule : flag.rules) {
            if (rule.conditions.names().stream().allMatch(field -> rule.conditions.value(field).equals(context.value(field)))) {
                return result(flag, rule.variant, "TARGETING_MATCH");
            }
        }
        if (!flag.percentages.names().isEmpty()) {
            String key = context.text("targetingKey", "");
            byte[] bytes = (name + '\0' + key).getBytes(StandardCharsets.UTF_8);
            double remainingPercent = 100.0 * (MurmurHash3.hash32x86(bytes) >>> 1) / (1L << 31);
            for (String variant : flag.percentages.names()) {
                remainingPercent -= flag.percentages.doubleValue(variant);
                if (remainingPercent < 0) {
                    return result(flag, variant, "SPLIT");
                }
            }
        }
        return result(flag, flag.defaultVariant, flag.rules.isEmpty() && flag.percentages.names().isEmpty() ? "STATIC"
                : "DEFAULT");
    }

    private static Result result(Flag flag, String variant, String reason) {
        return new Result(variant, flag.variants.value(variant), reason);
    }

    /** Writes the fields of one evaluation response, without the enclosing braces. */
    void write(JsonGenerator out, String name, Result result) throws IOException {
        out.writeStringField("key", name);
        out.writeStringField("reason", result.reason);
        out.writeStringField("variant", result.variant);
        out.writeFieldName("value");
        writeValue(out, result.value);
        out.writeObjectFieldStart("metadata");
        out.writeStringField("flagSetId", "standin");
        out.writeStringField("version", String.valueOf(version));
        out.writeEndObject();
    }

    private static void writeValue(JsonGenerator out, Object value) throws IOException {
        if (value instanceof JsonObject fields) {
            out.writeStartObject();
            for (String name : fields.names()) {
                out.writeFieldName(name);
                writeValue(out, fields.value(name));
            }
            out.writeEndObject();
        } else if (value instanceof List<?> list) {
            out.writeStartArray();
            for (Object element : list) {
                writeValue(out, element);
            }
            out.writeEndArray();
        } else {
            out.writeObject(value);
        }
    }
}
