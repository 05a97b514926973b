package honeygap.flags;

import java.util.List;

/**
 * How long the last good answer of matching flags may be used when no server answers: up to one age it is reported as
 * cached, up to another as stale. Ages are in tenths of a millisecond.
 */
public record FallbackPolicy(String flagPattern, long cachedFor, long staleFor) {

    static final FallbackPolicy NONE = new FallbackPolicy("", 0, 0);

    /** Matches the pattern, in which a star stands for any text; a bulk evaluation (null) matches as an empty name. */
    boolean appliesTo(String flag) {
        return matches(flagPattern, 0, flag == null ? "" : flag, 0);
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

    /** Returns the first policy that applies to a flag. */
    static FallbackPolicy forFlag(List<FallbackPolicy> policies, String flag) {
        return policies.stream().filter(policy -> policy.appliesTo(flag)).findFirst().orElse(NONE);
    }
}
