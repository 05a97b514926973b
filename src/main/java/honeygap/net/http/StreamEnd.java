package honeygap.net.http;

import java.util.Locale;

/**
 * How a streamed response ended.
 *
 * @param cause why it ended
 * @param status the HTTP status of the response, or 0 if no head was received
 */
public record StreamEnd(Cause cause, int status) {

    /** Why a streamed response ended. */
    public enum Cause {
        /** The response was complete. */
        COMPLETE,
        /** The connection was refused or never came up. */
        UNREACHABLE,
        /** The peer closed or reset the connection before the response was complete. */
        CLOSED,
        /** The response was malformed. */
        UNREADABLE,
        /** No response head arrived in time. */
        NO_ANSWER,
        /** After the head, nothing arrived for too long. */
        SILENT,
        /** The status was not 200. */
        STATUS
    }

    /** Whether the response was complete. */
    public boolean isComplete() {
        return cause == Cause.COMPLETE;
    }

    /** The name under which ends of this kind are counted and logged. */
    public String kind() {
        return cause == Cause.STATUS ? "status " + status : cause.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
