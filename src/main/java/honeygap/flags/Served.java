package honeygap.flags;

import java.util.Map;

/** One whole answer of a server, or one kept from earlier. */
public final class Served {

    /** Of an answer that names none: it stands in no order. */
    public static final long NO_VERSION = -1;

    public static final int NO_FLAG = 404;
    public static final int GOOD = 200;

    public final int status;
    public final byte[] body;
    /** The oldest and the newest flag-set version that it speaks of. */
    public final long oldest;
    public final long newest;
    /** Types of the values that it holds, by flag: one of the {@code Kinds} constants. */
    public final Map<String, Integer> kinds;

    public Served(int status, byte[] body, long oldest, long newest, Map<String, Integer> kinds) {
        this.status = status;
        this.body = body;
        this.oldest = oldest;
        this.newest = newest;
        this.kinds = kinds;
    }

    public boolean isGood() {
        return status == GOOD;
    }
}
