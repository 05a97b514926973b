package honeygap.replication.exchange;

import honeygap.replication.member.Peer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Selects the peers for one round of anti-entropy: a random peer of the local site and a random peer of another site,
 * so that updates cross sites every round whatever the number of processes. Every few rounds it adds a peer that is
 * considered dead: after a healed network partition no other mechanism would contact it again.
 */
public final class PartnerSelector {

    private static final int DEAD_PEER_ROUND_INTERVAL = 4;

    private final String localSite;
    private final UniformRandomProvider random;
    private long roundCount;

    public PartnerSelector(String localSite, UniformRandomProvider random) {
        this.localSite = localSite;
        this.random = random;
    }

    public List<Peer> select(Collection<Peer> peers) {
        List<Peer> localPeers = new ArrayList<>();
        List<Peer> remotePeers = new ArrayList<>();
        List<Peer> deadPeers = new ArrayList<>();
        for (Peer peer : peers) {
            if (peer.standing() == Peer.Standing.DEAD) {
                deadPeers.add(peer);
            } else if (peer.standing() != Peer.Standing.LEFT) {
                (peer.site.equals(localSite) ? localPeers : remotePeers).add(peer);
            }
        }
        List<Peer> selected = new ArrayList<>();
        addRandom(localPeers, selected);
        addRandom(remotePeers, selected);
        if (roundCount++ % DEAD_PEER_ROUND_INTERVAL == 0) {
            addRandom(deadPeers, selected);
        }
        return selected;
    }

    private void addRandom(List<Peer> candidates, List<Peer> selected) {
        if (!candidates.isEmpty()) {
            selected.add(candidates.get(random.nextInt(candidates.size())));
        }
    }
}
