package honeygap.config;

/** Thrown for input that cannot be parsed or is not valid; the message says what is wrong with it. */
public class Malformed extends Exception {

    private static final long serialVersionUID = 1L;

    /** Without a stack trace, which costs more than the rest of the rejection: input decides how often it is thrown. */
    public Malformed(String message) {
        super(message, null, false, false);
    }
}
