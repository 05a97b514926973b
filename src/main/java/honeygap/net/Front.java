package honeygap.net;

/** Who asks: opens RPCs, tells the module of them and takes their final answers ({@link Call}). */
public interface Front extends Counters.Group {

    /** The end of a connection that has just come in. */
    Peer comer();

    /** From now on connections are closed between RPCs. */
    void leave();

    /** Takes nobody and closes connections between RPCs, or takes them again. */
    void drain(boolean isDrained);

    /** How many connections there are. */
    int count();
}
