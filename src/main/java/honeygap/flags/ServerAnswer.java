package honeygap.flags;

import java.util.Map;

/** A complete answer of a server, either just received or taken from the cache. */
public final class ServerAnswer {

    /** The version of an answer that names none; it is not ordered relative to other answers. */
    public static final long NO_VERSION = -1;

    /** HTTP status codes of the flag API. */
    public static final int STATUS_FLAG_NOT_FOUND = 404;
    public static final int STATUS_OK = 200;

    public final int status;
    public final byte[] body;
    /** The oldest and the newest flag-set version among its flags. */
    public final long oldestVersion;
    public final long newestVersion;
    /** Value types by flag, as type codes of the response parser. */
    public final Map<String, Integer> flagTypes;

    public ServerAnswer(int status, byte[] body, long oldestVersion, long newestVersion, Map<String, Integer> flagTypes) {
        this.status = status;
        this.body = body;
        this.oldestVersion = oldestVersion;
        this.newestVersion = newestVersion;
        this.flagTypes = flagTypes;
    }

    public boolean isOk() {
        return status == STATUS_OK;
    }
}
