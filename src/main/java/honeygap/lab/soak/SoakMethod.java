package honeygap.lab.soak;

/** Methods called by the clients of a soak run, one for each kind of effect. */
enum SoakMethod {

    READ("read", "read_like"),
    BOOK("book", "idempotency_key"),
    ASSIGN("assign", "non_idempotent");

    /** How long an appliance remembers the idempotency key of an answered request. */
    static final long TOKEN_WINDOW_MS = 5000;

    final String label;
    final String effect;

    SoakMethod(String label, String effect) {
        this.label = label;
        this.effect = effect;
    }

    static SoakMethod ofLabel(String label) {
        for (SoakMethod method : values()) {
            if (method.label.equals(label)) {
                return method;
            }
        }
        throw new IllegalArgumentException("unknown method " + label);
    }
}
