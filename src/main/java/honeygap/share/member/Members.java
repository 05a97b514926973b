package honeygap.share.member;

import honeygap.manage.Suspicion;
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
public final class Members {

    /** Level of the accrual detector from which silence counts as such: wrong once in a hundred. */
    private static final double SILENT = 2;
    /** Least time of a suspicion, in rounds for each tenfold of members; most, against least. */
    private static final double LEAST_ROUNDS = 4, MOST_AGAINST_LEAST = 6;
    /** So many accusers bring the time of a suspicion down to its least. */
    private static final int ACCUSERS = 3;
    /** Of those that stood well, such a part silent within the time of a suspicion: this end is cut off. */
    private static final double CUT_OFF = 0.5;
    private static final int CUT_OFF_LEAST = 3;
    /** Changes of life of one name within so many rounds that are no restart. */
    private static final int DOUBT_ROUNDS = 10;

    private final String self;
    private final long every;
    private final UniformRandomProvider chance;
    private final LocalHealth health = new LocalHealth();
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private final List<Peer> round = new ArrayList<>();
    private long now;
    private long incarnation = 1;
    private boolean isCutOff;

    /** Each round asks one other; it begins so often. */
    public Members(String self, long every, long now, UniformRandomProvider chance) {
        this.self = self;
        this.every = every;
        this.now = now;
        this.chance = chance;
    }

    /** Inputs come first, then {@link #target} and {@link #judge}. */
    public void now(long now) {
        this.now = now;
    }

    /** A member has said where it is. */
    public void listed(String name, long generation, long incarnation, String address, String site) {
        if (name.equals(self)) {
            return;
        }
        Peer peer = peers.computeIfAbsent(name, Peer::new);
        if (peer.generation != generation) {
            boolean another = peer.generation != 0 && !peer.address.equals(address)
                    && now - peer.lastSign < DOUBT_ROUNDS * every;
            if (another) {
                peer.doubtedUntil = now + DOUBT_ROUNDS * every;
            }
            // A later life: nothing known of the one before holds.
            peer.generation = generation;
            peer.incarnation = incarnation;
            clear(peer);
            peer.signs = null;
            sign(peer);
        } else if (incarnation > peer.incarnation) {
            peer.incarnation = incarnation;
            clear(peer);
            sign(peer);
        }
        peer.address = address;
        peer.site = site;
        peer.standing = peer.standing == Peer.Standing.LEFT ? Peer.Standing.ALIVE : peer.standing;
    }

    /** It has taken itself out. */
    public void left(String name) {
        Peer peer = peers.get(name);
        if (peer != null) {
            clear(peer);
            peer.standing = Peer.Standing.LEFT;
        }
    }

    /** Something that it wrote then has come, by whatever way: a sign of life if it is newer than the last. */
    public void heard(String name, long writtenAt) {
        Peer peer = peers.get(name);
        if (peer != null && peer.standing != Peer.Standing.LEFT && writtenAt > peer.wroteAt) {
            peer.wroteAt = writtenAt;
            sign(peer);
        }
    }

    private void sign(Peer peer) {
        if (peer.signs == null || isCutOff) {
            // The time in which nobody could be heard says nothing of this one.
            peer.signs = new Suspicion(now, every);
        } else {
            peer.signs.sign(now);
        }
        peer.lastSign = now;
    }

    /** It has answered a probe itself, or another one says that it did: it stands well here at once. */
    public void answered(String name, boolean direct) {
        if (direct) {
            health.well();
        }
        Peer peer = peers.get(name);
        if (peer != null && peer.standing != Peer.Standing.LEFT) {
            clear(peer);
            sign(peer);
        }
    }

    /** Neither it nor those that were asked to ask it have brought a word; was this process heard by anybody? */
    public void missed(String name, boolean othersAnswered) {
        if (!othersAnswered) {
            health.ill();
        }
        Peer peer = peers.get(name);
        if (peer != null) {
            peer.missed++;
        }
    }

