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

    private final long most;
    private final List<Appliance> barred = new ArrayList<>();
    private long now;
    private long told;

    /** No word of a server holds for longer, in tenths of a millisecond. */
    public Limits(long most) {
        this.most = most;
    }

    public void now(long now) {
        this.now = now;
    }

    /** A server with so many picks still out wants none for so long. */
    public void told(Appliance appliance, long after) {
        told++;
        long until = now + Math.max(0, Math.min(after, most));
        barred.removeIf(other -> other == appliance || other.barredUntil <= now);
        appliance.barredUntil = Math.max(appliance.barredUntil, until);
        barred.add(appliance);
        Location location = appliance.zone;
        boolean another = barred.stream().anyMatch(other -> other != appliance && other.zone == location);
        location.limitedUntil = barred.stream().filter(other -> other.zone == location)
                .mapToLong(other -> other.barredUntil).min().orElse(until);
        location.most = another ? 0 : Math.max(1, location.out - appliance.room.out);
    }

    /** How long until the first server that wants none will take some; 0 where none is barred. */
    public long opensIn() {
        long first = barred.stream().mapToLong(one -> one.barredUntil).filter(until -> until > now).min()
                .orElse(now);
        return first - now;
    }

    public long told() {
        return told;
    }
}
