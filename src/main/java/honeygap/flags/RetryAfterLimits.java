package honeygap.flags;

import honeygap.fleet.Appliance;
import honeygap.fleet.Zone;
import java.util.ArrayList;
import java.util.List;

/**
 * Applies the retry-after delays that servers report. The server receives no picks until its delay has passed, and its
 * zone is limited to the number of picks that its other servers had in flight at that moment, so that the load shed by
 * one server does not overload its neighbours. While two servers of a zone are backing off, the whole zone
 * receives no picks until the first of the delays has passed.
 */
public final class RetryAfterLimits {

    private final long maxRetryAfter;
    private final List<Appliance> backingOff = new ArrayList<>();
    private long now;
    private long reportedCount;

    /** Longer delays are cut to the maximum, in tenths of a millisecond. */
    public RetryAfterLimits(long maxRetryAfter) {
        this.maxRetryAfter = maxRetryAfter;
    }

    public void setNow(long now) {
        this.now = now;
    }

    /** A server has asked for no further picks for this long, in tenths of a millisecond. */
    public void retryAfterReceived(Appliance appliance, long retryAfter) {
        reportedCount++;
        long until = now + Math.max(0, Math.min(retryAfter, maxRetryAfter));
        backingOff.removeIf(other -> other == appliance || other.retryAfterUntil <= now);
        appliance.retryAfterUntil = Math.max(appliance.retryAfterUntil, until);
        backingOff.add(appliance);
        Zone location = appliance.zone;
        boolean hasOther = backingOff.stream().anyMatch(other -> other != appliance && other.zone == location);
        location.limitedUntil = backingOff.stream().filter(other -> other.zone == location)
                .mapToLong(other -> other.retryAfterUntil).min().orElse(until);
        location.maxInFlight = hasOther ? 0 : Math.max(1, location.inFlight - appliance.limit.inFlight);
    }

    /** The time until the first of the servers that are backing off accepts picks again; 0 if there is none. */
    public long timeUntilAvailable() {
        long first = backingOff.stream().mapToLong(appliance -> appliance.retryAfterUntil)
                .filter(until -> until > now).min().orElse(now);
        return first - now;
    }

    /** Number of delays reported since the start. */
    public long reportedCount() {
        return reportedCount;
    }
}
