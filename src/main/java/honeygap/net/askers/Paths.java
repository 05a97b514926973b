package honeygap.net.askers;

import honeygap.net.http.Refusal;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Paths of the remote evaluation protocol, and the one for tracking events beside them. */
final class Paths {

    private static final String ALL = "/ofrep/v1/evaluate/flags";
    private static final String TRACK = "/ofrep/v1/track";
    private static final int LONGEST_FLAG = 256;
    private static final String UNRESERVED = "-._~";

    /** What is asked for: one flag, all where it is null, or that an event be tracked; and its path anew. */
    record Where(String flag, boolean isTracking, String path) { }

    private Paths() {
    }

    static Where read(String target) throws Refusal {
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        if (path.equals(ALL)) {
            return new Where(null, false, ALL);
        }
        if (path.equals(TRACK)) {
            return new Where(null, true, TRACK);
        }
        if (!path.startsWith(ALL + "/")) {
            throw new Refusal(404, "other path", "nothing is here");
        }
        String flag = decoded(path.substring(ALL.length() + 1));
        if (flag.isEmpty() || flag.length() > LONGEST_FLAG || flag.equals(".") || flag.equals("..")) {
            throw new Refusal(400, "PARSE_ERROR", "no name of a flag, or one over " + LONGEST_FLAG + " long");
        }
        return new Where(flag, false, ALL + "/" + encoded(flag));
    }

    private static String decoded(String words) throws Refusal {
        if (words.indexOf('/') >= 0) {
            throw new Refusal(404, "other path", "nothing is here");
        }
        byte[] bytes = words.getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer plain = ByteBuffer.allocate(bytes.length);
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] != '%') {
                plain.put(bytes[i]);
                continue;
            }
            int high = i + 2 < bytes.length ? Character.digit(bytes[i + 1], 16) : -1;
            int low = i + 2 < bytes.length ? Character.digit(bytes[i + 2], 16) : -1;
            if (high < 0 || low < 0) {
                throw new Refusal(400, "PARSE_ERROR", "a percent sign without two digits at byte " + i
                        + " of the flag's name");
            }
            plain.put((byte) (16 * high + low));
            i += 2;
        }
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(plain.flip()).toString();
        } catch (CharacterCodingException e) {
            throw new Refusal(400, "PARSE_ERROR", "the flag's name is not UTF-8");
        }
    }

    private static String encoded(String flag) {
        StringBuilder words = new StringBuilder(flag.length());
        for (byte one : flag.getBytes(StandardCharsets.UTF_8)) {
            if (one >= 0 && (Character.isLetterOrDigit(one) || UNRESERVED.indexOf(one) >= 0)) {
                words.append((char) one);
            } else {
                words.append(String.format("%%%02X", one));
            }
        }
        return words.toString();
    }
}
