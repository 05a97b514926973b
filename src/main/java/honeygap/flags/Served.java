package honeygap.flags;

import java.util.Map;

/** One whole answer of a server, or one kept from earlier. */
public final class Served {

    /** Of an answer that names none: it stands in no order. */
    public static final long NO_VERSION = -1;

    public static final int STATUS_FLAG_NOT_FOUND = 404;
    public static final int GOOD = 200;

    public final int status;
    public final byte[] body;
    /** The oldest and the newest flag-set version that it speaks of. */
    public final long oldestVersion;
    public final long newest;
    /** Types of the values that it holds, by flag: one of the {@code Kinds} constants. */
    public final Map<String, Integer> flagTypes;

    public Served(int status, byte[] body, long oldestVersion, long newestVersion, Map<String, Integer> flagTypes) {
        this.status = status;
        this.body = body;
        this.oldestVersion = oldestVersion;
        this.newest = newestVersion;
        this.flagTypes = flagTypes;
    }

    public boolean isGood() {
        return status == GOOD;
    }
}
