package honeygap.lab.soak;

/**
 * A fault of a plan.
 *
 * @param atMs start in milliseconds after the start of the load
 * @param durationMs duration in milliseconds; 0 for a fault without duration
 * @param target number of the affected agent or appliance; its parity decides the direction of a clock step;
 *     unused for faults of discovery and the desk
 */
record PlannedFault(FaultKind kind, long atMs, long durationMs, int target) {

    @Override
    public String toString() {
        return String.format("%.1f s %s %d%s", atMs / 1000.0, kind, target,
                durationMs > 0 ? String.format(" for %.1f s", durationMs / 1000.0) : "");
    }
}
