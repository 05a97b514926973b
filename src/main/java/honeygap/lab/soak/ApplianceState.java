package honeygap.lab.soak;

/** State of an appliance in the list of discovery. */
enum ApplianceState {

    SERVING, DRAINING, DELETED
}
