package honeygap.config;

/** Comparison operators of filters and selectors. */
public final class ComparisonOperators {

    private ComparisonOperators() {
    }

    /** Whether the result of a comparison (negative, zero or positive) satisfies an operator. */
    public static boolean matches(String operator, int comparison) {
        switch (operator) {
            case "=", "==":
                return comparison == 0;
            case "!=":
                return comparison != 0;
            case "<":
                return comparison < 0;
            case "<=":
                return comparison <= 0;
            case ">":
                return comparison > 0;
            default:
                return comparison >= 0;
        }
    }
}
