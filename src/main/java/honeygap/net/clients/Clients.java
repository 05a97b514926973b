package honeygap.net.clients;

import honeygap.Rules;
import honeygap.fleet.Method;
import honeygap.fleet.Tenant;
import honeygap.net.Loop;
import honeygap.net.Peer;
import honeygap.net.pg.Statement;
import honeygap.read.Fields;
import honeygap.read.Malformed;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** All clients of this agent, and the RPCs taken from them. */
public final class Clients {

    private final Loop loop;
    private final Rules rules;
    private final Map<String, Method> methods;
    private final Map<String, Tenant> tenants = new HashMap<>();
    private final Tenant unnamed = new Tenant();
    private final long tick;
    private final int most;
    private final int mostOpen;
    private final Set<Client> here = new LinkedHashSet<>();
    /** Longest idle first. */
    private final Set<Client> idle = new LinkedHashSet<>();
    private int open;
    private boolean leaving;
    private long malformed;
    private long rescued;
    final Statement statement = new Statement();

    /** Methods and customers by the names of their lists; at most so many connections and open RPCs. */
    public Clients(Loop loop, Rules rules, Map<String, Method> methods, Fields info,
                   int most) throws Malformed {
        this.loop = loop;
        this.rules = rules;
        this.methods = methods;
        this.most = most;
        tick = Math.max(1, info.tenths("TickNs"));
        mostOpen = info.part("Ceilings").index("MaxOpen", Integer.MAX_VALUE);
        if (info.has("Accounts")) {
            for (Fields account : info.objects("Accounts")) {
                tenants.put(account.text("Name"), new Tenant());
            }
        }
    }

    public Peer comer() {
        return new Client(this);
    }

    /** At the limit the client that has been idle longest makes room. */
    void came(Client client) {
        here.add(client);
        if (here.size() > most && !idle.isEmpty()) {
            Client longest = idle.iterator().next();
            idle.remove(longest);
            longest.close();
        }
    }

    void went(Client client) {
        here.remove(client);
        idle.remove(client);
    }

    boolean isFull() {
        return here.size() > most;
    }

    void idle(Client client, boolean isIdle) {
        if (!isIdle) {
            idle.remove(client);
        } else if (leaving) {
            client.close();
        } else {
            idle.add(client);
        }
    }

    /** The RPC that the statement just read asks for; null where its method is not known. */
    Call taken(Client client, Statement statement) {
        Method method = methods.get(statement.method());
        if (method == null) {
            return null;
        }
        long now = loop.clock();
        // Rounded down: the client has counted since it sent, and the answer has a way to go.
        long deadline = now + Math.max(0, statement.timeMs() * 10 - tick);
        Call call = new Call(statement.id(), method, tenants.getOrDefault(statement.tenant(), unnamed),
                statement.key(), now, deadline, statement.hintMicros() / 100, statement.retry(), client,
                statement.before(), statement.after());
        open++;
        call.guard = loop.at(deadline + 2 * tick, () -> loop.post(() -> rescue(call)));
        return call;
    }

    void tell(Call call) {
        if (open > mostOpen) {
            call.closed = true;
            loop.gather(() -> call.pushBack(0));
        } else {
            loop.gather(() -> rules.taken(call));
        }
    }

    /** Guards against an RPC that the rules have lost by a fault: after they had their say in this turn. */
    private void rescue(Call call) {
        if (call.client != null) {
            rescued++;
            call.closed = true;
            call.abort();
        }
    }

    void left(Call call) {
        loop.gather(() -> rules.left(call));
    }

    void closed() {
        open--;
        Loop.holds(open >= 0);
    }

    void malformed() {
        malformed++;
    }

    boolean isLeaving() {
        return leaving;
    }

    /** From now on connections are closed between RPCs. */
    public void leave() {
        leaving = true;
        for (Client client : new ArrayList<>(idle)) {
            client.close();
        }
        idle.clear();
    }

    public int count() {
        return here.size();
    }

    @Override
    public String toString() {
        return String.format("clients %d, open RPCs %d, malformed %d, rescued %d", here.size(), open,
                malformed, rescued);
    }
}
