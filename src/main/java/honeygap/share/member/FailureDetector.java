package honeygap.share.member;

import honeygap.manage.PhiAccrualDetector;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;

/**
 * Who is there? Probes go round in a drawn order, direct and then by way of others; one that answers neither, and of
 * which nothing else is heard for longer than is usual, is suspected, and told so in a table. It refutes by a higher
 * incarnation; otherwise it is held for dead after a time that shrinks with the number of independent accusers. A
 * process that is slow itself waits longer, and where many fall silent at once it is this end that is cut off: then
 * judgement rests. After SWIM (Das and others, 2002) with Lifeguard's corrections and an accrual detector of signs.
 * Decisions alone: no I/O, no clock of its own. Times are tenths of a millisecond.
 */
public final class FailureDetector {

    /** Level of the accrual detector from which silence counts as such: wrong once in a hundred. */
    private static final double SILENCE_LEVEL = 2;
    /** Least time of a suspicion, in rounds for each tenfold of members; most, against least. */
    private static final double MIN_SUSPICION_ROUNDS = 4, MAX_SUSPICION_FACTOR = 6;
    /** So many accusers bring the time of a suspicion down to its least. */
    private static final int ACCUSERS_FOR_MIN_TIME = 3;
    /** Of those that stood well, such a part silent within the time of a suspicion: this end is cut off. */
    private static final double CUT_OFF_SHARE = 0.5;
    private static final int CUT_OFF_MIN_PEERS = 3;
    /** Changes of life of one name within so many rounds that are no restart. */
    private static final int NAME_CONFLICT_ROUNDS = 10;

    private final String self;
    private final long roundInterval;
    private final UniformRandomProvider random;
    private final LocalHealth health = new LocalHealth();
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private final List<Peer> probeOrder = new ArrayList<>();
    private long now;
    private long incarnation = 1;
    private boolean isCutOff;

    /** Each round asks one other; it begins so often. */
    public FailureDetector(String self, long roundInterval, long now, UniformRandomProvider random) {
        this.self = self;
        this.roundInterval = roundInterval;
        this.now = now;
        this.random = random;
    }

    /** Inputs come first, then {@link #nextProbeTarget} and {@link #evaluate}. */
    public void setNow(long now) {
        this.now = now;
    }

    /** A member has said where it is. */
    public void memberAnnounced(String name, long generation, long incarnation, String address, String site) {
        if (name.equals(self)) {
            return;
        }
        Peer peer = peers.computeIfAbsent(name, Peer::new);
        if (peer.generation != generation) {
            boolean isConflict = peer.generation != 0 && !peer.address.equals(address)
                    && now - peer.lastHeartbeatAt < NAME_CONFLICT_ROUNDS * roundInterval;
            if (isConflict) {
                peer.nameConflictUntil = now + NAME_CONFLICT_ROUNDS * roundInterval;
            }
            // A later life: nothing known of the one before holds.
            peer.generation = generation;
            peer.incarnation = incarnation;
            clearSuspicion(peer);
            peer.heartbeats = null;
            recordHeartbeat(peer);
        } else if (incarnation > peer.incarnation) {
            peer.incarnation = incarnation;
            clearSuspicion(peer);
            recordHeartbeat(peer);
        }
        peer.address = address;
        peer.site = site;
        peer.standing = peer.standing == Peer.Standing.LEFT ? Peer.Standing.ALIVE : peer.standing;
    }

    /** It has taken itself out. */
    public void memberLeft(String name) {
        Peer peer = peers.get(name);
        if (peer != null) {
            clearSuspicion(peer);
            peer.standing = Peer.Standing.LEFT;
        }
    }

    /** Something that it wrote then has come, by whatever way: a sign of life if it is newer than the last. */
    public void updateReceived(String name, long writtenAt) {
        Peer peer = peers.get(name);
        if (peer != null && peer.standing != Peer.Standing.LEFT && writtenAt > peer.latestWriteAt) {
            peer.latestWriteAt = writtenAt;
            recordHeartbeat(peer);
        }
    }

    private void recordHeartbeat(Peer peer) {
        if (peer.heartbeats == null || isCutOff) {
            // The time in which nobody could be heard says nothing of this one.
            peer.heartbeats = new PhiAccrualDetector(now, roundInterval);
        } else {
            peer.heartbeats.recordHeartbeat(now);
        }
        peer.lastHeartbeatAt = now;
    }

    /** It has answered a probe itself, or another one says that it did: it stands well here at once. */
    public void probeSucceeded(String name, boolean isDirect) {
        if (isDirect) {
            health.recordSuccess();
        }
        Peer peer = peers.get(name);
        if (peer != null && peer.standing != Peer.Standing.LEFT) {
            clearSuspicion(peer);
            recordHeartbeat(peer);
        }
    }

    /** Neither it nor those that were asked to ask it have brought a word; was this process heard by anybody? */
    public void probeFailed(String name, boolean anyHelperAnswered) {
        if (!anyHelperAnswered) {
            health.recordFailure();
        }
        Peer peer = peers.get(name);
        if (peer != null) {
            peer.failedProbes++;
        }
    }

