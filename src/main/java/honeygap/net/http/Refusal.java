package honeygap.net.http;

import honeygap.read.Malformed;

/** A request that is turned down: the status that says so, the kind that it is counted by, what and where. */
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
