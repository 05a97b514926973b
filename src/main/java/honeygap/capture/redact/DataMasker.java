package honeygap.capture.redact;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Replaces values by keyed hashes (HMAC-SHA-256) of the same length that preserve each character's class: digits stay
 * digits and the letters a to f stay in that range, so hexadecimal stays hexadecimal. The same value under the same
 * secret always gets the same replacement, so keys can still be matched.
 */
public final class DataMasker {

    private final Mac mac;

    public DataMasker(byte[] secret) {
        try {
            mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(secret, "HmacSHA256"));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Masks bytes in place; the hash covers the whole range. */
    public void mask(byte[] bytes, int from, int to) {
        byte[] plaintext = Arrays.copyOfRange(bytes, from, to);
        byte[] keystream = {};
        int used = 0;
        int block = 0;
        for (int i = from; i < to; i++) {
            if (used == keystream.length) {
                mac.update(plaintext);
                mac.update((byte) block);
                mac.update((byte) (block++ >> 8));
                keystream = mac.doFinal();
                used = 0;
            }
            bytes[i] = maskByte(bytes[i], keystream[used++] & 0xff);
        }
    }

    private static byte maskByte(byte original, int hashByte) {
        if (original >= '0' && original <= '9') {
            return (byte) ('0' + hashByte % 10);
        }
        if (original >= 'a' && original <= 'f') {
            return (byte) ('a' + hashByte % 6);
        }
        if (original >= 'g' && original <= 'z') {
            return (byte) ('g' + hashByte % 20);
        }
        if (original >= 'A' && original <= 'F') {
            return (byte) ('A' + hashByte % 6);
        }
        if (original >= 'G' && original <= 'Z') {
            return (byte) ('G' + hashByte % 20);
        }
        // Bytes of non-ASCII characters and of binary values.
        return original < 0 ? (byte) 'x' : original;
    }

    /** Masks the values in JSON in place; field names and the values of protocol fields are left as they are. */
    public void maskJson(byte[] json, int from, int to) {
        new JsonMasker(json, from, to).maskAll();
    }

    /** Scans JSON that may be malformed; strings and numbers that it can't attribute to a field are masked. */
    private final class JsonMasker {

        private static final String UNMASKED_FIELDS = " key reason errorCode version flagSetId ";

        private final byte[] json;
        private final int to;
        private int position;
        private String fieldName = "";

        JsonMasker(byte[] json, int from, int to) {
            this.json = json;
            this.position = from;
            this.to = to;
        }

        void maskAll() {
            while (position < to) {
                byte current = json[position];
                if (current == '"') {
                    readString();
                } else if (current == '-' || current >= '0' && current <= '9') {
                    maskNumber();
                } else {
                    position++;
                }
            }
        }

        private void readString() {
            int begin = position + 1;
            int end = begin;
            while (end < to && json[end] != '"') {
                end += json[end] == '\\' ? 2 : 1;
            }
            end = Math.min(end, to);
            int next = end + 1;
            while (next < to && (json[next] == ' ' || json[next] == '\n' || json[next] == '\r'
                    || json[next] == '\t')) {
                next++;
            }
            position = end + 1;
            if (next < to && json[next] == ':') {
                fieldName = new String(json, begin, end - begin, StandardCharsets.UTF_8);
            } else if (!UNMASKED_FIELDS.contains(" " + fieldName + " ")) {
                maskString(begin, end);
            }
        }

        /** Masks the text between escape sequences. Escapes stay, except that Unicode escapes become an escaped x. */
        private void maskString(int begin, int end) {
            int from = begin;
            for (int i = begin; i < end; i++) {
                if (json[i] != '\\') {
                    continue;
                }
                mask(json, from, i);
                if (i + 5 < end && json[i + 1] == 'u') {
                    System.arraycopy("0078".getBytes(StandardCharsets.US_ASCII), 0, json, i + 2, 4);
                    i += 5;
                } else {
                    i++;
                }
                from = Math.min(end, i + 1);
            }
            mask(json, from, end);
        }

        private void maskNumber() {
            int begin = position;
            while (position < to && "+-.eE0123456789".indexOf(json[position]) >= 0) {
                position++;
            }
            if (UNMASKED_FIELDS.contains(" " + fieldName + " ")) {
                return;
            }
            int firstDigit = json[begin] == '-' ? begin + 1 : begin;
            byte originalFirstDigit = firstDigit < position ? json[firstDigit] : 0;
            // Only the digits before the exponent are masked, to preserve the number's magnitude.
            int digitsEnd = firstDigit;
            while (digitsEnd < position && json[digitsEnd] != 'e' && json[digitsEnd] != 'E') {
                digitsEnd++;
            }
            mask(json, firstDigit, digitsEnd);
            if (originalFirstDigit != '0' && firstDigit < digitsEnd && json[firstDigit] == '0') {
                json[firstDigit] = '1';
            } else if (originalFirstDigit == '0') {
                json[firstDigit] = '0';
            }
        }
    }
}
