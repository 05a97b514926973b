package honeygap.config;

/** Thrown for input that cannot be parsed or is not valid; the message says what is wrong with it. */
public class Malformed extends Exception {

    private static final long serialVersionUID = 1L;

    public Malformed(String message) {
        super(message);
    }
}
