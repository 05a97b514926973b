package honeygap.net.http;

import honeygap.read.Malformed;

/** A rejected request: the response status, the kind under which the rejection is counted, and a message. */
public final class Refusal extends Malformed {

    private static final long serialVersionUID = 1;

    public final int status;
    public final String kind;

    public Refusal(int status, String kind, String message) {
        super(message);
        this.status = status;
        this.kind = kind;
    }
}
