package honeygap.net.links;

import honeygap.Rules;
import honeygap.fleet.Appliance;
import honeygap.fleet.Pick;
import honeygap.net.Back;
import honeygap.net.Call;
import honeygap.net.Counters;
import honeygap.net.Events;
import honeygap.net.Loop;
import honeygap.net.OncePerSecond;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BiFunction;

/** All connections of one back to its appliances. */
public final class Links implements Back {

    /** Part of the time that appliances keep an idle connection for which this agent does. */
    private static final double KEPT = 0.8;

    final Loop loop;
    private final Rules rules;
    private final BiFunction<Links, Remote, Link> kind;
    final long tick;
    final long connectWithin;
    final long idleFor;
    private final int most;
    private final Set<Link> links = new LinkedHashSet<>();
    private final long[] outcomes = new long[8];
    private long unreadable;
    private final OncePerSecond unreadableLog;
    private long unquiet;
    private long opened;

    /**
     * Times are tenths of a millisecond: the agent's own step, how long connecting may take, for how long the
     * appliances keep an idle connection; most is the number of connections. The kind is the protocol's.
     */
    public Links(Loop loop, Rules rules, BiFunction<Links, Remote, Link> kind, long tick, long connectWithin,
                 long idleClose, int most) {
        this.loop = loop;
        this.rules = rules;
        this.kind = kind;
        this.tick = tick;
        this.connectWithin = connectWithin;
        this.most = most;
        unreadableLog = new OncePerSecond(loop);
        idleFor = (long) (KEPT * idleClose);
    }

    @Override
    public Appliance appliance(long id) {
        return new Remote(id);
    }

    /** Whole milliseconds left until then, at least one. */
    public long leftMs(long upTo) {
        return Math.max(1, (upTo - loop.clock()) / 10);
    }

    /** Without a descriptor for a connection the pick is not sent at all. */
    @Override
    public void pick(Call call, Appliance appliance, long within) {
        int index = call.picks.size() - 1;
        Link link = take((Remote) appliance);
        if (link == null) {
            ended(call, index, Pick.MOOT);
            return;
        }
        link.carry(call, index, within);
        link.connect(Math.min(within, connectWithin));
    }

    /** Asks whether the appliance is ready; the module has no use for the answer but what it keeps open. */
    @Override
    public void probe(Appliance appliance) {
        Link link = take((Remote) appliance);
        if (link != null) {
            link.probe();
            link.connect(connectWithin);
        }
    }

    private Link take(Remote remote) {
        Link link = rested(remote);
        while (link != null && !link.isQuiet()) {
            unquiet++;
            link.end(Pick.CANCELLED);
            link = rested(remote);
        }
        if (link == null && (links.size() < most || makeRoom())) {
            link = kind.apply(this, remote);
            links.add(link);
            opened++;
        }
        return link;
    }

    /**
     * The one used last among those that have rested for a little. Guards against appliances that close, or
     * send more, just behind an answer: what is written to such a connection is lost and may have run.
     */
    private static Link rested(Remote remote) {
        Iterator<Link> links = remote.idle.descendingIterator();
        while (links.hasNext()) {
            Link link = links.next();
            if (link.hasRested()) {
                links.remove();
                return link;
            }
        }
        return remote.idle.pollLast();
    }

    private boolean makeRoom() {
        for (Link link : links) {
            if (link.remote().idle.contains(link)) {
                link.end(Pick.CANCELLED);
                return true;
            }
        }
        return false;
    }

    @Override
    public void cancel(Call call, int index) {
        for (Link link : new ArrayList<>(links)) {
            link.cancel(call, index);
        }
    }

    @Override
    public void dropIdle(Appliance appliance) {
        for (Link link : new ArrayList<>(((Remote) appliance).idle)) {
            link.end(Pick.CANCELLED);
        }
    }

    void rest(Link link) {
        if (!link.isCurrent()) {
            // Guards against a pool that leads to the process before: its picks would count as the new build's.
            loop.gather(() -> link.end(Pick.CANCELLED));
        } else {
            link.remote().idle.addLast(link);
        }
    }

    void gone(Link link) {
        links.remove(link);
        link.remote().idle.remove(link);
    }

    void ended(Call call, int index, int outcome) {
        outcomes[outcome]++;
        long lag = loop.clock() - call.picks.get(index).sentAt;
        boolean closed = call.closed || outcome == Pick.OK;
        loop.gather(() -> rules.ended(call, index, outcome, closed, lag));
    }

    /** An answer could not be read: counted, and told now and then with the pick that it was for. */
    void unreadable(Call call, int pick, Remote remote, String why) {
        unreadable++;
        if (unreadableLog.isDue()) {
            Events.pick(call == null ? "none" : call.id, call == null ? -1 : pick, remote.id, remote.address
                    + " sent what can't be read: " + why);
        }
    }

    @Override
    public void report(Counters counters) {
        counters.count("here", links.size());
        counters.count("opened", opened);
        counters.count("ok", outcomes[Pick.OK]);
        counters.count("error", outcomes[Pick.ERROR]);
        counters.count("full", outcomes[Pick.FULL]);
        counters.count("timeout", outcomes[Pick.TIMEOUT]);
        counters.count("no connection", outcomes[Pick.CONNECT_FAILED]);
        counters.count("reset", outcomes[Pick.RESET]);
        counters.count("cancelled", outcomes[Pick.CANCELLED]);
        counters.count("moot", outcomes[Pick.MOOT]);
        counters.count("unreadable", unreadable);
        counters.count("unquiet", unquiet);
    }
}
