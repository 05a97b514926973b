package honeygap.capture.message;

import honeygap.capture.packet.Address;
import honeygap.net.pg.Words;

/** One RPC as a capture has it: what was asked, what was answered, and when. */
public final class Spoken {

    /** How it ended: well, pushed back, with an error, not in the capture, or with bytes of it missing. */
    public enum Outcome {
        served, refused, failed, open, torn;

        /** What an error of PostgreSQL's protocol comes to, by its code. */
        public static Outcome ofSqlState(String sqlState) {
            return sqlState.equals(Words.TOO_MANY) || sqlState.equals("57P03") ? refused : failed;
        }

        /** What an answer of the flag API comes to, by its status. */
        public static Outcome ofHttpStatus(int status) {
            return status == 429 || status == 503 ? refused : status >= 500 || status == 408 ? failed : served;
        }
    }

    public String protocol;
    /** Of the capture, counted from 1. */
    public long connection;
    public Address client;
    public Address server;
    public String method = "";
    public String id = "";
    public String tenant = "";
    /** Its key in the clear; empty where it has none. */
    public String key = "";
    /** Whether repeating it is surely harmless, as far as the message itself tells. */
    public boolean isReadOnly;
    /** Nanoseconds since 1970 of the request's last byte, and from then to the answer's; under 0 where unknown. */
    public long at;
    public long took = -1;
    public Outcome outcome = Outcome.open;
    /** The protocol's own word for it: an error's code, a status. */
    public String code = "";
    /** How long the client would wait, in milliseconds; 0 where it does not say. */
    public long deadlineMs;
    /** The message asked, and what was answered, whole. */
    public byte[] request = {};
    public byte[] answer = {};
    /** Where the key and the value stand in them: begin and end. */
    public int keyStart;
    public int keyEnd;
}
