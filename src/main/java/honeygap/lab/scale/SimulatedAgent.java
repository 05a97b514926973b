package honeygap.lab.scale;

import honeygap.fleet.RandomSource;
import honeygap.rules.discovery.ListCallSchedule;
import honeygap.settings.ListSettings;
import java.util.function.Consumer;

/**
 * Simulates an agent's calls to discovery: runs the agent's own code that decides when to call, on a virtual clock.
 */
public final class SimulatedAgent {

    private final VirtualClock clock;
    private final DiscoveryModel discovery;
    private final ListSettings listingSettings;
    private final long seed;
    private Consumer<Boolean> watch = answered -> { };
    private ListCallSchedule calls;
    private boolean isCurrent;
    private int restarts;

    public SimulatedAgent(VirtualClock clock, DiscoveryModel discovery, ListSettings listing, long seed) {
        this.clock = clock;
        this.discovery = discovery;
        this.listingSettings = listing;
        this.seed = seed;
    }

    /** Whether this agent has an open watch and therefore a current list. */
    public boolean isCurrent() {
        return isCurrent;
    }

    /** Starts a new process that begins with the list of the previous one. */
    public void start() {
        kill();
        calls = new ListCallSchedule(clock.now(), new RandomSource(seed + 1_000_003L * restarts++), listingSettings);
        calls.storedListLoaded(clock.now());
        schedule(calls);
    }

    /** Ends the process; responses to its open calls are discarded. */
    public void kill() {
        discovery.cancelWatch(watch);
        calls = null;
        isCurrent = false;
    }

    private void schedule(ListCallSchedule process) {
        long at = process.nextCallAt();
        if (at < Long.MAX_VALUE) {
            clock.schedule(at, () -> callIfDue(process));
        }
    }

    private void callIfDue(ListCallSchedule process) {
        if (process == calls && process.startCallIfDue(clock.now())) {
            watch = answered -> onAnswer(process, answered);
            discovery.call(watch);
        }
    }

    private void onAnswer(ListCallSchedule process, boolean answered) {
        if (process != calls) {
            return;
        }
        isCurrent = answered;
        if (answered) {
            process.listReceived();
        } else {
            process.callFailed(clock.now());
        }
        schedule(process);
    }
}
