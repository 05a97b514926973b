package honeygap.wire;

/** What the simulator sent does not make sense; the message names the fault. */
final class Malformed extends Exception {

    private static final long serialVersionUID = 1L;

    Malformed(String fault) {
        super(fault);
    }
}