    /** Somebody accuses somebody, perhaps this process, of silence. */
    public void accused(String by, String name, long generation, long incarnation) {
        if (name.equals(self)) {
            if (incarnation >= this.incarnation) {
                this.incarnation = incarnation + 1;
                health.ill();
            }
            return;
        }
        Peer peer = peers.get(name);
        if (peer != null && peer.generation == generation && incarnation >= peer.incarnation
                && !by.equals(name)) {
            peer.accusers.putIfAbsent(by, now);
        }
    }

    private void clear(Peer peer) {
        peer.missed = 0;
        peer.accusers.clear();
        peer.standing = Peer.Standing.ALIVE;
    }

    /** Whom to probe next: all once a round in a drawn order, the dead too, or none would come back by itself. */
    public Peer target() {
        round.removeIf(peer -> peer.standing == Peer.Standing.LEFT);
        if (round.isEmpty()) {
            peers.values().stream().filter(p -> p.standing != Peer.Standing.LEFT).forEach(round::add);
            ListSampler.shuffle(chance, round);
        }
        return round.isEmpty() ? null : round.remove(round.size() - 1);
    }

    /** Others through which one can be asked: so many at most, drawn, none of them held for dead. */
    public List<Peer> helpers(String target, int most) {
        List<Peer> helpers = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (!peer.name.equals(target) && peer.standing == Peer.Standing.ALIVE) {
                helpers.add(peer);
            }
        }
        ListSampler.shuffle(chance, helpers);
        return helpers.subList(0, Math.min(most, helpers.size()));
    }

    /** How long to wait for an answer that should come within this time. */
    public long patience(long within) {
        return health.stretched(within);
    }

    /** Whom this process suspects, dead ones included: what its accusations are to say. */
    public List<Peer> accusations() {
        return peers.values().stream().filter(peer -> peer.missed > 0
                && (peer.standing == Peer.Standing.SUSPECT || peer.standing == Peer.Standing.DEAD)).toList();
    }

    /** Draws the conclusions from what has been told; those whose standing has changed. */
    public List<Peer> judge() {
        rest();
        List<Peer> changed = new ArrayList<>();
        if (isCutOff) {
            return changed;
        }
        for (Peer peer : peers.values()) {
            Peer.Standing before = peer.standing;
            boolean silent = peer.signs != null && peer.signs.level(now) > SILENT;
            // By its own probe and ear, by its own probe and another's, or by its ear and enough others.
            boolean suspect = peer.missed > 0 ? silent || !peer.accusers.isEmpty()
                    : silent && peer.accusers.size() >= ACCUSERS;
            if (peer.standing == Peer.Standing.ALIVE && suspect) {
                peer.standing = Peer.Standing.SUSPECT;
                peer.suspectedAt = now;
            }
            if (peer.standing == Peer.Standing.SUSPECT && now - peer.suspectedAt >= suspicionTime(peer)) {
                peer.standing = Peer.Standing.DEAD;
            }
            if (peer.standing != before) {
                changed.add(peer);
            }
        }
        return changed;
    }

    private long least() {
        return (long) (LEAST_ROUNDS * Math.max(1, Math.log10(Math.max(1, peers.size()))) * every);
    }

    /** For how long one may refute: shorter with each independent accuser. */
    private long suspicionTime(Peer peer) {
        double least = health.stretched(least());
        double most = MOST_AGAINST_LEAST * least;
        double part = Math.log(Math.min(ACCUSERS, peer.accusers.size()) + 1) / Math.log(ACCUSERS + 1);
        return (long) (most - (most - least) * part);
    }

    /** Where many that stood well fall silent together it is this end that is cut off. */
    private void rest() {
        int well = 0;
        int silent = 0;
        for (Peer peer : peers.values()) {
            // Held for dead before any of this began: says nothing of this end.
            if (peer.standing == Peer.Standing.ALIVE || peer.standing == Peer.Standing.SUSPECT
                    && now - peer.suspectedAt < MOST_AGAINST_LEAST * least()) {
                well++;
                silent += peer.signs != null && peer.signs.level(now) > SILENT ? 1 : 0;
            }
        }
        isCutOff = well >= CUT_OFF_LEAST && silent > CUT_OFF * well;
    }

    public boolean isCutOff() {
        return isCutOff;
    }

    /** Is its name in use by two processes? Then what either says counts for nothing. */
    public boolean isDoubted(Peer peer) {
        return now < peer.doubtedUntil;
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
