package honeygap.share.member;

import honeygap.manage.PhiAccrualDetector;
import java.util.LinkedHashMap;
import java.util.Map;

/** Another process as this one sees it. */
public final class Peer {

    /** What this process makes of it. */
    public enum Standing { ALIVE, SUSPECT, DEAD, LEFT }

    public final String name;
    public String address = "";
    public String site = "";
    /** It raises this to refute a suspicion; an accusation holds for the incarnation that it names. */
    public long generation;
    public long incarnation;
    Standing standing = Standing.ALIVE;
    /** When it was suspected, and who says so of this incarnation, with when that was heard. */
    long suspectedAt;
    final Map<String, Long> accusers = new LinkedHashMap<>();
    /** Direct and indirect probes in a row that brought nothing. */
    int failedProbes;
    PhiAccrualDetector heartbeats;
    long lastHeartbeatAt;
    /** When it wrote the newest that has come of it. */
    long latestWriteAt = Long.MIN_VALUE / 2;
    /** Until then its name was seen in two lives that both went on: neither is believed. */
    long nameConflictUntil = Long.MIN_VALUE / 2;

    Peer(String name) {
        this.name = name;
    }

    public Standing standing() {
        return standing;
    }
}