    /** Somebody accuses somebody, perhaps this process, of silence. */
    public void suspicionReceived(String accuser, String name, long generation, long incarnation) {
        if (name.equals(self)) {
            if (incarnation >= this.incarnation) {
                this.incarnation = incarnation + 1;
                health.recordFailure();
            }
            return;
        }
        Peer peer = peers.get(name);
        if (peer != null && peer.generation == generation && incarnation >= peer.incarnation
                && !accuser.equals(name)) {
            peer.accusers.putIfAbsent(accuser, now);
        }
    }

    private void clearSuspicion(Peer peer) {
        peer.failedProbes = 0;
        peer.accusers.clear();
        peer.standing = Peer.Standing.ALIVE;
    }

    /** Whom to probe next: all once a round in a drawn order, the dead too, or none would come back by itself. */
    public Peer nextProbeTarget() {
        probeOrder.removeIf(peer -> peer.standing == Peer.Standing.LEFT);
        if (probeOrder.isEmpty()) {
            peers.values().stream().filter(p -> p.standing != Peer.Standing.LEFT).forEach(probeOrder::add);
            ListSampler.shuffle(random, probeOrder);
        }
        return probeOrder.isEmpty() ? null : probeOrder.remove(probeOrder.size() - 1);
    }

    /** Others through which one can be asked: so many at most, drawn, none of them held for dead. */
    public List<Peer> indirectProbers(String target, int limit) {
        List<Peer> candidates = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (!peer.name.equals(target) && peer.standing == Peer.Standing.ALIVE) {
                candidates.add(peer);
            }
        }
        ListSampler.shuffle(random, candidates);
        return candidates.subList(0, Math.min(limit, candidates.size()));
    }

    /** How long to wait for an answer that should come within this time. */
    public long probeTimeout(long timeout) {
        return health.scaleTimeout(timeout);
    }

    /** Whom this process suspects, dead ones included: what its accusations are to say. */
    public List<Peer> suspectedPeers() {
        return peers.values().stream().filter(peer -> peer.failedProbes > 0
                && (peer.standing == Peer.Standing.SUSPECT || peer.standing == Peer.Standing.DEAD)).toList();
    }

    /** Draws the conclusions from what has been told; those whose standing has changed. */
    public List<Peer> evaluate() {
        updateCutOff();
        List<Peer> changed = new ArrayList<>();
        if (isCutOff) {
            return changed;
        }
        for (Peer peer : peers.values()) {
            Peer.Standing previous = peer.standing;
            boolean isSilent = peer.heartbeats != null && peer.heartbeats.suspicionLevel(now) > SILENCE_LEVEL;
            // By its own probe and ear, by its own probe and another's, or by its ear and enough others.
            boolean isSuspect = peer.failedProbes > 0 ? isSilent || !peer.accusers.isEmpty()
                    : isSilent && peer.accusers.size() >= ACCUSERS_FOR_MIN_TIME;
            if (peer.standing == Peer.Standing.ALIVE && isSuspect) {
                peer.standing = Peer.Standing.SUSPECT;
                peer.suspectedAt = now;
            }
            if (peer.standing == Peer.Standing.SUSPECT && now - peer.suspectedAt >= suspicionTime(peer)) {
                peer.standing = Peer.Standing.DEAD;
            }
            if (peer.standing != previous) {
                changed.add(peer);
            }
        }
        return changed;
    }

    private long minSuspicionTime() {
        return (long) (MIN_SUSPICION_ROUNDS * Math.max(1, Math.log10(Math.max(1, peers.size()))) * roundInterval);
    }

    /** For how long one may refute: shorter with each independent accuser. */
    private long suspicionTime(Peer peer) {
        double min = health.scaleTimeout(minSuspicionTime());
        double max = MAX_SUSPICION_FACTOR * min;
        double progress = Math.log(Math.min(ACCUSERS_FOR_MIN_TIME, peer.accusers.size()) + 1) / Math.log(ACCUSERS_FOR_MIN_TIME + 1);
        return (long) (max - (max - min) * progress);
    }

    /** Where many that stood well fall silent together it is this end that is cut off. */
    private void updateCutOff() {
        int healthy = 0;
        int silent = 0;
        for (Peer peer : peers.values()) {
            // Held for dead before any of this began: says nothing of this end.
            if (peer.standing == Peer.Standing.ALIVE || peer.standing == Peer.Standing.SUSPECT
                    && now - peer.suspectedAt < MAX_SUSPICION_FACTOR * minSuspicionTime()) {
                healthy++;
                silent += peer.heartbeats != null && peer.heartbeats.suspicionLevel(now) > SILENCE_LEVEL ? 1 : 0;
            }
        }
        isCutOff = healthy >= CUT_OFF_MIN_PEERS && silent > CUT_OFF_SHARE * healthy;
    }

    public boolean isCutOff() {
        return isCutOff;
    }

    /** Is its name in use by two processes? Then what either says counts for nothing. */
    public boolean hasNameConflict(Peer peer) {
        return now < peer.nameConflictUntil;
    }

    /** This process's own incarnation, to be told with where it is. */
    public long incarnation() {
        return incarnation;
    }

    public Peer peer(String name) {
        return peers.get(name);
    }

    public Collection<Peer> peers() {
        return peers.values();
    }
}
