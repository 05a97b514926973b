package honeygap.net.clients;

import honeygap.Rules;
import honeygap.fleet.Method;
import honeygap.fleet.Tenant;
import honeygap.net.Front;
import honeygap.net.Loop;
import honeygap.net.Peer;
import honeygap.net.pg.Query;
import honeygap.net.pg.Statement;
import honeygap.net.pg.Words;
import honeygap.read.Fields;
import honeygap.read.Malformed;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** All clients of this agent, and the RPCs taken from them. */
public final class Clients implements Front {

    /** The protocol lets a connection go that has had no open RPC for so long. */
    private static final long KEPT = 20_000;

    final Loop loop;
    private final Rules rules;
    private final Map<String, Method> methods;
    private final Map<String, Tenant> tenants = new HashMap<>();
    private final Tenant unnamed = new Tenant();
    private final long tick;
    private final int most;
    private final int crowd;
    private final int mostOpen;
    private final Set<Client> here = new LinkedHashSet<>();
    /** Longest idle first. */
    private final Set<Client> idle = new LinkedHashSet<>();
    /** Those whose start, or the rest of whose message, is waited for; longest so first. */
    private final Set<Client> waitedFor = new LinkedHashSet<>();
    private Loop.Timer sweep;
    private final Map<String, Query> open = new HashMap<>();
    private boolean leaving;
    private long malformed;
    private long unknown;
    private long twice;
    private long tooLong;
    private long madeRoom;
    private long crowded;
    private long full;
    private long pushedBack;
    private long rescued;
    final Statement statement = new Statement();

    /** Methods and customers by the names of their lists; above a crowd idle ones go; most is the limit. */
    public Clients(Loop loop, Rules rules, Map<String, Method> methods, Fields info,
                   int most, int crowd) throws Malformed {
        this.loop = loop;
        this.rules = rules;
        this.methods = methods;
        this.most = most;
        this.crowd = crowd;
        tick = Math.max(1, info.tenths("TickNs"));
        mostOpen = info.part("Ceilings").index("MaxOpen", Integer.MAX_VALUE);
        if (info.has("Accounts")) {
            for (Fields account : info.objects("Accounts")) {
                tenants.put(account.text("Name"), new Tenant());
            }
        }
    }

    @Override
    public Peer comer() {
        return new Client(this);
    }

    /**
     * At the limit whoever has been waited for longest makes room, or else has been idle longest. Guards
     * against turning down those that came in the same moment and have not been read: they ask at once again.
     */
    void came(Client client) {
        here.add(client);
        waitedFor.add(client);
        if (here.size() <= most) {
            return;
        }
        Client longest = waitedFor.iterator().next();
        if (!longest.isLate() && !idle.isEmpty()) {
            longest = idle.iterator().next();
        }
        if (longest != client) {
            madeRoom++;
            went(longest);
            if (longest.isIdle()) {
                longest.close();
            } else {
                longest.drop(Words.fatal(Words.TOO_MANY, "too many connections"));
            }
        }
    }

    void went(Client client) {
        here.remove(client);
        idle.remove(client);
        waitedFor.remove(client);
    }

    void waitsFor(Client client, boolean waits) {
        if (waits && here.contains(client)) {
            waitedFor.add(client);
        } else {
            waitedFor.remove(client);
        }
    }

    boolean isFull() {
        full += here.size() > most ? 1 : 0;
        return here.size() > most;
    }

    void idle(Client client, boolean isIdle) {
        if (!isIdle || !here.contains(client)) {
            idle.remove(client);
        } else if (leaving) {
            client.close();
        } else if (idle.add(client)) {
            client.idleSince = loop.now();
            if (sweep == null) {
                sweep = loop.at(loop.now() + KEPT, this::closeIdle);
            }
            if (here.size() > crowd) {
                // Guards against clients that ask once a connection: they may open no more until some go.
                Client longest = idle.iterator().next();
                crowded++;
                went(longest);
                longest.close();
            }
        }
    }

    /**
     * Guards against clients that ask once and stay: their connections would leave no place for others. Those
     * that ask again within the time are never among them.
     */
    private void closeIdle() {
        sweep = null;
        while (!idle.isEmpty()) {
            Client longest = idle.iterator().next();
            if (longest.idleSince + KEPT > loop.now()) {
                sweep = loop.at(longest.idleSince + KEPT, this::closeIdle);
                return;
            }
            idle.remove(longest);
            longest.close();
        }
    }

    /**
     * The RPC that the statement just read asks for; null where its method is not known, or its id is that of
     * an RPC that is open: who gave it out twice can't have two answers.
     */
    Query taken(Client client, Statement statement) {
        Method method = methods.get(statement.method());
        if (method == null) {
            unknown++;
            return null;
        }
        if (open.containsKey(statement.id())) {
            twice++;
            return null;
        }
        long now = loop.clock();
        // Rounded down: the client has counted since it sent, and the answer has a way to go.
        long deadline = now + Math.max(0, Math.min(statement.timeMs() * 10, method.deadline) - tick);
        Query call = new Query(statement.id(), method, tenants.getOrDefault(statement.tenant(), unnamed),
                statement.key(), now, deadline, statement.hintMicros() / 100, statement.retry(), client,
                statement.before(), statement.after());
        open.put(call.id, call);
        call.guard = loop.at(deadline + 2 * tick, () -> loop.post(() -> rescue(call)));
        return call;
    }

    void tell(Query call) {
        if (open.size() > mostOpen) {
            call.closed = true;
            loop.gather(() -> call.pushBack(0));
        } else {
            loop.gather(() -> rules.taken(call));
        }
    }

    /** Guards against an RPC that the rules have lost by a fault: after they had their say in this turn. */
    private void rescue(Query call) {
        if (call.isAwaited()) {
            rescued++;
            call.closed = true;
            call.abort();
        }
    }

    void left(Query call) {
        loop.gather(() -> rules.left(call));
    }

    void closed(Query call) {
        Loop.holds(open.remove(call.id, call));
    }

    void malformed() {
        malformed++;
    }

    void unknown() {
        unknown++;
    }

    void pushedBack() {
        pushedBack++;
    }

    void tooLong() {
        tooLong++;
    }

    boolean isLeaving() {
        return leaving;
    }

    @Override
    public void leave() {
        leaving = true;
        for (Client client : new ArrayList<>(idle)) {
            client.close();
        }
        idle.clear();
    }

    @Override
    public int count() {
        return here.size();
    }

    @Override
    public String toString() {
        return String.format("clients %d, idle %d, open RPCs %d, malformed %d, unknown %d, open ids %d,"
                + " too long %d, made room %d, crowded %d, full %d, pushed back %d, rescued %d",
                here.size(), idle.size(), open.size(), malformed,
                unknown, twice, tooLong, madeRoom, crowded, full, pushedBack, rescued);
    }
}
