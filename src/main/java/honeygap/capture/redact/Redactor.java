package honeygap.capture.redact;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;

/**
 * Hides keys and values in one direction of a connection, with every byte in its place. What has come is handed on
 * once it is a whole message; what can't be read as one is blacked out, and all behind it, for as long as the
 * connection lasts: what is not understood may hold anything.
 */
public final class Redactor {

    private static final int LONGEST = 1 << 21;
    private static final int LONGEST_HEAD = 1 << 15;
    private static final byte BLACK = 'x';
    private static final String[] SECRETS = {"authorization", "x-api-key", "idempotency-key", "cookie"};

    private enum Kind { UNKNOWN, STARTUP, PG, HTTP, DARK }

    private final Mask mask;
    private final boolean isClient;
    private Kind kind;
    private byte[] held = {};

    /** What a connection begins with is known only where its beginning was seen. */
    public Redactor(Mask mask, boolean isClient, boolean isWhole) {
        this.mask = mask;
        this.isClient = isClient;
        kind = isWhole ? Kind.UNKNOWN : Kind.DARK;
    }

    /** Takes bytes in and hands on those that may be seen now, in the order of their coming. */
    public byte[] take(byte[] bytes) {
        if (kind == Kind.DARK) {
            byte[] black = new byte[bytes.length];
            Arrays.fill(black, BLACK);
            return black;
        }
        int old = held.length;
        held = Arrays.copyOf(held, old + bytes.length);
        System.arraycopy(bytes, 0, held, old, bytes.length);
        if (kind == Kind.UNKNOWN && held.length > 0) {
            tell();
        }
        int done = 0;
        while (done < held.length && kind != Kind.DARK && kind != Kind.UNKNOWN) {
            int length = kind == Kind.HTTP ? http(done) : pg(done);
            if (length == 0) {
                break;
            }
            done += length;
        }
        if (held.length - done > LONGEST) {
            kind = Kind.DARK;
        }
        if (kind == Kind.DARK) {
            Arrays.fill(held, done, held.length, BLACK);
            done = held.length;
        }
        byte[] out = Arrays.copyOf(held, done);
        held = Arrays.copyOfRange(held, done, held.length);
        return out;
    }

    /** Bytes are missing, or the connection ends: what is held, blacked out. Nothing can be read behind a hole. */
    public byte[] lose() {
        byte[] black = new byte[held.length];
        Arrays.fill(black, BLACK);
        held = new byte[0];
        kind = Kind.DARK;
        return black;
    }

    private void tell() {
        byte first = held[0];
        if (isClient) {
            boolean isHttp = first >= 'A' && first <= 'Z';
            kind = isHttp ? Kind.HTTP : first == 0 ? Kind.STARTUP : Kind.DARK;
        } else {
            kind = first == 'H' ? Kind.HTTP : Kind.PG;
        }
    }

    /** The length of the message there, hidden; 0 where it is not whole. */
    private int pg(int at) {
        ByteBuffer all = ByteBuffer.wrap(held);
        int left = held.length - at;
        if (kind == Kind.STARTUP) {
            if (left < 8) {
                return 0;
            }
            int length = all.getInt(at);
            if (length < 8 || length > 10_000) {
                return dark();
            }
            if (left < length) {
                return 0;
            }
            int version = all.getInt(at + 4);
            // A request for encryption is followed by the startup, in the clear as far as we can tell.
            kind = version == 80877103 || version == 80877104 ? Kind.STARTUP : Kind.PG;
            return length;
        }
        if (!isClient && left >= 1 && held[at] == 'S' && left == 1) {
            return 0;
        }
        if (left < 5) {
            // One N is the answer to a request for encryption.
            if (!isClient && left == 1 && held[at] == 'N') {
                return 1;
            }
            return 0;
        }
        int length = all.getInt(at + 1);
        if (length < 4 || length > LONGEST) {
            return !isClient && held[at] == 'N' ? 1 : dark();
        }
        if (left < 1 + length) {
            return 0;
        }
        hidePg(at, at + 1 + length);
        return 1 + length;
    }

    private int dark() {
        kind = Kind.DARK;
        return 0;
    }

    private void hidePg(int at, int end) {
        switch (held[at]) {
            case 'Q':
                statement(at + 5, end - 1);
                break;
            case 'D':
                // Columns: a count, then a length and a value each.
                ByteBuffer row = ByteBuffer.wrap(held, at + 5, end - at - 5).slice();
                int columns = row.remaining() < 2 ? 0 : row.getShort();
                int place = at + 7;
                for (int i = 0; i < columns && place + 4 <= end; i++) {
                    int size = ByteBuffer.wrap(held).getInt(place);
                    int to = size < 0 ? place + 4 : (int) Math.min(end, (long) place + 4 + size);
                    mask.hide(held, place + 4, to);
                    place = to;
                }
                break;
            case 'E', 'N':
                error(at + 5, end);
                break;
            case 'P', 'B', 'p', 'd':
                Arrays.fill(held, at + 5, end, BLACK);
                break;
            default:
                break;
        }
    }

