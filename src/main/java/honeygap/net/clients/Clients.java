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
    private static final long IDLE_TIMEOUT = 20_000;
    /** Log lines a second at most on RPCs that were refused or failed. */
    private static final int MAX_FAILURE_LINES_PER_SECOND = 2;
    private static final long TENTHS_PER_MS = 10;

    final Loop loop;
    private final Rules rules;
    private final Map<String, Method> methods;
    private final Map<String, Tenant> tenants = new HashMap<>();
    private final Tenant defaultTenant = new Tenant();
    private final long tick;
    private final int maxOpenRpcs;
    final Guests connections;
    private final Map<String, Query> openRpcs = new HashMap<>();
    private long malformedCount;
    private long unknownCount;
    private long duplicateIdCount;
    private long pushedBackCount;
    private long rescuedCount;
    final Statement statement = new Statement();
    private final Map<Method, String> methodNames = new HashMap<>();
    private final ShutdownLog shutdownLog;
    private final LogBudget failureLogBudget;
    private final Map<GivenUp, Long> failuresByReason = new EnumMap<>(GivenUp.class);

    /** Methods and customers by the names of their lists; above a crowd idle ones go; most is the limit. */
    public Clients(Loop loop, Rules rules, Map<String, Method> methods, Fields info,
                   int maxConnections, int idleCloseThreshold) throws Malformed {
        this.loop = loop;
        this.rules = rules;
        this.methods = methods;
        methods.forEach((name, method) -> methodNames.put(method, name));
        shutdownLog = new ShutdownLog(loop);
        failureLogBudget = new LogBudget(loop, MAX_FAILURE_LINES_PER_SECOND);
        connections = new Guests(loop, maxConnections, idleCloseThreshold, IDLE_TIMEOUT, shutdownLog);
        tick = Math.max(1, info.tenths("TickNs"));
        maxOpenRpcs = info.part("Ceilings").index("MaxOpen", Integer.MAX_VALUE);
        if (info.has("Accounts")) {
            for (Fields account : info.objects("Accounts")) {
                tenants.put(account.text("Name"), new Tenant());
            }
        }
    }

    @Override
    public Peer comer() {
        return new PgClientConnection(this);
    }

    /**
     * The RPC that the statement just read asks for; null where its method is not known, or its id is that of
     * an RPC that is open: who gave it out twice can't have two answers.
     */
    Query openRpc(PgClientConnection client, Statement statement) {
        Method method = methods.get(statement.method());
        if (method == null) {
            unknownCount++;
            return null;
        }
        if (openRpcs.containsKey(statement.id())) {
            duplicateIdCount++;
            return null;
        }
        loop.rpcTaken();
        long now = loop.clock();
        // Rounded down: the client has counted since it sent, and the answer has a way to go.
        long deadline = now + Math.max(0, Math.min(statement.timeMs() * 10, method.deadline) - tick);
        Query call = new Query(statement.id(), method, tenants.getOrDefault(statement.tenant(), defaultTenant),
                statement.key(), now, deadline, statement.hintMicros() / 100, statement.retry(), client,
                statement.before(), statement.after());
        openRpcs.put(call.id, call);
        recordShutdownEvent(ShutdownEvent.TAKEN, call, client);
        call.guard = loop.at(deadline + 2 * tick, () -> loop.post(() -> abortIfUnanswered(call)));
        return call;
    }

    void submit(Query call) {
        if (openRpcs.size() > maxOpenRpcs) {
            call.closed = true;
            loop.gather(() -> call.pushBack(0));
        } else {
            loop.gather(() -> rules.taken(call));
        }
    }

    /** Guards against an RPC that the rules have lost by a fault: after they had their say in this turn. */
    void abortIfUnanswered(Query call) {
        if (call.isAwaitingResponse()) {
            rescuedCount++;
            call.closed = true;
            call.abort();
        }
    }

    /** An RPC was refused or failed: counted by its reason, and told with what was known of the appliances. */
    void recordFailure(Query call) {
        if (call.givenUp == null) {
            return;
        }
        failuresByReason.merge(call.givenUp, 1L, Long::sum);
        if (failureLogBudget.allows()) {
            Pick lastPick = call.picks.isEmpty() ? null : call.picks.get(call.picks.size() - 1);
            Events.givenUp(call.id, methodNames.get(call.method), call.givenUp.word, lastPick == null ? -1 : lastPick.appliance.id,
                    (call.deadline - loop.clock()) / TENTHS_PER_MS, "list confirmed " + rules.listAge() / TENTHS_PER_MS
                            + " ms ago, " + rules.covered() + " appliances known to serve");
        }
    }

    /** Notes what happened to an RPC, where the process has been told to end. */
    void recordShutdownEvent(ShutdownEvent event, Query call, PgClientConnection client) {
        shutdownLog.rpc(event, call.id, methodNames.get(call.method), client.age(), call.deadline - loop.clock());
    }

    /** The process was told to end, and goes by this schedule. */
    public void shutDown(ShutdownSchedule schedule) {
        shutdownLog.signalled(schedule, connections.countByStage());
        connections.shutDown(schedule, tick);
    }

    /** What happened since the signal to end. */
    public ShutdownLog shutdownLog() {
        return shutdownLog;
    }

    void abandoned(Query call) {
        loop.gather(() -> rules.left(call));
    }

    void removeRpc(Query call) {
        Loop.holds(openRpcs.remove(call.id, call));
    }

    void countMalformed() {
        malformedCount++;
    }

    void countUnknown() {
        unknownCount++;
    }

    void countPushedBack() {
        pushedBackCount++;
    }

    @Override
    public void leave() {
        connections.closeBetweenRpcs();
    }

    @Override
    public void drain(boolean isDrained) {
        connections.drain(isDrained);
    }

    @Override
    public int count() {
        return connections.count();
    }

    /** How many connections are let in at most. */
    public int places() {
        return connections.places();
    }

    @Override
    public void report(Counters counters) {
        connections.report(counters);
        counters.count("open RPCs", openRpcs.size());
        counters.count("malformed", malformedCount);
        counters.count("unknown", unknownCount);
        counters.count("open ids", duplicateIdCount);
        counters.count("pushed back", pushedBackCount);
        counters.count("rescued", rescuedCount);
        failuresByReason.forEach((reason, count) -> counters.count("given up: " + reason.word, count));
        counters.count("given up, lines left out", failureLogBudget.leftOut());
    }
}
