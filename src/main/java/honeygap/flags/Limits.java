package honeygap.flags;

import honeygap.fleet.Appliance;
import honeygap.fleet.Location;
import java.util.ArrayList;
import java.util.List;

/**
 * What servers say of when to come back. The one that says so gets nothing until then, and its location no
 * more picks at once than its other servers had in hand at that moment: what one server turns away must not
 * push its neighbours over. Two that say so at once bar the whole location until the first of them opens.
 */
public final class Limits {

    private final long maxRetryAfter;
    private final List<Appliance> backingOff = new ArrayList<>();
    private long now;
    private long reportedCount;

    /** No word of a server holds for longer, in tenths of a millisecond. */
    public Limits(long maxRetryAfter) {
        this.maxRetryAfter = maxRetryAfter;
    }

    public void now(long now) {
        this.now = now;
    }

    /** A server with so many picks still out wants none for so long. */
    public void told(Appliance appliance, long retryAfter) {
        reportedCount++;
        long until = now + Math.max(0, Math.min(retryAfter, maxRetryAfter));
        backingOff.removeIf(other -> other == appliance || other.barredUntil <= now);
        appliance.barredUntil = Math.max(appliance.barredUntil, until);
        backingOff.add(appliance);
        Location location = appliance.zone;
        boolean hasOther = backingOff.stream().anyMatch(other -> other != appliance && other.zone == location);
        location.limitedUntil = backingOff.stream().filter(other -> other.zone == location)
                .mapToLong(other -> other.barredUntil).min().orElse(until);
        location.most = hasOther ? 0 : Math.max(1, location.out - appliance.room.out);
    }

    /** How long until the first server that wants none will take some; 0 where none is barred. */
    public long opensIn() {
        long first = backingOff.stream().mapToLong(appliance -> appliance.barredUntil).filter(until -> until > now).min()
                .orElse(now);
        return first - now;
    }

    public long told() {
        return reportedCount;
    }
}
