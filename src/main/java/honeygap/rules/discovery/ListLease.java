package honeygap.rules.discovery;

import honeygap.fleet.Appliance;
import honeygap.fleet.Fleet;
import honeygap.fleet.Pick;
import honeygap.settings.ListSettings;
import java.util.ArrayDeque;

/**
 * Determines which appliances are still known to serve. The list from discovery is a lease: it is valid for a bounded
 * time after discovery last confirmed it. A list of unknown age, such as a stored one, has no lease. After the lease
 * has expired, an appliance is still known to serve if it has answered on a connection opened before the list was last
 * confirmed. Then it is the listed process and was serving when the pick was sent, as one that drains turns new picks
 * away; this gives it a lease of its own from that time. On a newer connection the answer may come from another process,
 * which was drained and has restarted unlisted.
 *
 * <p>What the desk reports of a rollout says nothing about a single appliance, which may drain for any reason.
 *
 * <p>Both are leases: they rest on evidence of a certain time. Some time after a reload of the configuration,
 * which may move discovery, whatever discovery has to report counts as reported. Unless a watch is open then, evidence
 * of any kind from before that time is void from then on.
 *
 * <p>An appliance that refuses a pick while no watch is open may be draining, and gets no picks for a back-off time.
 */
public final class ListLease {

    /** Share of the lease by which a heartbeat may precede changes that still wait in discovery's queue. */
    private static final double HEARTBEAT_LEAD = 1.0 / 6;
    /** Share of the lease after which all changes count as reported, from a reload of the configuration on. */
    private static final double REPORTED_AFTER_RELOAD = 2.0 / 3;
    /** Share of the lease within which an open watch shows a sign of life: an interval between heartbeats, and some delay. */
    private static final double MAX_SIGN_INTERVAL = 5.0 / 12;
    /** Back-off after an appliance's first refusal, as a share of the lease; each further refusal doubles it. */
    private static final double FIRST_REFUSAL_BACKOFF = 1.0 / 24;
    /** How long a starting agent waits for its first list before it accepts clients, as a share of the lease. */
    private static final double STARTUP_WAIT = 2.0 / 3;

    private final Fleet fleet;
    private final long leaseDuration;
    private final long startedAt;
    private long confirmedAt = Fleet.LONG_AGO;
    private boolean isWatched;
    /** When the open watch last showed a sign of life; long ago if none is open. */
    private long watchSignAt = Fleet.LONG_AGO;
    /** Times from which on all earlier changes count as reported, and the last one for which no watch was open. */
    private final ArrayDeque<Long> reportDeadlines = new ArrayDeque<>();
    private long evidenceFrom = Fleet.LONG_AGO;

    public ListLease(Fleet fleet, ListSettings settings) {
        this.fleet = fleet;
        leaseDuration = settings.lease();
        startedAt = fleet.now;
    }

    /** Discovery has reported all changes up to this time, so the whole list is current. */
    public void confirm(long asOf) {
        passDeadlines();
        watchSignAt = asOf;
        if (!isWatched) {
            fleet.appliances.forEach(appliance -> appliance.consecutiveRefusals = 0);
        }
        isWatched = true;
        confirmedAt = Math.max(confirmedAt, asOf);
    }

    /** Discovery has reported that nothing has changed; a change may still wait in its queue. */
    public void heartbeat(long asOf) {
        passDeadlines();
        watchSignAt = asOf;
        confirmedAt = Math.max(confirmedAt, asOf - (long) (HEARTBEAT_LEAD * leaseDuration));
    }

    /** The watch has ended; changes are no longer reported. */
    public void watchLost() {
        passDeadlines();
        isWatched = false;
        watchSignAt = Fleet.LONG_AGO;
    }

    /** A reload of the configuration was requested at this time, whether or not the configuration could be read. */
    public void reloadRequested(long at) {
        passDeadlines();
        reportDeadlines.addLast(at + (long) (REPORTED_AFTER_RELOAD * leaseDuration));
    }

    /** The address of discovery has changed; the new one may have reported changes that this agent lacks. */
    public void discoveryMoved() {
        watchLost();
        reloadRequested(fleet.now);
    }

    /** Decides for each deadline that has passed whether the evidence from before it is void. */
    private void passDeadlines() {
        while (!reportDeadlines.isEmpty() && reportDeadlines.peekFirst() <= fleet.now) {
            long deadline = reportDeadlines.removeFirst();
            boolean isWatchAlive = watchSignAt >= deadline - (long) (MAX_SIGN_INTERVAL * leaseDuration);
            evidenceFrom = isWatchAlive ? evidenceFrom : Math.max(evidenceFrom, deadline);
        }
    }

    /** Whether evidence of this time still shows that an appliance serves. */
    private boolean isValid(long evidenceAt) {
        passDeadlines();
        return evidenceAt >= evidenceFrom && fleet.now < evidenceAt + leaseDuration;
    }

    /** A pick has ended: an answer can show that its appliance was serving, a refusal that it may be draining. */
    public void pickEnded(Pick pick, int outcome) {
        Appliance appliance = pick.appliance;
        if (outcome == Pick.OK) {
            appliance.consecutiveRefusals = 0;
            if (pick.connectedAt <= confirmedAt) {
                appliance.lastServedAt = Math.max(appliance.lastServedAt, pick.sentAt);
            }
        } else if (outcome == Pick.PUSHED_BACK && !isWatched) {
            appliance.consecutiveRefusals++;
            appliance.lastRefusedAt = fleet.now;
            appliance.lastServedAt = Fleet.LONG_AGO;
        }
    }

    /** Whether the list itself is within its lease. */
    public boolean isConfirmed() {
        return leaseDuration == 0 || isValid(confirmedAt);
    }

    /** Whether the appliance is known to serve, from the list or its own answers. */
    public boolean covers(Appliance appliance) {
        return leaseDuration == 0 || !isBackingOff(appliance) && (isConfirmed() || isValid(appliance.lastServedAt));
    }

    private boolean isBackingOff(Appliance appliance) {
        if (isWatched || appliance.consecutiveRefusals == 0) {
            return false;
        }
        double backoff = Math.min(1, FIRST_REFUSAL_BACKOFF * Math.pow(2, appliance.consecutiveRefusals - 1));
        return fleet.now < appliance.lastRefusedAt + (long) (backoff * leaseDuration);
    }

    /** Whether clients may connect: most appliances are known to serve, or the wait for a list is over. */
    public boolean mayAcceptClients() {
        long serving = fleet.appliances.stream().filter(appliance -> appliance.state == Appliance.UP).count();
        return isConfirmed() || 2 * coveredCount() > serving
                || fleet.now >= startedAt + (long) (STARTUP_WAIT * leaseDuration);
    }

    /** Number of the appliances listed as up that are known to serve now. */
    public long coveredCount() {
        return fleet.appliances.stream().filter(appliance -> appliance.state == Appliance.UP && covers(appliance))
                .count();
    }

    /** Tenths of a millisecond since discovery last confirmed the list; negative if it never has. */
    public long age() {
        return confirmedAt == Fleet.LONG_AGO ? -1 : fleet.now - confirmedAt;
    }
}
