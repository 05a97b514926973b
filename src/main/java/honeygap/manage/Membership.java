package honeygap.manage;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The managed instances and their standing. An instance is identified by its name and the generation of its process,
 * so a restarted process is never mistaken for the previous one. Where many instances become suspect at once, the
 * manager assumes that it is cut off itself and suspends its decisions. The class does no I/O; times are in units of
 * 0.1 ms.
 */
public final class Membership {

    /** The standing of an instance. */
    public enum Standing { UNHEARD, ALIVE, SUSPECT }

    /** Suspicion level above which an instance counts as silent. */
    private static final double SUSPICION_THRESHOLD = 8;
    /**
     * If more than this share of the known instances falls silent together, the manager is cut off rather than they.
     */
    private static final double CUT_OFF_SHARE = 0.5;
    private static final int CUT_OFF_MIN_MEMBERS = 3;

    /** A managed instance. */
    public static final class Member {

        public final String name;
        public long generation;
        PhiAccrualDetector heartbeats;
        private Standing standing = Standing.UNHEARD;
        /** How often another process appeared under this name. */
        public int restarts;

        Member(String name) {
            this.name = name;
        }

        public Standing standing() {
            return standing;
        }
    }

    private final long heartbeatInterval;
    private final Map<String, Member> members = new LinkedHashMap<>();
    private boolean isCutOff;
    private long now;

    /** Heartbeats are expected at this interval. */
    public Membership(long heartbeatInterval) {
        this.heartbeatInterval = heartbeatInterval;
    }

    public void advanceTo(long now) {
        this.now = now;
        evaluate();
    }

    public Member join(String name) {
        return members.computeIfAbsent(name, Member::new);
    }

    public void leave(String name) {
        members.remove(name);
    }

    /** Records a heartbeat. Returns whether it came from another process than the previous ones. */
    public boolean recordHeartbeat(String name, long generation) {
        Member member = join(name);
        boolean isNewProcess = member.generation != 0 && member.generation != generation;
        if (isNewProcess || member.heartbeats == null) {
            member.heartbeats = new PhiAccrualDetector(now, heartbeatInterval);
            member.restarts += isNewProcess ? 1 : 0;
        } else if (isCutOff) {
            // While the manager was cut off, silence says nothing about a single instance.
            member.heartbeats = new PhiAccrualDetector(now, heartbeatInterval);
        } else {
            member.heartbeats.recordHeartbeat(now);
        }
        member.generation = generation;
        member.standing = Standing.ALIVE;
        return isNewProcess;
    }

    private void evaluate() {
        int known = 0;
        int silent = 0;
        for (Member member : members.values()) {
            if (member.heartbeats != null) {
                known++;
                silent += member.heartbeats.suspicionLevel(now) > SUSPICION_THRESHOLD ? 1 : 0;
            }
        }
        long alreadySuspect = members.values().stream().filter(member -> member.standing == Standing.SUSPECT).count();
        // Earlier suspects do not count: only a simultaneous silence indicates that the manager is cut off.
        isCutOff = known - alreadySuspect >= CUT_OFF_MIN_MEMBERS
                && silent - alreadySuspect > CUT_OFF_SHARE * (known - alreadySuspect);
        if (isCutOff) {
            return;
        }
        for (Member member : members.values()) {
            if (member.heartbeats != null && member.heartbeats.suspicionLevel(now) > SUSPICION_THRESHOLD) {
                member.standing = Standing.SUSPECT;
            }
        }
    }

    /** Whether this manager reaches too few instances to judge any. */
    public boolean isCutOff() {
        return isCutOff;
    }

    /** Returns null for an unknown name. */
    public Member member(String name) {
        return members.get(name);
    }

    public Collection<Member> members() {
        return members.values();
    }
}
