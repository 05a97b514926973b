package honeygap.replication.member;

import honeygap.manage.PhiAccrualDetector;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;

/**
 * Detects failed peers, after SWIM (Das and others, 2002) with the corrections of Lifeguard and an accrual detector
 * on heartbeats. Peers are probed in random order, directly and then through other peers. A peer that answers no
 * probe and has been silent for longer than usual becomes suspect, which is published in a table. It refutes the
 * suspicion with a higher incarnation; otherwise it is declared dead after a time that shrinks with the number of
 * independent accusers. A process that is slow itself waits longer. Where many peers fall silent at once, this
 * process assumes that it is cut off itself and suspends its decisions. The class does no I/O and has no clock of its
 * own; times are in units of 0.1 ms.
 */
public final class FailureDetector {

    /** Suspicion level from which a peer counts as silent: a false positive rate of 1 in 100. */
    private static final double SILENCE_LEVEL = 2;
    /**
     * Minimum suspicion time, in rounds for each factor of ten in cluster size; the maximum as a multiple of the
     * minimum.
     */
    private static final double MIN_SUSPICION_ROUNDS = 4, MAX_SUSPICION_FACTOR = 6;
    /** Number of accusers that reduces the suspicion time to its minimum. */
    private static final int ACCUSERS_FOR_MIN_TIME = 3;
    /**
     * If more than this share of the healthy peers falls silent within one suspicion time, this process is cut off.
     */
    private static final double CUT_OFF_SHARE = 0.5;
    private static final int CUT_OFF_MIN_PEERS = 3;
    /**
     * A new generation at another address within this many rounds of the last heartbeat is a name conflict, not a
     * restart. The name then counts as in conflict for as many rounds.
     */
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

    /** One peer is probed per round, which starts every roundInterval. */
    public FailureDetector(String self, long roundInterval, long now, UniformRandomProvider random) {
        this.self = self;
        this.roundInterval = roundInterval;
        this.now = now;
        this.random = random;
    }

    /**
     * Sets the time of the following calls. Report events first, then call {@link #nextProbeTarget} and {@link
     * #evaluate}.
     */
    public void setNow(long now) {
        this.now = now;
    }

    /** Handles a member's announcement of its address and site. */
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
            // A new process: what is known of the previous one no longer applies.
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

    /** Handles a member that left on its own account. */
    public void memberLeft(String name) {
        Peer peer = peers.get(name);
        if (peer != null) {
            clearSuspicion(peer);
            peer.standing = Peer.Standing.LEFT;
        }
    }

    /**
     * Handles an update that the member wrote at the given time, received over any path. It counts as a heartbeat if
     * it is newer than the latest.
     */
    public void updateReceived(String name, long writtenAt) {
        Peer peer = peers.get(name);
        if (peer != null && peer.standing != Peer.Standing.LEFT && writtenAt > peer.latestWriteAt) {
            peer.latestWriteAt = writtenAt;
            recordHeartbeat(peer);
        }
    }

    private void recordHeartbeat(Peer peer) {
        if (peer.heartbeats == null || isCutOff) {
            // While this process was cut off, silence says nothing about a single peer.
            peer.heartbeats = new PhiAccrualDetector(now, roundInterval);
        } else {
            peer.heartbeats.recordHeartbeat(now);
        }
        peer.lastHeartbeatAt = now;
    }

    /** Handles an answered probe, direct or through another peer: the peer is considered alive at once. */
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

    /**
     * Handles a probe that failed directly and through helpers. If no helper answered either, this process may be the
     * slow one.
     */
    public void probeFailed(String name, boolean anyHelperAnswered) {
        if (!anyHelperAnswered) {
            health.recordFailure();
        }
        Peer peer = peers.get(name);
        if (peer != null) {
            peer.failedProbes++;
        }
    }

    /** Handles a suspicion that a process published about another, or about this process. */
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

    /**
     * Returns the next peer to probe. Each is probed once per pass in random order, dead ones included, as they could
     * not recover without a probe.
     */
    public Peer nextProbeTarget() {
        probeOrder.removeIf(peer -> peer.standing == Peer.Standing.LEFT);
        if (probeOrder.isEmpty()) {
            peers.values().stream().filter(p -> p.standing != Peer.Standing.LEFT).forEach(probeOrder::add);
            ListSampler.shuffle(random, probeOrder);
        }
        return probeOrder.isEmpty() ? null : probeOrder.remove(probeOrder.size() - 1);
    }

    /** Returns up to limit random live peers that can probe the target on behalf of this process. */
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

    /** Returns the timeout for a probe whose usual timeout is given: longer while this process itself is slow. */
    public long probeTimeout(long timeout) {
        return health.scaleTimeout(timeout);
    }

    /** Returns the peers whose suspicion this process publishes; dead peers are included. */
    public List<Peer> suspectedPeers() {
        return peers.values().stream().filter(peer -> peer.failedProbes > 0
                && (peer.standing == Peer.Standing.SUSPECT || peer.standing == Peer.Standing.DEAD)).toList();
    }

    /** Re-evaluates all peers and returns those whose standing changed. */
    public List<Peer> evaluate() {
        updateCutOff();
        List<Peer> changed = new ArrayList<>();
        if (isCutOff) {
            return changed;
        }
        for (Peer peer : peers.values()) {
            Peer.Standing previous = peer.standing;
            boolean isSilent = peer.heartbeats != null && peer.heartbeats.suspicionLevel(now) > SILENCE_LEVEL;
            // Own probe failed, and it is silent or others accuse it; or it is silent and enough others accuse it.
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

    /** Returns the time within which a suspect may refute: shorter with each independent accuser. */
    private long suspicionTime(Peer peer) {
        double min = health.scaleTimeout(minSuspicionTime());
        double max = MAX_SUSPICION_FACTOR * min;
        double progress = Math.log(Math.min(ACCUSERS_FOR_MIN_TIME, peer.accusers.size()) + 1)
                / Math.log(ACCUSERS_FOR_MIN_TIME + 1);
        return (long) (max - (max - min) * progress);
    }

    /** Updates whether this process is cut off: it is if many healthy peers fall silent together. */
    private void updateCutOff() {
        int healthy = 0;
        int silent = 0;
        for (Peer peer : peers.values()) {
            // Peers that have been suspect or dead for longer say nothing about the connectivity of this process.
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

    /** Whether two processes seem to use this peer's name; then announcements of neither are trusted. */
    public boolean hasNameConflict(Peer peer) {
        return now < peer.nameConflictUntil;
    }

    /** Returns the own incarnation, to be published with the own address. */
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
