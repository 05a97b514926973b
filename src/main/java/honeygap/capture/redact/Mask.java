package honeygap.capture.redact;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Puts keyed hashes (HMAC-SHA-256) in the place of words, of the same length and with each character in its class:
 * digits stay digits, the letters a to f stay among them, so that hexadecimal stays hexadecimal. The same word under
 * the same secret comes to the same one, so a key stays a key.
 */
public final class Mask {

    private final Mac mac;

    public Mask(byte[] secret) {
        try {
            mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(secret, "HmacSHA256"));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Masks bytes in place; the hash is of all of them together. */
    public void hide(byte[] bytes, int from, int to) {
        byte[] word = Arrays.copyOfRange(bytes, from, to);
        byte[] stream = {};
        int used = 0;
        int round = 0;
        for (int i = from; i < to; i++) {
            if (used == stream.length) {
                mac.update(word);
                mac.update((byte) round);
                mac.update((byte) (round++ >> 8));
                stream = mac.doFinal();
                used = 0;
            }
            bytes[i] = hidden(bytes[i], stream[used++] & 0xff);
        }
    }

    private static byte hidden(byte one, int chance) {
        if (one >= '0' && one <= '9') {
            return (byte) ('0' + chance % 10);
        }
        if (one >= 'a' && one <= 'f') {
            return (byte) ('a' + chance % 6);
        }
        if (one >= 'g' && one <= 'z') {
            return (byte) ('g' + chance % 20);
        }
        if (one >= 'A' && one <= 'F') {
            return (byte) ('A' + chance % 6);
        }
        if (one >= 'G' && one <= 'Z') {
            return (byte) ('G' + chance % 20);
        }
        // Parts of letters beyond ASCII, and bytes of values that are no text.
        return one < 0 ? (byte) 'x' : one;
    }

    /** Hides the values in JSON, in place: names, and what the protocol itself says, stay. */
    public void hideJson(byte[] json, int from, int to) {
        new Json(json, from, to).walk();
    }

    /** A walk over JSON that need not be sound: what it can't tell is hidden. */
    private final class Json {

        private static final String KEPT = " key reason errorCode version flagSetId ";

        private final byte[] json;
        private final int to;
        private int at;
        private String name = "";

        Json(byte[] json, int from, int to) {
            this.json = json;
            this.at = from;
            this.to = to;
        }

        void walk() {
            while (at < to) {
                byte one = json[at];
                if (one == '"') {
                    string();
                } else if (one == '-' || one >= '0' && one <= '9') {
                    number();
                } else {
                    at++;
                }
            }
        }

        private void string() {
            int begin = at + 1;
            int end = begin;
            while (end < to && json[end] != '"') {
                end += json[end] == '\\' ? 2 : 1;
            }
            end = Math.min(end, to);
            int behind = end + 1;
            while (behind < to && (json[behind] == ' ' || json[behind] == '\n' || json[behind] == '\r'
                    || json[behind] == '\t')) {
                behind++;
            }
            at = end + 1;
            if (behind < to && json[behind] == ':') {
                name = new String(json, begin, end - begin, StandardCharsets.UTF_8);
            } else if (!KEPT.contains(" " + name + " ")) {
                hideString(begin, end);
            }
        }

        /** Between escapes, which stay what they are; those of other letters come to an x. */
        private void hideString(int begin, int end) {
            int from = begin;
            for (int i = begin; i < end; i++) {
                if (json[i] != '\\') {
                    continue;
                }
                hide(json, from, i);
                if (i + 5 < end && json[i + 1] == 'u') {
                    System.arraycopy("0078".getBytes(StandardCharsets.US_ASCII), 0, json, i + 2, 4);
                    i += 5;
                } else {
                    i++;
                }
                from = Math.min(end, i + 1);
            }
            hide(json, from, end);
        }

        private void number() {
            int begin = at;
            while (at < to && "+-.eE0123456789".indexOf(json[at]) >= 0) {
                at++;
            }
            if (KEPT.contains(" " + name + " ")) {
                return;
            }
            int first = json[begin] == '-' ? begin + 1 : begin;
            byte before = first < at ? json[first] : 0;
            // Digits only, and no exponent: what stands behind an e is its size.
            int last = first;
            while (last < at && json[last] != 'e' && json[last] != 'E') {
                last++;
            }
            hide(json, first, last);
            if (before != '0' && first < last && json[first] == '0') {
                json[first] = '1';
            } else if (before == '0') {
                json[first] = '0';
            }
        }
    }
}
