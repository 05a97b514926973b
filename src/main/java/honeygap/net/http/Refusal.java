package honeygap.net.http;

import honeygap.config.Malformed;

/** A rejected request: the response status, the kind under which the rejection is counted, and a message. */
public final class Refusal extends Malformed {

    private static final long serialVersionUID = 1;

    /** The status of the HTTP response. */
    public final int status;
    /** The name under which rejections of this kind are counted; an OFREP error code if the response has one. */
    public final String kind;

    /** Creates a rejection with this message. */
    public Refusal(int status, String kind, String message) {
        super(message);
        this.status = status;
        this.kind = kind;
    }
}
