package honeygap.fleet;

/** How far a pick has come. */
public enum PickState {
    /** Decided. Nothing of its request has been written, so it has certainly not run. */
    DECIDED,
    /** Its request has begun to be written. */
    SENT,
    /** Its whole request has been handed to the system. */
    WRITTEN,
    /** It has an outcome. */
    ENDED
}
