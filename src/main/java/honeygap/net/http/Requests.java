package honeygap.net.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Reads HTTP/1.1 requests (RFC 9110 and 9112) as they come, cut anywhere, one at a time. Strict where laxness
 * lets one reader see another request than the next: a length and chunks together, two lengths, bare line
 * feeds, folded lines and spaces before a colon are turned down. Lengths are bounded before anything is kept.
 */
public final class Requests {

    private static final int LONGEST_LINE = 8192;
    private static final int LONGEST_HEAD = 16384;
    private static final int MOST_FIELDS = 64;
    private static final int LONGEST_CHUNK_LINE = 256;
    private static final int CHUNK_DIGITS = 7;
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");
    private static final Pattern SIZE = Pattern.compile("[0-9a-fA-F]+");
    private static final String TOKEN = "!#$%&'*+-.^_`|~";

    private static final int HEAD = 0, SIZED = 1, CHUNK_SIZE = 2, CHUNK = 3, TRAILER = 4;

    private final int longestBody;
    private byte[] data = new byte[1024];
    private int from;
    private int to;
    private int scanned;
    private int state = HEAD;

    private String method;
    private String target;
    private boolean isOld;
    private final Map<String, String> fields = new HashMap<>();
    private byte[] body;
    private int length;
    private int left;

    /** Bodies longer than this are turned down. */
    public Requests(int longestBody) {
        this.longestBody = longestBody;
    }

    public void feed(ByteBuffer more) {
        int many = more.remaining();
        if (data.length - to < many) {
            int held = to - from;
            byte[] room = held + many <= data.length ? data
                    : new byte[Math.max(held + many, 2 * data.length)];
            System.arraycopy(data, from, room, 0, held);
            data = room;
            scanned -= from;
            from = 0;
            to = held;
        }
        more.get(data, to, many);
        to += many;
    }

    /** How many bytes wait that belong to no request read so far, or to one half read. */
    public int waiting() {
        return to - from + (state == HEAD ? 0 : 1);
    }

    /** More than this never need to wait behind an open request. */
    public int longest() {
        return LONGEST_HEAD + longestBody;
    }

    /** Whether another request was read whole: its parts hold until the next call. */
    public boolean next() throws Refusal {
        if (state == HEAD && !head()) {
            return false;
        }
        if (state == SIZED) {
            int part = Math.min(left, to - from);
            System.arraycopy(data, from, body, length, part);
            from += part;
            length += part;
            left -= part;
            if (left > 0) {
                return false;
            }
        } else if (!chunks()) {
            return false;
        }
        state = HEAD;
        scanned = from;
        if (from == to) {
            from = to = scanned = 0;
            if (data.length > LONGEST_HEAD) {
                // What a long body took is not kept for a connection that rests.
                data = new byte[1024];
            }
        }
        return true;
    }

    /** Whether the head was read whole just now, with a body still to come that the client asks leave for. */
    public boolean isLeaveAsked() {
        return state != HEAD && "100-continue".equalsIgnoreCase(fields.get("expect"));
    }

    private boolean head() throws Refusal {
        // Empty lines before a request are passed over, as RFC 9112 asks.
        while (scanned == from && to - from >= 2 && data[from] == '\r' && data[from + 1] == '\n') {
            from += 2;
            scanned = from;
        }
        for (; scanned < to; scanned++) {
            if (data[scanned] != '\n') {
                continue;
            }
            if (scanned == from || data[scanned - 1] != '\r') {
                throw bad("a line feed without a carriage return", scanned);
            }
            if (scanned - from >= 3 && data[scanned - 2] == '\n') {
                bound(scanned);
                read(from, scanned - 1);
                from = scanned + 1;
                return true;
            }
        }
        bound(to);
        return false;
    }

    private void bound(int end) throws Refusal {
        if (end - from > LONGEST_HEAD) {
            throw new Refusal(431, "head too long", "the head is longer than " + LONGEST_HEAD + " bytes");
        }
    }

    private static Refusal bad(String what, int at) {
        return new Refusal(400, "not HTTP", what + " at byte " + at);
    }

    private void read(int start, int end) throws Refusal {
        fields.clear();
        int at = start;
        int line = 0;
        while (at < end) {
            int stop = at;
            while (data[stop] != '\r' || data[stop + 1] != '\n') {
                int c = data[stop] & 0xff;
                if (c < ' ' && c != '\t' || c == 0x7f) {
                    throw bad("a control character in line " + (line + 1) + " of the head", stop - start);
                }
                stop++;
            }
            if (stop - at > LONGEST_LINE) {
                throw new Refusal(line == 0 ? 414 : 431, "head too long", "line " + (line + 1)
                        + " of the head is longer than " + LONGEST_LINE + " bytes");
            }
            String words = new String(data, at, stop - at, StandardCharsets.ISO_8859_1);
            if (line++ == 0) {
                begin(words);
            } else if (line - 1 > MOST_FIELDS) {
                throw new Refusal(431, "head too long", "more than " + MOST_FIELDS + " fields");
            } else {
                field(words, at - start);
            }
            at = stop + 2;
        }
        framing();
    }

