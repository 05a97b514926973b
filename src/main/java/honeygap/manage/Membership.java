package honeygap.manage;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which instances there are and how they stand. An instance is its name and the generation of its process: one that has
 * been restarted is never taken for the one before. Where many become suspect at once, it is the manager that was cut
 * off, and judgement rests. No I/O; times are tenths of a millisecond.
 */
public final class Membership {

    /** How an instance stands. */
    public enum Standing { UNHEARD, ALIVE, SUSPECT }

    /** Suspicion beyond which an instance counts as silent. */
    private static final double SUSPICION_THRESHOLD = 8;
    /** Part of those heard of whose silence, begun together, tells of the manager rather than of them. */
    private static final double CUT_OFF_SHARE = 0.5;
    private static final int CUT_OFF_MIN_MEMBERS = 3;

    /** One instance. */
    public static final class Member {

        public final String name;
        public long generation;
        PhiAccrualDetector heartbeats;
        private Standing standing = Standing.UNHEARD;
        /** Times that another process came under the name. */
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

    /** Signs are asked for so often. */
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

    /** An instance has given a sign. Whether it is another process than before. */
    public boolean recordHeartbeat(String name, long generation) {
        Member member = join(name);
        boolean isNewProcess = member.generation != 0 && member.generation != generation;
        if (isNewProcess || member.heartbeats == null) {
            member.heartbeats = new PhiAccrualDetector(now, heartbeatInterval);
            member.restarts += isNewProcess ? 1 : 0;
        } else if (isCutOff) {
            // The time in which nobody could be heard says nothing of this one.
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
        // Those suspected before do not count: only what falls silent together tells of this end.
        isCutOff = known - alreadySuspect >= CUT_OFF_MIN_MEMBERS && silent - alreadySuspect > CUT_OFF_SHARE * (known - alreadySuspect);
        if (isCutOff) {
            return;
        }
        for (Member member : members.values()) {
            if (member.heartbeats != null && member.heartbeats.suspicionLevel(now) > SUSPICION_THRESHOLD) {
                member.standing = Standing.SUSPECT;
            }
        }
    }

    /** This manager hears of too few to judge any. */
    public boolean isCutOff() {
        return isCutOff;
    }

    /** Null for a name that is not known. */
    public Member member(String name) {
        return members.get(name);
    }

    public Collection<Member> members() {
        return members.values();
    }
}
