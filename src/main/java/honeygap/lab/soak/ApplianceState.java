package honeygap.lab.soak;

/** What discovery says of an appliance. */
enum ApplianceState {

    SERVING, DRAINING, DELETED
}
