package honeygap.rules.discovery;

import honeygap.fleet.Appliance;
import honeygap.fleet.Fleet;
import honeygap.fleet.Pick;
import honeygap.terms.Listing;

/**
 * Which appliances are still known to serve? Discovery's list is leased: it holds for a bounded time from when discovery
 * last confirmed it. A list of unknown age, such as that of an earlier process, has no lease. Beyond it there are two kinds of
 * evidence. An appliance that has answered on a connection from before the list grew old is the process that was listed, and
 * served when it was asked: it has a lease of its own from then on. On a newer connection another process may answer, which
 * drained and came back unlisted. And machines are drained when a newer build replaces theirs or theirs goes back, which the
 * rollout desk tells: those of the newest build are covered while that word is as fresh as a list must be. What turns a pick
 * away while nobody tells what changes may be draining and is left alone for a while.
 */
public final class ListLease {

    /** Part of the lease by which a sign of life may run ahead of changes that wait behind it in discovery's queue. */
    private static final double HEARTBEAT_LEAD = 1.0 / 6;
    /** Part of the lease that is left of it where discovery has moved to another address. */
    private static final double REMAINING_AFTER_MOVE = 2.0 / 3;
    /** Part of the lease for which an appliance is left alone after its first refusal; each further one doubles it. */
    private static final double FIRST_REFUSAL_BACKOFF = 1.0 / 24;
    /** Part of the lease for which an agent that starts waits for its first list before it takes clients. */
    private static final double STARTUP_WAIT = 2.0 / 3;

    private final Fleet fleet;
    private final long leaseDuration;
    private final long startedAt;
    private long confirmedAt = Fleet.LONG_AGO;
    private boolean isWatched;

    public ListLease(Fleet fleet, Listing settings) {
        this.fleet = fleet;
        leaseDuration = settings.lease();
        startedAt = fleet.now;
    }

    /** Discovery told what had changed up to then: all that it has named is as it says. */
    public void confirm(long asOf) {
        if (!isWatched) {
            fleet.appliances.forEach(appliance -> appliance.consecutiveRefusals = 0);
        }
        isWatched = true;
        confirmedAt = Math.max(confirmedAt, asOf);
    }

    /** Discovery said that nothing has changed; a change may wait in its queue still. */
    public void heartbeat(long asOf) {
        confirmedAt = Math.max(confirmedAt, asOf - (long) (HEARTBEAT_LEAD * leaseDuration));
    }

    /** Nobody tells what changes any more. */
    public void watchLost() {
        isWatched = false;
    }

    /** Discovery is asked at another address from now on, which may have told others more. */
    public void discoveryMoved() {
        isWatched = false;
        confirmedAt = Math.min(confirmedAt, fleet.now - (long) ((1 - REMAINING_AFTER_MOVE) * leaseDuration));
    }

    /** A pick has ended: an answer may show that its appliance served when it was sent, a refusal that it may drain. */
    public void pickEnded(Pick pick, int outcome) {
        Appliance appliance = pick.appliance;
        if (outcome == Pick.OK) {
            appliance.consecutiveRefusals = 0;
            if (pick.connectedAt <= confirmedAt) {
                appliance.lastServedAt = Math.max(appliance.lastServedAt, pick.sentAt);
            }
        } else if (outcome == Pick.FULL && !isWatched) {
            appliance.consecutiveRefusals++;
            appliance.lastRefusedAt = fleet.now;
            appliance.lastServedAt = Fleet.LONG_AGO;
        } else if (outcome == Pick.CONNECT_FAILED || outcome == Pick.RESET || outcome == Pick.TIMEOUT) {
            appliance.lastUnansweredAt = fleet.now;
        }
    }

    /** Whether the list itself is known to be current. */
    public boolean isConfirmed() {
        return leaseDuration == 0 || fleet.now < confirmedAt + leaseDuration;
    }

    /** Whether the appliance is known to serve, by the list or by its own answers. */
    public boolean covers(Appliance appliance) {
        return leaseDuration == 0 || !isBackingOff(appliance)
                && (isConfirmed() || fleet.now < appliance.lastServedAt + leaseDuration || isOfNewestBuild(appliance));
    }

    /** Whether the desk has said lately that this appliance's build is the newest and stays; one that fell silent may have left. */
    private boolean isOfNewestBuild(Appliance appliance) {
        return appliance.lastUnansweredAt <= confirmedAt && fleet.isRolloutCurrent() && appliance.build == fleet.newestBuild && fleet.now < fleet.rolloutReportedAt + leaseDuration;
    }

    private boolean isBackingOff(Appliance appliance) {
        if (isWatched || appliance.consecutiveRefusals == 0) {
            return false;
        }
        double backoff = Math.min(1, FIRST_REFUSAL_BACKOFF * Math.pow(2, appliance.consecutiveRefusals - 1));
        return fleet.now < appliance.lastRefusedAt + (long) (backoff * leaseDuration);
    }

    /** Whether clients may come: most appliances are known to serve, or waiting for a list has taken long enough. */
    public boolean mayAcceptClients() {
        long serving = fleet.appliances.stream().filter(appliance -> appliance.state == Appliance.UP).count();
        return isConfirmed() || 2 * coveredCount() > serving || fleet.now >= startedAt + (long) (STARTUP_WAIT * leaseDuration);
    }

    /** How many of the appliances that serve by the list are known to do so now. */
    public long coveredCount() {
        return fleet.appliances.stream().filter(appliance -> appliance.state == Appliance.UP && covers(appliance)).count();
    }

    /** Tenths of a millisecond since discovery last confirmed the list; negative where it never has. */
    public long age() {
        return confirmedAt == Fleet.LONG_AGO ? -1 : fleet.now - confirmedAt;
    }
}
