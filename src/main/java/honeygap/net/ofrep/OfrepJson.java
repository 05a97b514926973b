package honeygap.net.ofrep;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import honeygap.flags.ServerAnswer;
import honeygap.net.http.Refusal;
import honeygap.config.Malformed;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Reads and writes JSON bodies of the OpenFeature Remote Evaluation Protocol (OFREP). */
public final class OfrepJson {

    private static final int MAX_NESTING_DEPTH = 64;
    /** Types of flag values, as in the flag API. */
    static final int BOOLEAN = 0, STRING = 1, NUMBER = 2, OBJECT = 3;

    private static final JsonFactory JSON = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build())
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();

    private OfrepJson() {
    }

    /**
     * Returns a hash of the targeting key in a request's context, 0 if there is none. Validates the whole body, so
     * that only one JSON object in UTF-8, without duplicate names and not nested too deeply, is forwarded.
     */
    public static long targetingKeyHash(byte[] body) throws Refusal {
        long keyHash = 0;
        boolean hasContext = false;
        try (JsonParser in = JSON.createParser(body)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw parseError("the body is not a JSON object", in.currentLocation());
            }
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                JsonToken value = in.nextToken();
                if (name.equals("context")) {
                    hasContext = true;
                    if (value != JsonToken.START_OBJECT) {
                        throw invalidContext("field context is not an object", in.currentLocation());
                    }
                    keyHash = readTargetingKeyHash(in);
                } else {
                    in.skipChildren();
                }
            }
            if (in.nextToken() != null) {
                throw parseError("more than one JSON value", in.currentLocation());
            }
        } catch (JsonProcessingException e) {
            throw parseError(e.getOriginalMessage().lines().findFirst().orElse("not JSON"), e.getLocation());
        } catch (IOException e) {
            // Jackson reports bytes that are not UTF-8 in this way.
            throw parseError("not UTF-8", null);
        }
        if (!hasContext) {
            throw new Refusal(400, "INVALID_CONTEXT", "field context is missing");
        }
        return keyHash;
    }

    private static long readTargetingKeyHash(JsonParser in) throws IOException, Refusal {
        long keyHash = 0;
        while (in.nextToken() != JsonToken.END_OBJECT) {
            boolean isKey = in.currentName().equals("targetingKey");
            JsonToken value = in.nextToken();
            if (isKey && value != JsonToken.VALUE_STRING) {
                throw invalidContext("field context.targetingKey is not a string", in.currentLocation());
            }
            if (isKey) {
                keyHash = OfrepRequest.hash(in.getText().getBytes(StandardCharsets.UTF_8));
            }
            in.skipChildren();
        }
        return keyHash;
    }

    private static Refusal parseError(String message, JsonLocation at) {
        return new Refusal(400, "PARSE_ERROR", message + position(at));
    }

    private static Refusal invalidContext(String message, JsonLocation at) {
        return new Refusal(400, "INVALID_CONTEXT", message + position(at));
    }

    private static String position(JsonLocation at) {
        return at == null ? "" : " at line " + at.getLineNr() + ", column " + at.getColumnNr();
    }

    /** Parses a server's response about one flag or, if {@code flag} is null, about all flags. */
    static ServerAnswer parseResponse(int status, byte[] body, String flag, boolean isTracking) throws Malformed {
        if (isTracking || status == 401 || status == 403) {
            return new ServerAnswer(status, body, ServerAnswer.NO_VERSION, ServerAnswer.NO_VERSION, Map.of());
        }
        ResponseSummary summary = new ResponseSummary(flag);
        try (JsonParser in = JSON.createParser(body)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new Malformed("response is not a JSON object");
            }
            if (status != ServerAnswer.STATUS_OK) {
                summary.readError(in);
            } else if (flag == null) {
                summary.readAllFlags(in);
            } else {
                summary.readFlag(in, flag);
            }
            if (in.nextToken() != null) {
                throw new Malformed("response has more than one JSON value");
            }
        } catch (IOException e) {
            throw new Malformed("response is not JSON");
        }
        return new ServerAnswer(status, body, summary.oldest, summary.newest, summary.kinds);
    }

    /** The versions and value types found in one response. */
    private static final class ResponseSummary {

        private final Map<String, Integer> kinds;
        private long oldest = ServerAnswer.NO_VERSION;
        private long newest = ServerAnswer.NO_VERSION;

        ResponseSummary(String flag) {
            kinds = new HashMap<>(flag == null ? 16 : 2);
        }

        private void readMetadata(JsonParser in) throws IOException {
            while (in.nextToken() != JsonToken.END_OBJECT) {
                boolean isVersion = in.currentName().equals("version");
                JsonToken value = in.nextToken();
                if (isVersion && value.isScalarValue()) {
                    String digits = in.getText();
                    if (digits.length() <= 18 && !digits.isEmpty()
                            && digits.chars().allMatch(c -> c >= '0' && c <= '9')) {
                        addVersion(Long.parseLong(digits));
                    }
                }
                in.skipChildren();
            }
        }

        private void addVersion(long version) {
            oldest = oldest == ServerAnswer.NO_VERSION ? version : Math.min(oldest, version);
            newest = Math.max(newest, version);
        }

        /** Reads the evaluation of one flag; a failed one is accepted only as part of a bulk response. */
        void readFlag(JsonParser in, String flag) throws IOException, Malformed {
            String key = flag;
            int kind = -1;
            boolean failed = false;
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                JsonToken value = in.nextToken();
                switch (name) {
                    case "key":
                        key = readText(in, value, name);
                        break;
                    case "reason", "variant":
                        readText(in, value, name);
                        break;
                    case "errorCode":
                        failed = true;
                        break;
                    case "value":
                        kind = kindOf(value);
                        in.skipChildren();
                        break;
                    case "metadata":
                        if (value == JsonToken.START_OBJECT) {
                            readMetadata(in);
                        } else if (value != JsonToken.VALUE_NULL) {
                            throw new Malformed("field metadata is not an object");
                        }
                        break;
                    default:
                        in.skipChildren();
                }
            }
            if (key == null || flag != null && !flag.equals(key)) {
                throw new Malformed("response is for another flag");
            }
            if (failed && flag != null) {
                throw new Malformed("successful response contains an error code");
            }
            if (kind >= 0) {
                kinds.put(key, kind);
            }
        }

        private static String readText(JsonParser in, JsonToken value, String name) throws IOException, Malformed {
            if (value == JsonToken.VALUE_NULL && !name.equals("key")) {
                return null;
            }
            if (value != JsonToken.VALUE_STRING) {
                throw new Malformed("field " + name + " is not a string");
            }
            return in.getText();
        }

        private static int kindOf(JsonToken value) {
            switch (value) {
                case VALUE_TRUE, VALUE_FALSE:
                    return BOOLEAN;
                case VALUE_STRING:
                    return STRING;
                case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT:
                    return NUMBER;
                case START_OBJECT, START_ARRAY:
                    return OBJECT;
                default:
                    return -1;
            }
        }

        void readAllFlags(JsonParser in) throws IOException, Malformed {
            boolean hasFlags = false;
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                JsonToken value = in.nextToken();
                if (name.equals("flags") && value == JsonToken.START_ARRAY) {
                    hasFlags = true;
                    while (in.nextToken() != JsonToken.END_ARRAY) {
                        if (in.currentToken() != JsonToken.START_OBJECT) {
                            throw new Malformed("entry of field flags is not an object");
                        }
                        readFlag(in, null);
                    }
                } else if (name.equals("metadata") && value == JsonToken.START_OBJECT) {
                    readMetadata(in);
                } else {
                    in.skipChildren();
                }
            }
            if (!hasFlags) {
                throw new Malformed("field flags is not a list");
            }
        }

        void readError(JsonParser in) throws IOException, Malformed {
            boolean hasCode = false;
            while (in.nextToken() != JsonToken.END_OBJECT) {
                hasCode |= in.currentName().equals("errorCode");
                in.nextToken();
                in.skipChildren();
            }
            if (!hasCode) {
                throw new Malformed("field errorCode is missing");
            }
        }
    }

    /** Returns a successful response with its reason replaced, for one flag or for each flag of a bulk response. */
    public static byte[] withReason(byte[] body, boolean isBulk, String reason) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(body.length + 32);
        int depth = 0;
        int flagDepth = isBulk ? 3 : 1;
        boolean hasReason = false;
        boolean isFlag = !isBulk;
        try (JsonParser in = JSON.createParser(body); JsonGenerator out = JSON.createGenerator(bytes)) {
            for (JsonToken token = in.nextToken(); token != null; token = in.nextToken()) {
                if (isBulk && token == JsonToken.FIELD_NAME && depth == 1) {
                    isFlag = in.currentName().equals("flags");
                }
                boolean isField = isFlag && token == JsonToken.FIELD_NAME && depth == flagDepth;
                // A flag that could not be evaluated has an error code and no reason.
                hasReason |= isField && in.currentName().equals("errorCode");
                if (isField && in.currentName().equals("reason")) {
                    in.nextToken();
                    in.skipChildren();
                    out.writeStringField("reason", reason);
                    hasReason = true;
                    continue;
                }
                if (isFlag && token == JsonToken.END_OBJECT && depth == flagDepth && !hasReason) {
                    out.writeStringField("reason", reason);
                }
                depth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
                hasReason &= token != JsonToken.START_OBJECT || depth != flagDepth;
                out.copyCurrentEvent(in);
            }
        } catch (IOException e) {
            // Cannot happen: the body was validated when it was received.
            throw new java.io.UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** Creates an error body; key and code may be null. */
    public static byte[] error(String key, String code, String details) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            out.writeStartObject();
            if (key != null) {
                out.writeStringField("key", key);
            }
            if (code != null) {
                out.writeStringField("errorCode", code);
            }
            out.writeStringField("errorDetails", details);
            out.writeEndObject();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }
}