    /** Words in quotes, and in the comment behind them those that name a key. */
    private void statement(int from, int to) {
        int i = from;
        while (i < to) {
            if (held[i] == '\'') {
                int end = i + 1;
                while (end < to && held[end] != '\'') {
                    end++;
                }
                // A value in hexadecimal has a mark before its digits.
                int begin = end - i > 2 && held[i + 1] == '\\' && held[i + 2] == 'x' ? i + 3 : i + 1;
                mask.hide(held, begin, end);
                i = end + 1;
            } else if (held[i] == 'k' && i + 1 < to && held[i + 1] == '=' && i > from
                    && (held[i - 1] == ',' || held[i - 1] == ' ')) {
                int end = i + 2;
                while (end < to && held[end] != ',' && held[end] != ' ' && held[end] != '*') {
                    end++;
                }
                mask.hide(held, i + 2, end);
                i = end;
            } else {
                i++;
            }
        }
    }

    /** Codes and times stay, words are hidden. */
    private void error(int from, int end) {
        int at = from;
        while (at < end && held[at] != 0) {
            int stop = at + 1;
            while (stop < end && held[stop] != 0) {
                stop++;
            }
            if (held[at] != 'S' && held[at] != 'V' && held[at] != 'C' && held[at] != 'D') {
                mask.hide(held, at + 1, stop);
            }
            at = stop + 1;
        }
    }

    private int http(int at) {
        int body = -1;
        for (int i = at; i + 3 < held.length && i < at + LONGEST_HEAD; i++) {
            if (held[i] == '\r' && held[i + 1] == '\n' && held[i + 2] == '\r' && held[i + 3] == '\n') {
                body = i + 4;
                break;
            }
        }
        if (body < 0) {
            return held.length - at > LONGEST_HEAD ? dark() : 0;
        }
        String head = new String(held, at, body - at, StandardCharsets.ISO_8859_1);
        String lower = head.toLowerCase(Locale.ROOT);
        int end;
        if (lower.contains("\r\ntransfer-encoding: chunked\r\n")) {
            end = chunks(body);
        } else {
            String length = field(lower, "content-length");
            boolean hasBody = !lower.startsWith("http/1.1 304") && !lower.startsWith("http/1.1 204")
                    && !lower.startsWith("http/1.1 1");
            if (length == null && !isClient && hasBody || length != null && !length.matches("[0-9]{1,7}")) {
                return dark();
            }
            end = body + (length == null || !hasBody ? 0 : Integer.parseInt(length));
            if (end > held.length) {
                return 0;
            }
            mask.hideJson(held, body, end);
        }
        if (end <= 0) {
            return end < 0 ? dark() : 0;
        }
        secrets(at, head, lower);
        return end - at;
    }

    private static String field(String head, String name) {
        int from = head.indexOf("\r\n" + name + ":");
        return from < 0 ? null : head.substring(from + name.length() + 3, head.indexOf("\r\n", from + 2)).strip();
    }

    private void secrets(int at, String head, String lower) {
        for (String name : SECRETS) {
            int from = lower.indexOf("\r\n" + name + ":");
            if (from >= 0) {
                int begin = from + name.length() + 3;
                mask.hide(held, at + begin, at + head.indexOf("\r\n", begin));
            }
        }
    }

    /** Where the last chunk ends, the data hidden on the way; 0 where it is not there, below 0 for no chunks. */
    private int chunks(int body) {
        int at = body;
        int[] places = new int[64];
        int count = 0;
        while (true) {
            int line = at;
            while (line + 1 < held.length && !(held[line] == '\r' && held[line + 1] == '\n')) {
                line++;
            }
            if (line + 1 >= held.length) {
                return 0;
            }
            String size = new String(held, at, line - at, StandardCharsets.ISO_8859_1).split(";", 2)[0].strip();
            if (!size.matches("[0-9a-fA-F]{1,6}")) {
                return -1;
            }
            int length = Integer.parseInt(size, 16);
            int end = line + 2 + length + 2;
            if (end > held.length) {
                return 0;
            }
            if (length == 0) {
                hideParts(places, count);
                return end;
            }
            if (2 * count == places.length) {
                places = Arrays.copyOf(places, 2 * places.length);
            }
            places[2 * count] = line + 2;
            places[2 * count++ + 1] = line + 2 + length;
            at = end;
        }
    }

    /** JSON in pieces: hidden as one, and put back where the pieces were. */
    private void hideParts(int[] places, int count) {
        int length = 0;
        for (int i = 0; i < count; i++) {
            length += places[2 * i + 1] - places[2 * i];
        }
        byte[] whole = new byte[length];
        int at = 0;
        for (int i = 0; i < count; i++) {
            System.arraycopy(held, places[2 * i], whole, at, places[2 * i + 1] - places[2 * i]);
            at += places[2 * i + 1] - places[2 * i];
        }
        mask.hideJson(whole, 0, length);
        at = 0;
        for (int i = 0; i < count; i++) {
            System.arraycopy(whole, at, held, places[2 * i], places[2 * i + 1] - places[2 * i]);
            at += places[2 * i + 1] - places[2 * i];
        }
    }
}
