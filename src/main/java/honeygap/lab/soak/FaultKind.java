package honeygap.lab.soak;

/**
 * Faults that a soak run injects into agents and the services around them. Plans draw constants by ordinal and
 * recognise agent faults by the prefix AGENT.
 */
enum FaultKind {
    /** Killed by SIGKILL; restarted a little later at the same address with its last list. */
    AGENT_KILLED(false),
    /** SIGTERM under load, maybe more signals, then SIGKILL at the earliest time allowed; restarted after its end. */
    AGENT_TERMINATED(false),
    /** SIGHUP: the configuration files are reloaded, twice in a row. */
    AGENT_HUNG_UP(false),
    /** Paused by SIGSTOP, resumed by SIGCONT. */
    AGENT_STOPPED(true),
    /** The wall clock of all processes steps by an hour, forwards or backwards. */
    CLOCK_STEPPED(false),
    /** Watches are closed, and calls fail after two seconds. */
    DISCOVERY_DOWN(true),
    /** Open watches stay connected but send nothing; new calls are processed as usual. */
    DISCOVERY_SILENT(false),
    /** Responses to new calls are truncated to half their length. */
    DISCOVERY_SPOILT(true),
    /** The rollout desk answers neither votes nor status requests. */
    DESK_DOWN(true),
    /** The appliance drains, ends, and is replaced by another process with the same name. */
    APPLIANCE_REPLACED(false),
    /** Refuses all requests although it is listed as serving. */
    APPLIANCE_REFUSES(true),
    /** Resets the connection when a request has arrived. */
    APPLIANCE_RESETS(true),
    /** Reads requests but never answers. */
    APPLIANCE_HANGS(true),
    /** Writes its responses a few bytes at a time. */
    APPLIANCE_DRIBBLES(true),
    /** Writes each response a second time some milliseconds later. */
    APPLIANCE_REPEATS(true),
    /** Closes all of its open connections. */
    APPLIANCE_CLOSES(false);

    /** Whether the fault lasts for a period and then ends. */
    final boolean hasDuration;

    FaultKind(boolean lasts) {
        this.hasDuration = lasts;
    }
}
