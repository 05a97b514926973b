package honeygap.net.clients;

import honeygap.Rules;
import honeygap.fleet.GivenUp;
import honeygap.fleet.Method;
import honeygap.fleet.Pick;
import honeygap.fleet.Tenant;
import honeygap.net.Counters;
import honeygap.net.Events;
import honeygap.net.Front;
import honeygap.net.LogBudget;
import honeygap.net.Loop;
import honeygap.net.Peer;
import honeygap.net.guests.Guests;
import honeygap.net.pg.Query;
import honeygap.net.pg.Statement;
import honeygap.net.pg.Words;
import honeygap.net.shutdown.ShutdownEvent;
import honeygap.net.shutdown.ShutdownLog;
import honeygap.read.Fields;
import honeygap.read.Malformed;
import honeygap.rules.shutdown.ShutdownSchedule;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/** All clients of this agent, and the RPCs taken from them. */
public final class Clients implements Front {

    /** The protocol lets a connection go that has had no open RPC for so long. */
    private static final long KEPT = 20_000;
    /** Log lines a second at most on RPCs that were refused or failed. */
    private static final int GIVEN_UP_LINES = 2;
    private static final long TENTHS_A_MS = 10;

    final Loop loop;
    private final Rules rules;
    private final Map<String, Method> methods;
    private final Map<String, Tenant> tenants = new HashMap<>();
    private final Tenant unnamed = new Tenant();
    private final long tick;
    private final int mostOpen;
    final Guests guests;
    private final Map<String, Query> open = new HashMap<>();
    private long malformed;
    private long unknown;
    private long twice;
    private long pushedBack;
    private long rescued;
    final Statement statement = new Statement();
    private final Map<Method, String> names = new HashMap<>();
    private final ShutdownLog shutdownLog;
    private final LogBudget givenUpLines;
    private final Map<GivenUp, Long> givenUp = new EnumMap<>(GivenUp.class);

    /** Methods and customers by the names of their lists; above a crowd idle ones go; most is the limit. */
    public Clients(Loop loop, Rules rules, Map<String, Method> methods, Fields info,
                   int most, int crowd) throws Malformed {
        this.loop = loop;
        this.rules = rules;
        this.methods = methods;
        methods.forEach((name, method) -> names.put(method, name));
        shutdownLog = new ShutdownLog(loop);
        givenUpLines = new LogBudget(loop, GIVEN_UP_LINES);
        guests = new Guests(loop, most, crowd, KEPT, shutdownLog);
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
        loop.rpcTaken();
        long now = loop.clock();
        // Rounded down: the client has counted since it sent, and the answer has a way to go.
        long deadline = now + Math.max(0, Math.min(statement.timeMs() * 10, method.deadline) - tick);
        Query call = new Query(statement.id(), method, tenants.getOrDefault(statement.tenant(), unnamed),
                statement.key(), now, deadline, statement.hintMicros() / 100, statement.retry(), client,
                statement.before(), statement.after());
        open.put(call.id, call);
        shutdown(ShutdownEvent.TAKEN, call, client);
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
    void rescue(Query call) {
        if (call.isAwaited()) {
            rescued++;
            call.closed = true;
            call.abort();
        }
    }

    /** An RPC was refused or failed: counted by its reason, and told with what was known of the appliances. */
    void givenUp(Query call) {
        if (call.givenUp == null) {
            return;
        }
        givenUp.merge(call.givenUp, 1L, Long::sum);
        if (givenUpLines.allows()) {
            Pick last = call.picks.isEmpty() ? null : call.picks.get(call.picks.size() - 1);
            Events.givenUp(call.id, names.get(call.method), call.givenUp.word, last == null ? -1 : last.appliance.id,
                    (call.deadline - loop.clock()) / TENTHS_A_MS, "list confirmed " + rules.listAge() / TENTHS_A_MS
                            + " ms ago, " + rules.covered() + " appliances known to serve");
        }
    }

    /** Notes what happened to an RPC, where the process has been told to end. */
    void shutdown(ShutdownEvent event, Query call, Client client) {
        shutdownLog.rpc(event, call.id, names.get(call.method), client.age(), call.deadline - loop.clock());
    }

    /** The process was told to end, and goes by this schedule. */
    public void shutDown(ShutdownSchedule schedule) {
        shutdownLog.signalled(schedule, guests.stages());
        guests.shutDown(schedule, tick);
    }

    /** What happened since the signal to end. */
    public ShutdownLog shutdownLog() {
        return shutdownLog;
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

    @Override
    public void leave() {
        guests.leave();
    }

    @Override
    public void drain(boolean isDrained) {
        guests.drain(isDrained);
    }

    @Override
    public int count() {
        return guests.count();
    }

    /** How many connections are let in at most. */
    public int places() {
        return guests.places();
    }

    @Override
    public void report(Counters counters) {
        guests.report(counters);
        counters.count("open RPCs", open.size());
        counters.count("malformed", malformed);
        counters.count("unknown", unknown);
        counters.count("open ids", twice);
        counters.count("pushed back", pushedBack);
        counters.count("rescued", rescued);
        givenUp.forEach((why, many) -> counters.count("given up: " + why.word, many));
        counters.count("given up, lines left out", givenUpLines.leftOut());
    }
}
