package honeygap.flags;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The type that each flag's value has at released builds, learned from their answers. Guards against a build
 * on trial that answers whole but wrong. Bounded: the flag met longest ago makes room.
 */
final class Kinds {

    private static final int MOST = 10_000;
    /** So many released servers in a row must not know a flag before it is taken for gone. */
    private static final int DOUBTS = 3;

    private static final class Known {
        int kind;
        long version;
        int doubts;
    }

    private final Map<String, Known> flags = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Known> eldest) {
            return size() > MOST;
        }
    };

    void learn(Served served) {
        served.kinds.forEach((flag, kind) -> {
            Known known = flags.computeIfAbsent(flag, name -> new Known());
            known.kind = kind;
            known.version = served.newest;
            known.doubts = 0;
        });
    }

    /** Whether the answer holds another type than released builds gave, at no newer version than theirs. */
    boolean isOdd(Served served) {
        for (Map.Entry<String, Integer> one : served.kinds.entrySet()) {
            Known known = flags.get(one.getKey());
            if (known != null && known.kind != one.getValue()
                    && (served.newest == Served.NO_VERSION || served.newest <= known.version)) {
                return true;
            }
        }
        return false;
    }

    /** Whether a flag that a server does not know is known, and so the server may lag behind or be wrong. */
    boolean isKnown(String flag, boolean released) {
        Known known = flags.get(flag);
        if (known == null) {
            return false;
        }
        if (released && ++known.doubts > DOUBTS) {
            flags.remove(flag);
            return false;
        }
        return true;
    }
}
