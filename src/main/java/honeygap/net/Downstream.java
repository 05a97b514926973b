package honeygap.net;

/**
 * The downstream side of a protocol: reads RPCs from clients, passes them to the rules and writes their final answers
 * ({@link Call}).
 */
public interface Downstream extends Counters.Group {

    /** Creates the handler of a connection that was just accepted. */
    ConnectionHandler newHandler();

    /** From now on closes each connection as soon as no RPC is open on it. */
    void closeBetweenRpcs();

    /** Refuses clients and closes connections between RPCs, or accepts clients again. */
    void setDrained(boolean isDrained);

    /** The number of open connections. */
    int connectionCount();
}
