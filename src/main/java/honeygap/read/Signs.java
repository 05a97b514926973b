package honeygap.read;

/** Signs of comparison, as operators type them in filters and selectors. */
public final class Signs {

    private Signs() {
    }

    /** Whether an order, below, at or above 0, is what the sign asks for. */
    public static boolean holds(String sign, int order) {
        switch (sign) {
            case "=", "==":
                return order == 0;
            case "!=":
                return order != 0;
            case "<":
                return order < 0;
            case "<=":
                return order <= 0;
            case ">":
                return order > 0;
            default:
                return order >= 0;
        }
    }
}
