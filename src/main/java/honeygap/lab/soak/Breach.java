package honeygap.lab.soak;

/**
 * A broken rule.
 *
 * @param rule its short name
 * @param at when, in milliseconds of the run's clock
 * @param id the request's, or empty
 */
record Breach(String rule, long at, String id, String what) {

    @Override
    public String toString() {
        return String.format("%s at %.3f s%s: %s", rule, at / 1000.0, id.isEmpty() ? "" : ", request " + id, what);
    }
}
