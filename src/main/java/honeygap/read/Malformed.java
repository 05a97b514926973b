package honeygap.read;

/** What came in does not make sense; the message names the fault. */
public class Malformed extends Exception {

    private static final long serialVersionUID = 1L;

    public Malformed(String message) {
        super(message);
    }
}
