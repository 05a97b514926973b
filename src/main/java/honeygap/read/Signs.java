package honeygap.read;

/** Signs of comparison, as operators type them in filters and selectors. */
public final class Signs {

    private Signs() {
    }

    /** Whether an order, below, at or above 0, is what the sign asks for. */
    public static boolean holds(String operator, int comparison) {
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
