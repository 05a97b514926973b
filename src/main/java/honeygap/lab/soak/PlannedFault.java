package honeygap.lab.soak;

/**
 * One fault of a plan.
 *
 * @param atMs when it begins, from the start of the load
 * @param forMs how long it lasts; 0 where it does not last
 * @param target the number of the agent or appliance that it strikes; without meaning for the others
 */
record PlannedFault(FaultKind kind, long atMs, long durationMs, int target) {

    @Override
    public String toString() {
        return String.format("%.1f s %s %d%s", atMs / 1000.0, kind, target,
                durationMs > 0 ? String.format(" for %.1f s", durationMs / 1000.0) : "");
    }
}
