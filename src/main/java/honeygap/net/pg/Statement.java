package honeygap.net.pg;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Parses a statement without copying it: the key, and the fields in the comment at its end. */
public final class Statement {

    private ByteBuffer text;
    private int length;
    private String id;
    private String method;
    private String tenant;
    private String key;
    private long timeoutMs;
    private long hintMicros;
    private boolean retry;
    private int timeoutStart;
    private int timeoutEnd;

    /** Parses the body of a query; returns false if it does not have the documented form. */
    public boolean parse(ByteBuffer body) {
        text = body;
        length = body.limit();
        while (length > 0 && (body.get(length - 1) == 0 || body.get(length - 1) <= ' '
                && body.get(length - 1) >= 0)) {
            length--;
        }
        id = method = tenant = key = null;
        timeoutMs = hintMicros = 0;
        retry = false;
        timeoutStart = -1;
        boolean select = startsWith("SELECT content FROM kv WHERE name = '");
        boolean insert = startsWith("INSERT INTO kv (name, content) VALUES ('");
        if (!select && !insert || length < 2 || at(length - 2) != '*' || at(length - 1) != '/') {
            return false;
        }
        int comment = length - 3;
        while (comment > 0 && !(at(comment) == '*' && at(comment - 1) == '/')) {
            comment--;
        }
        int openQuote = find('\'', 0, comment);
        int closeQuote = openQuote < 0 ? -1 : find('\'', openQuote + 1, comment);
        if (comment <= 0 || closeQuote < 0) {
            return false;
        }
        key = string(openQuote + 1, closeQuote);
        int end = length - 2;
        for (int from = comment + 1; from < end;) {
            int to = find(',', from, end);
            to = to < 0 ? end : to;
            int fieldStart = from;
            int fieldEnd = to;
            while (fieldStart < fieldEnd && at(fieldStart) == ' ') {
                fieldStart++;
            }
            while (fieldEnd > fieldStart && at(fieldEnd - 1) == ' ') {
                fieldEnd--;
            }
            int equals = find('=', fieldStart, fieldEnd);
            if (equals < 0 || !parseField(fieldStart, equals, fieldEnd)) {
                return false;
            }
            from = to + 1;
        }
        return id != null && !id.isEmpty() && method != null && timeoutStart >= 0;
    }

    private boolean parseField(int from, int equals, int to) {
        if (equals == from + 2 && at(from) == 'i' && at(from + 1) == 'd') {
            id = string(equals + 1, to);
            return true;
        }
        if (equals != from + 1) {
            return true;
        }
        switch (at(from)) {
            case 'c':
                method = string(equals + 1, to);
                return true;
            case 't':
                tenant = string(equals + 1, to);
                return true;
            case 'd':
                timeoutStart = equals + 1;
                timeoutEnd = to;
                timeoutMs = parseNumber(equals + 1, to);
                return timeoutMs >= 0;
            case 'h':
                hintMicros = parseNumber(equals + 1, to);
                return hintMicros >= 0;
            case 'r':
                retry = parseNumber(equals + 1, to) == 1;
                return true;
            default:
                return true;
        }
    }

    /** A non-negative number without its fraction; -1 if there is none. */
    private long parseNumber(int from, int to) {
        long value = 0;
        int i = from;
        while (i < to && at(i) >= '0' && at(i) <= '9' && value < Integer.MAX_VALUE) {
            value = 10 * value + at(i++) - '0';
        }
        return i == from || i < to && at(i) != '.' ? -1 : value;
    }

    private boolean startsWith(String prefix) {
        for (int i = 0; i < prefix.length(); i++) {
            if (i >= length || at(i) != prefix.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private int find(char wanted, int from, int to) {
        for (int i = from; i < to; i++) {
            if (at(i) == wanted) {
                return i;
            }
        }
        return -1;
    }

    private byte at(int index) {
        return text.get(index);
    }

    private String string(int from, int to) {
        byte[] bytes = new byte[to - from];
        text.get(from, bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    /** The id that the client gave the RPC. */
    public String id() {
        return id;
    }

    /** The name of the requested method. */
    public String method() {
        return method;
    }

    /** The name of the tenant; null if there is none. */
    public String tenant() {
        return tenant;
    }

    /** The key that the statement reads or writes. */
    public String key() {
        return key;
    }

    /** The client's timeout in milliseconds. */
    public long timeoutMs() {
        return timeoutMs;
    }

    /** The client's estimate of the work in microseconds; 0 if there is none. */
    public long hintMicros() {
        return hintMicros;
    }

    /** Whether the client marked the statement as a retry. */
    public boolean retry() {
        return retry;
    }

    /** The text before the client's timeout, which is replaced for each pick. */
    public ByteBuffer textBeforeTimeout() {
        return text.slice(0, timeoutStart);
    }

    /** The text after the client's timeout. */
    public ByteBuffer textAfterTimeout() {
        return text.slice(timeoutEnd, length - timeoutEnd);
    }
}
