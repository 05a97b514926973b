package honeygap.replication.member;

import honeygap.manage.PhiAccrualDetector;
import java.util.LinkedHashMap;
import java.util.Map;

/** Another process as seen by this one. */
public final class Peer {

    /** This process's view of the peer. */
    public enum Standing { ALIVE, SUSPECT, DEAD, LEFT }

    public final String name;
    public String address = "";
    public String site = "";
    /**
     * Generation of the peer's process, and its incarnation, which it raises to refute a suspicion; a suspicion
     * applies only to the incarnation that it names.
     */
    public long generation;
    public long incarnation;
    Standing standing = Standing.ALIVE;
    /**
     * When the peer became suspect, and the accusers of its current incarnation with the times of their accusations.
     */
    long suspectedAt;
    final Map<String, Long> accusers = new LinkedHashMap<>();
    /** Consecutive failed probes, each tried directly and through helpers. */
    int failedProbes;
    PhiAccrualDetector heartbeats;
    long lastHeartbeatAt;
    /** When the peer wrote its latest update received here. */
    long latestWriteAt = Long.MIN_VALUE / 2;
    /** Until this time the peer's name counts as used by two live processes, and neither is trusted. */
    long nameConflictUntil = Long.MIN_VALUE / 2;

    Peer(String name) {
        this.name = name;
    }

    public Standing standing() {
        return standing;
    }
}
