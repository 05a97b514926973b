package honeygap.lab.soak;

/** The methods that clients of a soak run call, one for each kind of effect. */
enum SoakMethod {

    READ("read", "read_like"),
    BOOK("book", "idempotency_key"),
    ASSIGN("assign", "non_idempotent");

    /** For so long an appliance knows a key that it has answered. */
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
        throw new IllegalArgumentException("no method " + label);
    }
}
