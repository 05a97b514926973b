package honeygap.capture.message;

import honeygap.capture.packet.Address;
import honeygap.net.pg.PgMessages;

/** One RPC decoded from a capture: request, response, and timing. */
public final class RecordedRpc {

    /**
     * How the RPC ended: successfully, pushed back, with an error, without a response in the capture, or with bytes
     * missing from the capture.
     */
    public enum Outcome {
        served, refused, failed, open, torn;

        /** Maps the SQLSTATE of a PostgreSQL error to an outcome. */
        public static Outcome ofSqlState(String sqlState) {
            return sqlState.equals(PgMessages.TOO_MANY_CONNECTIONS) || sqlState.equals("57P03") ? refused : failed;
        }

        /** Maps an HTTP status of the flag API to an outcome. */
        public static Outcome ofHttpStatus(int status) {
            return status == 429 || status == 503 ? refused : status >= 500 || status == 408 ? failed : served;
        }
    }

    public String protocol;
    /** The connection's number in the capture, from 1. */
    public long connection;
    public Address client;
    public Address server;
    public String method = "";
    public String id = "";
    public String tenant = "";
    /** The key in plain text; empty if the RPC has none. */
    public String key = "";
    /** Whether the message itself shows that the RPC only reads, so that repeating it is safe. */
    public boolean isReadOnly;
    /** When the request's last byte was seen, in nanoseconds since the Unix epoch. */
    public long requestTimeNs;
    /** Nanoseconds from the request's last byte to the response's; negative if unknown. */
    public long durationNs = -1;
    public Outcome outcome = Outcome.open;
    /** The protocol's result code: a SQLSTATE or an HTTP status. */
    public String code = "";
    /** The client's deadline in milliseconds; 0 if it sent none. */
    public long deadlineMs;
    /** The complete request and response messages. */
    public byte[] request = {};
    public byte[] response = {};
    /** Start and end offsets of the key in the request. */
    public int keyStart;
    public int keyEnd;
}