    private void begin(String words) throws Refusal {
        String[] parts = words.split(" ", -1);
        if (parts.length != 3 || !isToken(parts[0]) || !parts[1].startsWith("/")) {
            throw bad("no request line", 0);
        }
        if (!parts[2].equals("HTTP/1.1") && !parts[2].equals("HTTP/1.0")) {
            throw parts[2].matches("HTTP/[0-9]\\.[0-9]")
                    ? new Refusal(505, "other version", "only HTTP/1.1 is spoken here") : bad("no request line", 0);
        }
        method = parts[0];
        target = parts[1];
        isOld = parts[2].endsWith("0");
    }

    private void field(String words, int at) throws Refusal {
        int colon = words.indexOf(':');
        if (colon <= 0 || !isToken(words.substring(0, colon))) {
            throw bad("no name of a field", at);
        }
        String name = words.substring(0, colon).toLowerCase(Locale.ROOT);
        String value = words.substring(colon + 1).strip();
        if (fields.put(name, value) != null && (name.equals("content-length") || name.equals("host")
                || name.equals("transfer-encoding") || name.equals("idempotency-key")
                || name.equals("authorization"))) {
            throw new Refusal(400, "twice the same field", "field " + name + " comes twice");
        }
    }

    private static boolean isToken(String words) {
        return !words.isEmpty() && words.chars().allMatch(c -> c < 128 && (Character.isLetterOrDigit(c)
                || TOKEN.indexOf(c) >= 0));
    }

    private void framing() throws Refusal {
        if (!isOld && !fields.containsKey("host")) {
            throw new Refusal(400, "no host", "field host is missing");
        }
        String sized = fields.get("content-length");
        String coding = fields.get("transfer-encoding");
        if (sized != null && coding != null) {
            throw new Refusal(400, "length and chunks", "both content-length and transfer-encoding");
        }
        length = 0;
        if (coding != null) {
            if (!coding.equalsIgnoreCase("chunked") || isOld) {
                throw new Refusal(isOld ? 400 : 501, "other coding", "transfer-encoding " + coding);
            }
            body = new byte[0];
            state = CHUNK_SIZE;
            return;
        }
        if (sized != null && !LENGTH.matcher(sized).matches()) {
            throw new Refusal(400, "no length", "content-length is not a whole number");
        }
        long told = sized == null ? 0 : Long.parseLong(sized);
        if (told > longestBody) {
            throw tooLong();
        }
        left = (int) told;
        body = new byte[left];
        state = SIZED;
    }

    private Refusal tooLong() {
        return new Refusal(413, "body too long", "the body is longer than " + longestBody + " bytes");
    }

    private boolean chunks() throws Refusal {
        while (true) {
            if (state == CHUNK) {
                int part = Math.min(left, to - from);
                int inside = Math.max(0, Math.min(part, left - 2));
                System.arraycopy(data, from, body, length, inside);
                length += inside;
                for (int i = inside; i < part; i++) {
                    // The chunk's own end: the last two bytes that are left of it.
                    if (data[from + i] != (left - i == 2 ? '\r' : '\n')) {
                        throw bad("a chunk that does not end where it should", length);
                    }
                }
                from += part;
                left -= part;
                if (left > 0) {
                    return false;
                }
                state = CHUNK_SIZE;
            }
            int end = from;
            while (end < to && data[end] != '\n') {
                end++;
            }
            if (end - from > LONGEST_CHUNK_LINE) {
                throw bad("a chunk's size is too long", length);
            }
            if (end == to) {
                return false;
            }
            if (end == from || data[end - 1] != '\r') {
                throw bad("a line feed without a carriage return", length);
            }
            String words = new String(data, from, end - 1 - from, StandardCharsets.ISO_8859_1);
            from = end + 1;
            if (state == TRAILER) {
                if (words.isEmpty()) {
                    body = Arrays.copyOf(body, length);
                    return true;
                }
                if (++left > MOST_FIELDS) {
                    throw new Refusal(431, "head too long", "more than " + MOST_FIELDS + " trailers");
                }
                continue;
            }
            size(words);
        }
    }

    private void size(String words) throws Refusal {
        int semicolon = words.indexOf(';');
        String digits = semicolon < 0 ? words : words.substring(0, semicolon);
        if (!SIZE.matcher(digits).matches()) {
            throw new Refusal(400, "no length", "a chunk's size is not a number");
        }
        digits = digits.replaceFirst("^0+(?=.)", "");
        if (digits.length() > CHUNK_DIGITS || length + Integer.parseInt(digits, 16) > longestBody) {
            throw tooLong();
        }
        int size = Integer.parseInt(digits, 16);
        if (size == 0) {
            state = TRAILER;
            left = 0;
            return;
        }
        if (length + size > body.length) {
            body = Arrays.copyOf(body, Math.min(longestBody, Math.max(length + size, 2 * body.length)));
        }
        left = size + 2;
        state = CHUNK;
    }

    public String method() {
        return method;
    }

    /** Path and query as they came. */
    public String target() {
        return target;
    }

    /** The value of a field whose name is in small letters; null where there is none. */
    public String field(String name) {
        return fields.get(name);
    }

    public byte[] body() {
        return body;
    }

    /** Whether the connection stays open behind the answer. */
    public boolean isKept() {
        String connection = fields.getOrDefault("connection", isOld ? "close" : "").toLowerCase(Locale.ROOT);
        return isOld ? connection.contains("keep-alive") : !connection.contains("close");
    }
}
