package honeygap.net.ofrep;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import honeygap.flags.Served;
import honeygap.net.http.Refusal;
import honeygap.read.Malformed;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Bodies of the remote evaluation protocol: what is read from them, and those that the agent writes. */
public final class Bodies {

    private static final int DEEPEST = 64;
    /** Types of values, as the flag API has them. */
    static final int BOOLEAN = 0, STRING = 1, NUMBER = 2, OBJECT = 3;

    private static final JsonFactory JSON = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(DEEPEST).build())
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();

    private Bodies() {
    }

    /**
     * A hash of the targeting key in a request's context, 0 where there is none. The whole body is read, so
     * that what is passed on is sound: one JSON object, no name twice in an object, UTF-8, not nested deeply.
     */
    public static long subject(byte[] body) throws Refusal {
        long subject = 0;
        boolean hasContext = false;
        try (JsonParser in = JSON.createParser(body)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw parse("the body is not a JSON object", in.currentLocation());
            }
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                JsonToken value = in.nextToken();
                if (name.equals("context")) {
                    hasContext = true;
                    if (value != JsonToken.START_OBJECT) {
                        throw context("field context is not an object", in.currentLocation());
                    }
                    subject = targetingKey(in);
                } else {
                    in.skipChildren();
                }
            }
            if (in.nextToken() != null) {
                throw parse("more than one JSON value", in.currentLocation());
            }
        } catch (JsonProcessingException e) {
            throw parse(e.getOriginalMessage().lines().findFirst().orElse("not JSON"), e.getLocation());
        } catch (IOException e) {
            // Jackson's word for bytes that are not UTF-8.
            throw parse("not UTF-8", null);
        }
        if (!hasContext) {
            throw new Refusal(400, "INVALID_CONTEXT", "field context is missing");
        }
        return subject;
    }

    private static long targetingKey(JsonParser in) throws IOException, Refusal {
        long subject = 0;
        while (in.nextToken() != JsonToken.END_OBJECT) {
            boolean isKey = in.currentName().equals("targetingKey");
            JsonToken value = in.nextToken();
            if (isKey && value != JsonToken.VALUE_STRING) {
                throw context("field context.targetingKey is not a string", in.currentLocation());
            }
            if (isKey) {
                subject = Request.hash(in.getText().getBytes(StandardCharsets.UTF_8));
            }
            in.skipChildren();
        }
        return subject;
    }

    private static Refusal parse(String words, JsonLocation at) {
        return new Refusal(400, "PARSE_ERROR", words + place(at));
    }

    private static Refusal context(String words, JsonLocation at) {
        return new Refusal(400, "INVALID_CONTEXT", words + place(at));
    }

    private static String place(JsonLocation at) {
        return at == null ? "" : " at line " + at.getLineNr() + ", column " + at.getColumnNr();
    }

    /** A server's answer, of one flag or, where none is named, of all; what can't be one is malformed. */
    static Served served(int status, byte[] body, String flag, boolean isTracking) throws Malformed {
        if (isTracking || status == 401 || status == 403) {
            return new Served(status, body, Served.NO_VERSION, Served.NO_VERSION, Map.of());
        }
        Reading reading = new Reading(flag);
        try (JsonParser in = JSON.createParser(body)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new Malformed("an answer that is not an object");
            }
            if (status != Served.GOOD) {
                reading.error(in);
            } else if (flag == null) {
                reading.all(in);
            } else {
                reading.one(in, flag);
            }
            if (in.nextToken() != null) {
                throw new Malformed("more than one answer");
            }
        } catch (IOException e) {
            throw new Malformed("an answer that is not JSON");
        }
        return new Served(status, body, reading.oldest, reading.newest, reading.kinds);
    }

    /** What one answer says. */
    private static final class Reading {

        private final Map<String, Integer> kinds;
        private long oldest = Served.NO_VERSION;
        private long newest = Served.NO_VERSION;

        Reading(String flag) {
            kinds = new HashMap<>(flag == null ? 16 : 2);
        }

        private void version(JsonParser in) throws IOException {
            while (in.nextToken() != JsonToken.END_OBJECT) {
                boolean isVersion = in.currentName().equals("version");
                JsonToken value = in.nextToken();
                if (isVersion && value.isScalarValue()) {
                    String digits = in.getText();
                    if (digits.length() <= 18 && !digits.isEmpty()
                            && digits.chars().allMatch(c -> c >= '0' && c <= '9')) {
                        met(Long.parseLong(digits));
                    }
                }
                in.skipChildren();
            }
        }

        private void met(long version) {
            oldest = oldest == Served.NO_VERSION ? version : Math.min(oldest, version);
            newest = Math.max(newest, version);
        }

        /** An evaluation that went well, or that of one flag among all that did not. */
        void one(JsonParser in, String flag) throws IOException, Malformed {
            String key = flag;
            int kind = -1;
            boolean failed = false;
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                JsonToken value = in.nextToken();
                switch (name) {
                    case "key":
                        key = text(in, value, name);
                        break;
                    case "reason", "variant":
                        text(in, value, name);
                        break;
                    case "errorCode":
                        failed = true;
                        break;
                    case "value":
                        kind = kind(value);
                        in.skipChildren();
                        break;
                    case "metadata":
                        if (value == JsonToken.START_OBJECT) {
                            version(in);
                        } else if (value != JsonToken.VALUE_NULL) {
                            throw new Malformed("field metadata is not an object");
                        }
                        break;
                    default:
                        in.skipChildren();
                }
            }
            if (key == null || flag != null && !flag.equals(key)) {
                throw new Malformed("an answer for another flag");
            }
            if (failed && flag != null) {
                throw new Malformed("a good answer with an error in it");
            }
            if (kind >= 0) {
                kinds.put(key, kind);
            }
        }

        private static String text(JsonParser in, JsonToken value, String name) throws IOException, Malformed {
            if (value == JsonToken.VALUE_NULL && !name.equals("key")) {
                return null;
            }
            if (value != JsonToken.VALUE_STRING) {
                throw new Malformed("field " + name + " is not a string");
            }
            return in.getText();
        }

        private static int kind(JsonToken value) {
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

        void all(JsonParser in) throws IOException, Malformed {
            boolean seen = false;
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                JsonToken value = in.nextToken();
                if (name.equals("flags") && value == JsonToken.START_ARRAY) {
                    seen = true;
                    while (in.nextToken() != JsonToken.END_ARRAY) {
                        if (in.currentToken() != JsonToken.START_OBJECT) {
                            throw new Malformed("a flag that is not an object");
                        }
                        one(in, null);
                    }
                } else if (name.equals("metadata") && value == JsonToken.START_OBJECT) {
                    version(in);
                } else {
                    in.skipChildren();
                }
            }
            if (!seen) {
                throw new Malformed("field flags is not a list");
            }
        }

        void error(JsonParser in) throws IOException, Malformed {
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

    /** The same good answer with another reason, for one flag or for each of all. */
    public static byte[] withReason(byte[] body, boolean isBulk, String reason) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(body.length + 32);
        int depth = 0;
        int at = isBulk ? 3 : 1;
        boolean told = false;
        boolean isFlag = !isBulk;
        try (JsonParser in = JSON.createParser(body); JsonGenerator out = JSON.createGenerator(bytes)) {
            for (JsonToken token = in.nextToken(); token != null; token = in.nextToken()) {
                if (isBulk && token == JsonToken.FIELD_NAME && depth == 1) {
                    isFlag = in.currentName().equals("flags");
                }
                boolean isField = isFlag && token == JsonToken.FIELD_NAME && depth == at;
                // A flag that could not be evaluated has an error and no reason.
                told |= isField && in.currentName().equals("errorCode");
                if (isField && in.currentName().equals("reason")) {
                    in.nextToken();
                    in.skipChildren();
                    out.writeStringField("reason", reason);
                    told = true;
                    continue;
                }
                if (isFlag && token == JsonToken.END_OBJECT && depth == at && !told) {
                    out.writeStringField("reason", reason);
                }
                depth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
                told &= token != JsonToken.START_OBJECT || depth != at;
                out.copyCurrentEvent(in);
            }
        } catch (IOException e) {
            // It was read whole when it came.
            throw new java.io.UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** An error of the protocol; key and code may be null. */
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
