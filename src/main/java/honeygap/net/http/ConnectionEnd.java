package honeygap.net.http;

/** Why a connection to an HTTP server ended without the caller closing it. */
public enum ConnectionEnd {
    /** The connection was refused or never came up: nothing of the request was sent. */
    UNREACHABLE,
    /** The peer closed or reset the connection. */
    CLOSED,
    /** The response violated HTTP or the protocol above it. */
    UNREADABLE
}
