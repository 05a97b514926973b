package honeygap.net.flagclients;

import honeygap.flags.ServerAnswer;
import honeygap.net.ofrep.OfrepRequest;

/**
 * Entity tags of bulk responses, and reason phrases of status codes. The agent derives the tags from the response
 * body, so that they are valid across servers; each also contains the newest flag-set version of the response.
 */
final class EntityTags {

    private static final int MAX_TAGS = 16;

    private EntityTags() {
    }

    static String of(ServerAnswer served) {
        return "\"" + (served.newestVersion == ServerAnswer.NO_VERSION ? "" : served.newestVersion) + "-"
                + Long.toHexString(OfrepRequest.hash(served.body)) + "\"";
    }

    /** Whether a list of tags, which may be null, contains this one; compares weakly, as RFC 9110 requires. */
    static boolean isListed(String tag, String list) {
        for (String candidate : split(list)) {
            if (candidate.equals(tag)) {
                return true;
            }
        }
        return false;
    }

    /** The newest flag-set version that a client has, according to the tags it sent. */
    static long newestVersion(String list) {
        long newest = ServerAnswer.NO_VERSION;
        for (String tag : split(list)) {
            int dash = tag.indexOf('-');
            if (dash > 1 && dash <= 19 && tag.substring(1, dash).chars().allMatch(c -> c >= '0' && c <= '9')) {
                newest = Math.max(newest, Long.parseLong(tag.substring(1, dash)));
            }
        }
        return newest;
    }

    private static String[] split(String list) {
        String[] tags = list == null ? new String[0] : list.split(",", MAX_TAGS);
        for (int i = 0; i < tags.length; i++) {
            String tag = tags[i].strip();
            tags[i] = tag.startsWith("W/") ? tag.substring(2) : tag;
        }
        return tags;
    }

    static String reasonPhrase(int status) {
        switch (status) {
            case 200:
                return "OK";
            case 202:
                return "Accepted";
            case 204:
                return "No Content";
            case 304:
                return "Not Modified";
            case 400:
                return "Bad Request";
            case 401:
                return "Unauthorized";
            case 403:
                return "Forbidden";
            case 404:
                return "Not Found";
            case 405:
                return "Method Not Allowed";
            case 408:
                return "Request Timeout";
            case 413:
                return "Content Too Large";
            case 414:
                return "URI Too Long";
            case 415:
                return "Unsupported Media Type";
            case 429:
                return "Too Many Requests";
            case 431:
                return "Request Header Fields Too Large";
            case 500:
                return "Internal Server Error";
            case 501:
                return "Not Implemented";
            case 503:
                return "Service Unavailable";
            case 505:
                return "HTTP Version Not Supported";
            default:
                return "Status";
        }
    }
}
