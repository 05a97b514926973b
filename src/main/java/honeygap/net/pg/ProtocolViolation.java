package honeygap.net.pg;

import honeygap.config.Malformed;

/** Input that the PostgreSQL protocol, or the part of it that is spoken here, does not allow; it ends the connection. */
public final class ProtocolViolation extends Malformed {

    private static final long serialVersionUID = 1L;

    /** Kinds of violations, which are counted apart. */
    public enum Kind {
        /** The declared length of a message is negative or exceeds the limit. */
        MESSAGE_LENGTH("message length"),
        /** A message before the startup is too short or asks for another protocol. */
        STARTUP("startup"),
        /** Encryption is asked for a second time. */
        REPEATED_ENCRYPTION_REQUEST("repeated encryption request"),
        /** A message of a type that is not taken. */
        MESSAGE_TYPE("message type"),
        /** A query whose text is not terminated. */
        UNTERMINATED_QUERY("unterminated query"),
        /** More messages or bytes wait behind an open RPC than are allowed. */
        QUEUE("queue");

        /** The name in counters. */
        public final String label;

        Kind(String label) {
            this.label = label;
        }
    }

    /** What was violated. */
    public final Kind kind;

    /** Creates a violation with a message for the client. */
    public ProtocolViolation(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }
}
