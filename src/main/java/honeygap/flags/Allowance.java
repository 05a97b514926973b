package honeygap.flags;

import java.util.List;

/**
 * For how long the last good answer may stand in for one that can't be had, by flag: as cached up to one age,
 * as stale up to another, in tenths of a millisecond.
 */
public record Allowance(String flags, long cachedFor, long staleFor) {

    static final Allowance NONE = new Allowance("", 0, 0);

    /** Stars stand for any words; the bulk of all flags goes by the name of none. */
    boolean appliesTo(String flag) {
        return matches(flags, 0, flag == null ? "" : flag, 0);
    }

    private static boolean matches(String pattern, int patternFrom, String text, int textFrom) {
        int star = pattern.indexOf('*', patternFrom);
        if (star < 0) {
            return pattern.substring(patternFrom).equals(text.substring(textFrom));
        }
        if (!text.startsWith(pattern.substring(patternFrom, star), textFrom)) {
            return false;
        }
        for (int textNext = textFrom + star - patternFrom; textNext <= text.length(); textNext++) {
            if (matches(pattern, star + 1, text, textNext)) {
                return true;
            }
        }
        return false;
    }

    /** The first that covers a flag. */
    static Allowance forFlag(List<Allowance> policies, String flag) {
        return policies.stream().filter(policy -> policy.appliesTo(flag)).findFirst().orElse(NONE);
    }
}
