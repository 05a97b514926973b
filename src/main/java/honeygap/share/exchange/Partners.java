package honeygap.share.exchange;

import honeygap.share.member.Peer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * With whom does this process exchange in a round? One drawn from its own site and one from another, so that what a site
 * knows crosses to the others each round, however many processes it has. Every few rounds one that is held for dead is
 * tried too: where a cut has healed nobody else would find out.
 */
public final class Partners {

    private static final int ROUNDS_TO_THE_DEAD = 4;

    private final String site;
    private final UniformRandomProvider chance;
    private long rounds;

    public Partners(String site, UniformRandomProvider chance) {
        this.site = site;
        this.chance = chance;
    }

    public List<Peer> draw(Collection<Peer> peers) {
        List<Peer> here = new ArrayList<>();
        List<Peer> there = new ArrayList<>();
        List<Peer> dead = new ArrayList<>();
        for (Peer peer : peers) {
            if (peer.standing() == Peer.Standing.DEAD) {
                dead.add(peer);
            } else if (peer.standing() != Peer.Standing.LEFT) {
                (peer.site.equals(site) ? here : there).add(peer);
            }
        }
        List<Peer> drawn = new ArrayList<>();
        one(here, drawn);
        one(there, drawn);
        if (rounds++ % ROUNDS_TO_THE_DEAD == 0) {
            one(dead, drawn);
        }
        return drawn;
    }

    private void one(List<Peer> from, List<Peer> drawn) {
        if (!from.isEmpty()) {
            drawn.add(from.get(chance.nextInt(from.size())));
        }
    }
}
