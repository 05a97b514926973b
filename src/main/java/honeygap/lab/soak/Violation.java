package honeygap.lab.soak;

/**
 * A violation of a rule that the checker found in the record of a run.
 *
 * @param rule short name of the rule
 * @param atMs time of the violation in milliseconds of the run's clock; Long.MAX_VALUE for the end of the run
 * @param requestId id of the request, or empty
 * @param description what was observed
 */
record Violation(String rule, long atMs, String requestId, String description) {

    @Override
    public String toString() {
        return String.format("%s at %.3f s%s: %s", rule, atMs / 1000.0, requestId.isEmpty() ? "" : ", request " + requestId,
                description);
    }
}
