package honeygap.net.pg;

import java.nio.ByteBuffer;

/**
 * The messages of a client before its connection is started. As PostgreSQL does, it takes at most one request for TLS and
 * one for GSS encryption, in either order, and refuses both; then a startup message of protocol version 3. A cancel
 * request may come in place of the startup. Everything else is a violation.
 */
public final class StartupSequence {

    /** What a message asks for. */
    public enum Request {
        /** Encryption, which is refused. */
        ENCRYPTION,
        /** The start of the session. */
        START,
        /** To cancel a query of another connection. */
        CANCEL
    }

    private static final int MIN_LENGTH = 4;

    private boolean hasAskedForTls;
    private boolean hasAskedForGss;

    /** Takes the body of the next message. */
    public Request next(ByteBuffer body) throws ProtocolViolation {
        if (body.remaining() < MIN_LENGTH) {
            throw new ProtocolViolation(ProtocolViolation.Kind.STARTUP, "a startup of length " + body.remaining());
        }
        switch (body.getInt(0)) {
            case PgMessages.SSL_REQUEST:
                checkFirst(hasAskedForTls);
                hasAskedForTls = true;
                return Request.ENCRYPTION;
            case PgMessages.GSSENC_REQUEST:
                checkFirst(hasAskedForGss);
                hasAskedForGss = true;
                return Request.ENCRYPTION;
            case PgMessages.PROTOCOL_3:
                return Request.START;
            case PgMessages.CANCEL_REQUEST:
                return Request.CANCEL;
            default:
                throw new ProtocolViolation(ProtocolViolation.Kind.STARTUP, "an unknown protocol version");
        }
    }

    private static void checkFirst(boolean hasAsked) throws ProtocolViolation {
        if (hasAsked) {
            throw new ProtocolViolation(ProtocolViolation.Kind.REPEATED_ENCRYPTION_REQUEST,
                    "encryption was refused already");
        }
    }
}
