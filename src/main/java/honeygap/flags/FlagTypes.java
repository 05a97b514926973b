package honeygap.flags;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The value type of each flag at released builds, learned from their answers. Detects a build on trial whose answers
 * are well-formed but have the wrong type. The number of flags is bounded; the least recently used one is evicted.
 */
final class FlagTypes {

    private static final int MAX_FLAGS = 10_000;
    /**
     * After more than this many replies in a row from released servers that do not know a flag, it counts as deleted.
     */
    private static final int MAX_UNKNOWN_REPLIES = 3;

    private static final class KnownFlag {
        int type;
        long version;
        int unknownReplies;
    }

    private final Map<String, KnownFlag> flags = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, KnownFlag> eldest) {
            return size() > MAX_FLAGS;
        }
    };

    void learn(ServerAnswer answer) {
        answer.flagTypes.forEach((flag, type) -> {
            KnownFlag known = flags.computeIfAbsent(flag, name -> new KnownFlag());
            known.type = type;
            known.version = answer.newestVersion;
            known.unknownReplies = 0;
        });
    }

    /** Whether the answer has a value type other than that of released builds, at a version no newer than theirs. */
    boolean hasUnexpectedType(ServerAnswer answer) {
        for (Map.Entry<String, Integer> entry : answer.flagTypes.entrySet()) {
            KnownFlag known = flags.get(entry.getKey());
            if (known != null && known.type != entry.getValue()
                    && (answer.newestVersion == ServerAnswer.NO_VERSION || answer.newestVersion <= known.version)) {
                return true;
            }
        }
        return false;
    }

    /** Whether a flag that a server does not know is known from others, so that the server may be outdated or wrong. */
    boolean isKnown(String flag, boolean isReleased) {
        KnownFlag known = flags.get(flag);
        if (known == null) {
            return false;
        }
        if (isReleased && ++known.unknownReplies > MAX_UNKNOWN_REPLIES) {
            flags.remove(flag);
            return false;
        }
        return true;
    }
}
