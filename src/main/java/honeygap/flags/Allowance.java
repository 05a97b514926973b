package honeygap.flags;

import java.util.List;

/**
 * For how long the last good answer may stand in for one that can't be had, by flag: as cached up to one age,
 * as stale up to another, in tenths of a millisecond.
 */
public record Allowance(String flags, long cachedFor, long staleFor) {

    static final Allowance NONE = new Allowance("", 0, 0);

    /** Stars stand for any words; the bulk of all flags goes by the name of none. */
    boolean covers(String flag) {
        return matches(flags, 0, flag == null ? "" : flag, 0);
    }

    private static boolean matches(String pattern, int at, String word, int from) {
        int star = pattern.indexOf('*', at);
        if (star < 0) {
            return pattern.substring(at).equals(word.substring(from));
        }
        if (!word.startsWith(pattern.substring(at, star), from)) {
            return false;
        }
        for (int next = from + star - at; next <= word.length(); next++) {
            if (matches(pattern, star + 1, word, next)) {
                return true;
            }
        }
        return false;
    }

    /** The first that covers a flag. */
    static Allowance of(List<Allowance> all, String flag) {
        return all.stream().filter(one -> one.covers(flag)).findFirst().orElse(NONE);
    }
}
