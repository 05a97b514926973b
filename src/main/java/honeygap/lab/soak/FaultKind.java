package honeygap.lab.soak;

/** What a soak run does to its processes and their surroundings. */
enum FaultKind {
    /** SIGKILL; started again at the same address a little later, with the list that it had. */
    AGENT_KILLED(false),
    /** SIGTERM while clients go on, more signals, SIGKILL at the earliest; and a new process when it has ended. */
    AGENT_TERMINATED(false),
    /** SIGHUP: the files are read again. */
    AGENT_HUNG_UP(false),
    /** SIGSTOP, and SIGCONT when it is over. */
    AGENT_STOPPED(true),
    /** The wall clock of all processes is stepped by an hour, forward or back. */
    CLOCK_STEPPED(false),
    /** Watches end, calls fail after two seconds. */
    DISCOVERY_DOWN(true),
    /** Open watches stay and say nothing; calls are taken as always. */
    DISCOVERY_SILENT(false),
    /** The answer to the next calls is cut in half. */
    DISCOVERY_SPOILT(true),
    /** Votes and news are not answered. */
    DESK_DOWN(true),
    /** Drains, goes, and comes back as another process under its name. */
    APPLIANCE_REPLACED(false),
    /** Turns all requests away though it is listed as serving. */
    APPLIANCE_REFUSES(true),
    /** Resets each connection when a request has come. */
    APPLIANCE_RESETS(true),
    /** Takes requests and answers none. */
    APPLIANCE_HANGS(true),
    /** Writes its answers a few bytes at a time. */
    APPLIANCE_DRIBBLES(true),
    /** Writes each answer a second time, some milliseconds later. */
    APPLIANCE_REPEATS(true),
    /** Closes all of its connections at once. */
    APPLIANCE_CLOSES(false);

    /** Whether it lasts for a while and then ends. */
    final boolean hasDuration;

    FaultKind(boolean lasts) {
        this.hasDuration = lasts;
    }
}
