package honeygap.flags;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The type that each flag's value has at released builds, learned from their answers. Guards against a build
 * on trial that answers whole but wrong. Bounded: the flag met longest ago makes room.
 */
final class FlagTypes {

    private static final int MAX_FLAGS = 10_000;
    /** So many released servers in a row must not know a flag before it is taken for gone. */
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

    void learn(Served answer) {
        answer.flagTypes.forEach((flag, type) -> {
            KnownFlag known = flags.computeIfAbsent(flag, name -> new KnownFlag());
            known.type = type;
            known.version = answer.newest;
            known.unknownReplies = 0;
        });
    }

    /** Whether the answer holds another type than released builds gave, at no newer version than theirs. */
    boolean hasUnexpectedType(Served answer) {
        for (Map.Entry<String, Integer> entry : answer.flagTypes.entrySet()) {
            KnownFlag known = flags.get(entry.getKey());
            if (known != null && known.type != entry.getValue()
                    && (answer.newest == Served.NO_VERSION || answer.newest <= known.version)) {
                return true;
            }
        }
        return false;
    }

    /** Whether a flag that a server does not know is known, and so the server may lag behind or be wrong. */
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
