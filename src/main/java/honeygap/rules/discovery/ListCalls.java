package honeygap.rules.discovery;

import honeygap.fleet.Chance;
import honeygap.terms.Listing;

/** When to call discovery for the list of appliances: the first call, and retries with back-off and full jitter. */
public final class ListCalls {

    /** Part of the time for asking over which agents that have a list spread their first calls. */
    private static final double FIRST_CALL_SPREAD = 0.5;
    /** Parts of it that bound a delay: after a watch ended, after a failed call, at most, and at most where pushed. */
    private static final double RETRY_AFTER_WATCH = 0.05, RETRY_AFTER_FAILURE = 0.25, MAX_RETRY = 1, MAX_RETRY_PUSHED = 0.25;

    private final Chance random;
    private final Listing settings;
    private boolean isOpen;
    private boolean isAccepted;
    private int failures;
    private long nextCallAt;

    public ListCalls(long now, Chance random, Listing settings) {
        this.random = random;
        this.settings = settings;
        nextCallAt = now;
    }

    /** A list of an earlier process is at hand: calls of hundreds of agents at once time each other out in the queue. */
    public void known(long now) {
        nextCallAt = settings.pushed() || isOpen ? nextCallAt : now + randomDelay(FIRST_CALL_SPREAD);
    }

    /**
     * The watch has ended, or the call for one has failed. A failed call has cost discovery its time all the same:
     * made again too soon it keeps the queue full. So only a list that came, not a head, resets the back-off.
     */
    public void failed(long now) {
        boolean pushed = settings.pushed();
        double first = isAccepted || pushed ? RETRY_AFTER_WATCH : RETRY_AFTER_FAILURE, max = pushed ? MAX_RETRY_PUSHED : MAX_RETRY;
        nextCallAt = now + randomDelay(Math.min(max, first * Math.pow(2, failures)));
        failures += isAccepted ? 0 : 1;
        isOpen = false;
        isAccepted = false;
    }

    /** Discovery has taken the open call, and tells what changes. */
    public void callAccepted() {
        isAccepted = true;
        nextCallAt = Long.MAX_VALUE;
    }

    /** A list came from discovery. */
    public void answered() {
        callAccepted();
        failures = 0;
    }

    /** When a call is due: one is open at a time, and keeps its place in discovery's queue. */
    public long callAt() {
        return settings.watched() ? nextCallAt : Long.MAX_VALUE;
    }

    /** Whether to call now; again where there is no word for the whole time for asking. */
    public boolean calls(long now) {
        boolean isDue = now >= callAt();
        isOpen |= isDue;
        nextCallAt = isDue ? now + settings.askWithin() : nextCallAt;
        return isDue;
    }

    private long randomDelay(double bound) {
        return (long) (bound * random.nextUniform() * settings.askWithin());
    }
}
