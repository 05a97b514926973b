package honeygap.lab.soak;

/**
 * A broken rule.
 *
 * @param rule its short name
 * @param at when, in milliseconds of the run's clock
 * @param id the request's, or empty
 */
record Violation(String rule, long atMs, String requestId, String description) {

    @Override
    public String toString() {
        return String.format("%s at %.3f s%s: %s", rule, atMs / 1000.0, requestId.isEmpty() ? "" : ", request " + requestId, description);
    }
}
