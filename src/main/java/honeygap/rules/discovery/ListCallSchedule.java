package honeygap.rules.discovery;

import honeygap.fleet.RandomSource;
import honeygap.settings.ListSettings;

/**
 * Schedules calls to discovery for the list of appliances: the first call, and retries with back-off and full jitter.
 */
public final class ListCallSchedule {

    /** Share of the call interval over which agents that have a stored list spread their first calls. */
    private static final double FIRST_CALL_SPREAD = 0.5;
    /**
     * Bounds of a retry delay, as shares of the call interval: after a watch has ended, after a failed call, the
     * maximum, and the maximum if changes are pushed.
     */
    private static final double RETRY_AFTER_WATCH = 0.05, RETRY_AFTER_FAILURE = 0.25,
            MAX_RETRY = 1, MAX_RETRY_PUSHED = 0.25;

    private final RandomSource random;
    private final ListSettings settings;
    private boolean isOpen;
    private boolean isAccepted;
    private int failures;
    private long nextCallAt;

    public ListCallSchedule(long now, RandomSource random, ListSettings settings) {
        this.random = random;
        this.settings = settings;
        nextCallAt = now;
    }

    /**
     * A list stored by an earlier process was loaded, so the first call can wait. If hundreds of agents called at once,
     * their calls would time out in discovery's queue.
     */
    public void storedListLoaded(long now) {
        nextCallAt = settings.pushed() || isOpen ? nextCallAt : now + randomDelay(FIRST_CALL_SPREAD);
    }

    /**
     * The watch has ended, or the call for one has failed. A failed call still uses discovery's time, and an early
     * retry keeps its queue full. So only a received list resets the back-off; an accepted call alone does not.
     */
    public void callFailed(long now) {
        boolean pushed = settings.pushed();
        double first = isAccepted || pushed ? RETRY_AFTER_WATCH : RETRY_AFTER_FAILURE,
                max = pushed ? MAX_RETRY_PUSHED : MAX_RETRY;
        nextCallAt = now + randomDelay(Math.min(max, first * Math.pow(2, failures)));
        failures += isAccepted ? 0 : 1;
        isOpen = false;
        isAccepted = false;
    }

    /** Discovery has accepted the open call and will report changes. */
    public void callAccepted() {
        isAccepted = true;
        nextCallAt = Long.MAX_VALUE;
    }

    /** A list was received from discovery. */
    public void listReceived() {
        callAccepted();
        failures = 0;
    }

    /**
     * When the next call is due. Only one call is open at a time, so that it keeps its position in discovery's queue.
     */
    public long nextCallAt() {
        return settings.watched() ? nextCallAt : Long.MAX_VALUE;
    }

    /** Whether to call now; an open call that gets no response for the whole call interval is repeated. */
    public boolean startCallIfDue(long now) {
        boolean isDue = now >= nextCallAt();
        isOpen |= isDue;
        nextCallAt = isDue ? now + settings.callInterval() : nextCallAt;
        return isDue;
    }

    private long randomDelay(double bound) {
        return (long) (bound * random.nextUniform() * settings.callInterval());
    }
}
