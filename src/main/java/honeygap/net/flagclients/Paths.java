package honeygap.net.flagclients;

import honeygap.net.http.Refusal;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Parses the paths of OFREP and the additional path for tracking events. */
final class Paths {

    private static final String EVALUATE = "/ofrep/v1/evaluate/flags";
    private static final String TRACK = "/ofrep/v1/track";
    private static final int MAX_FLAG_LENGTH = 256;
    private static final String UNRESERVED = "-._~";

    /**
     * What a request asks for.
     *
     * @param flag the flag to evaluate; null for all flags or for a tracking event
     * @param isTracking whether an event is to be tracked
     * @param path the path in canonical encoding
     */
    record Route(String flag, boolean isTracking, String path) { }

    private Paths() {
    }

    static Route parse(String target) throws Refusal {
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        if (path.equals(EVALUATE)) {
            return new Route(null, false, EVALUATE);
        }
        if (path.equals(TRACK)) {
            return new Route(null, true, TRACK);
        }
        if (!path.startsWith(EVALUATE + "/")) {
            throw new Refusal(404, "other path", "nothing is here");
        }
        String flag = percentDecode(path.substring(EVALUATE.length() + 1));
        if (flag.isEmpty() || flag.length() > MAX_FLAG_LENGTH || flag.equals(".") || flag.equals("..")) {
            throw new Refusal(400, "PARSE_ERROR", "no name of a flag, or one over " + MAX_FLAG_LENGTH + " long");
        }
        return new Route(flag, false, EVALUATE + "/" + percentEncode(flag));
    }

    private static String percentDecode(String text) throws Refusal {
        if (text.indexOf('/') >= 0) {
            throw new Refusal(404, "other path", "nothing is here");
        }
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer decoded = ByteBuffer.allocate(bytes.length);
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] != '%') {
                decoded.put(bytes[i]);
                continue;
            }
            int high = i + 2 < bytes.length ? Character.digit(bytes[i + 1], 16) : -1;
            int low = i + 2 < bytes.length ? Character.digit(bytes[i + 2], 16) : -1;
            if (high < 0 || low < 0) {
                throw new Refusal(400, "PARSE_ERROR", "a percent sign without two digits at byte " + i
                        + " of the flag's name");
            }
            decoded.put((byte) (16 * high + low));
            i += 2;
        }
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(decoded.flip()).toString();
        } catch (CharacterCodingException e) {
            throw new Refusal(400, "PARSE_ERROR", "the flag's name is not UTF-8");
        }
    }

    private static String percentEncode(String flag) {
        StringBuilder encoded = new StringBuilder(flag.length());
        for (byte octet : flag.getBytes(StandardCharsets.UTF_8)) {
            if (octet >= 0 && (Character.isLetterOrDigit(octet) || UNRESERVED.indexOf(octet) >= 0)) {
                encoded.append((char) octet);
            } else {
                encoded.append(String.format("%%%02X", octet));
            }
        }
        return encoded.toString();
    }
}
