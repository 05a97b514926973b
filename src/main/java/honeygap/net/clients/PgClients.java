package honeygap.net.clients;

import honeygap.DecisionEngine;
import honeygap.fleet.AbandonReason;
import honeygap.fleet.Method;
import honeygap.fleet.Pick;
import honeygap.fleet.Tenant;
import honeygap.net.Counters;
import honeygap.net.EventLog;
import honeygap.net.Downstream;
import honeygap.net.LogRateLimiter;
import honeygap.net.Loop;
import honeygap.net.ConnectionHandler;
import honeygap.net.connections.ClientConnections;
import honeygap.net.pg.Query;
import honeygap.net.pg.Statement;
import honeygap.net.pg.ProtocolViolation;
import honeygap.net.shutdown.ShutdownEvent;
import honeygap.net.shutdown.ShutdownLog;
import honeygap.config.JsonObject;
import honeygap.config.Malformed;
import honeygap.rules.shutdown.ShutdownSchedule;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/** All PostgreSQL client connections of this agent and the RPCs accepted from them. */
public final class PgClients implements Downstream {

    /** The protocol allows closing a connection that has had no open RPC for this long; tenths of a millisecond. */
    private static final long IDLE_TIMEOUT = 20_000;
    /** Maximum rate of log lines about refused or failed RPCs. */
    private static final int MAX_FAILURE_LINES_PER_SECOND = 2;
    private static final long TENTHS_PER_MS = 10;

    final Loop loop;
    private final DecisionEngine rules;
    private final Map<String, Method> methods;
    private final Map<String, Tenant> tenants = new HashMap<>();
    /** Used for RPCs without a tenant, or with one that is not configured. */
    private final Tenant defaultTenant = new Tenant();
    private final long tick;
    private final int maxOpenRpcs;
    final ClientConnections connections;
    private final Map<String, Query> openRpcs = new HashMap<>();
    private final Map<ProtocolViolation.Kind, Long> violationsByKind = new EnumMap<>(ProtocolViolation.Kind.class);
    private long unknownMethodCount;
    private long unknownStatementCount;
    private long duplicateIdCount;
    private long pushedBackCount;
    private long abortedByGuardCount;
    final Statement statement = new Statement();
    private final Map<Method, String> methodNames = new HashMap<>();
    private final ShutdownLog shutdownLog;
    private final LogRateLimiter failureLogBudget;
    private final Map<AbandonReason, Long> failuresByReason = new EnumMap<>(AbandonReason.class);

    /**
     * Creates the downstream side of the PostgreSQL protocol.
     *
     * @param methods the methods by name
     * @param info the configuration, which also lists the tenants
     * @param maxConnections how many connections may stay open
     * @param idleCloseThreshold number of connections above which idle ones are closed
     */
    public PgClients(Loop loop, DecisionEngine rules, Map<String, Method> methods, JsonObject info,
            int maxConnections, int idleCloseThreshold) throws Malformed {
        this.loop = loop;
        this.rules = rules;
        this.methods = methods;
        methods.forEach((name, method) -> methodNames.put(method, name));
        shutdownLog = new ShutdownLog(loop);
        failureLogBudget = new LogRateLimiter(loop, MAX_FAILURE_LINES_PER_SECOND);
        connections = new ClientConnections(loop, maxConnections, idleCloseThreshold, IDLE_TIMEOUT, shutdownLog);
        tick = Math.max(1, info.tenthsOfMs("TickNs"));
        maxOpenRpcs = info.objectOrEmpty("Ceilings").intValue("MaxOpen", Integer.MAX_VALUE);
        if (info.has("Accounts")) {
            for (JsonObject account : info.objects("Accounts")) {
                tenants.put(account.text("Name"), new Tenant());
            }
        }
    }

    @Override
    public ConnectionHandler newHandler() {
        return new PgClientConnection(this);
    }

    /**
     * Opens the RPC requested by the statement just parsed. Returns null if its method is unknown or its id is
     * that of an RPC that is still open, because two open RPCs with one id can't both be answered.
     */
    Query openRpc(PgClientConnection client, Statement statement) {
        Method method = methods.get(statement.method());
        if (method == null) {
            unknownMethodCount++;
            return null;
        }
        if (openRpcs.containsKey(statement.id())) {
            duplicateIdCount++;
            return null;
        }
        loop.onRpcAccepted();
        long now = loop.clock();
        // One tick earlier, because the client's timeout started when it sent and the response takes time to arrive.
        long deadline = now + Math.max(0, Math.min(statement.timeoutMs() * 10, method.deadline) - tick);
        Query call = new Query(statement.id(), method, tenants.getOrDefault(statement.tenant(), defaultTenant),
                statement.key(), now, deadline, statement.hintMicros() / 100, statement.retry(), client,
                statement.textBeforeTimeout(), statement.textAfterTimeout());
        call.accountFor(loop.memory().open(() -> { }), now);
        openRpcs.put(call.id, call);
        recordShutdownEvent(ShutdownEvent.TAKEN, call, client);
        call.deadlineTimer = loop.schedule(deadline + 2 * tick, () -> loop.post(() -> abortIfUnanswered(call)));
        return call;
    }

    /** Passes the RPC on to the rules, or pushes it back if too many RPCs are open. */
    void submit(Query call) {
        if (openRpcs.size() > maxOpenRpcs) {
            call.closed = true;
            loop.defer(() -> call.pushBack(0));
        } else {
            loop.defer(() -> rules.rpcReceived(call));
        }
    }

    /**
     * Aborts an RPC that is still unanswered, which guards against RPCs lost by a fault in the rules. Runs after
     * the rules have been executed in this loop iteration.
     */
    void abortIfUnanswered(Query call) {
        if (call.isAwaitingResponse()) {
            abortedByGuardCount++;
            call.closed = true;
            call.abort();
        }
    }

    /** Counts a refused or failed RPC by its reason and logs it with the known state of the appliances. */
    void recordFailure(Query call) {
        if (call.abandonReason == null) {
            return;
        }
        failuresByReason.merge(call.abandonReason, 1L, Long::sum);
        if (failureLogBudget.tryAcquire()) {
            Pick lastPick = call.picks.isEmpty() ? null : call.picks.get(call.picks.size() - 1);
            EventLog.logAbandonedRpc(call.id, methodNames.get(call.method), call.abandonReason.outerName,
                    lastPick == null ? -1 : lastPick.appliance.id, (call.deadline - loop.clock()) / TENTHS_PER_MS,
                    "list confirmed " + rules.listAge() / TENTHS_PER_MS + " ms ago, " + rules.coveredAppliances()
                            + " appliances known to serve");
        }
    }

    /** Records an event of an RPC in the shutdown log, which ignores it unless a shutdown has been signalled. */
    void recordShutdownEvent(ShutdownEvent event, Query call, PgClientConnection client) {
        shutdownLog.rpc(event, call.id, methodNames.get(call.method), client.age(), call.deadline - loop.clock());
    }

    /** Starts the shutdown of the process by this schedule. */
    public void shutDown(ShutdownSchedule schedule) {
        shutdownLog.onSignal(schedule, connections.countByStage());
        connections.shutDown(schedule, tick);
    }

    /** Events since the shutdown signal. */
    public ShutdownLog shutdownLog() {
        return shutdownLog;
    }

    /** Notifies the rules that the client of this RPC has disconnected. */
    void abandoned(Query call) {
        loop.defer(() -> {
            rules.clientDisconnected(call);
            call.endTextUse();
        });
    }

    void removeRpc(Query call) {
        Loop.checkInvariant(openRpcs.remove(call.id, call));
    }

    void countViolation(ProtocolViolation.Kind kind) {
        violationsByKind.merge(kind, 1L, Long::sum);
    }

    void countUnknownStatement() {
        unknownStatementCount++;
    }

    void countPushedBack() {
        pushedBackCount++;
    }

    @Override
    public void closeBetweenRpcs() {
        connections.closeBetweenRpcs();
    }

    @Override
    public void setDrained(boolean isDrained) {
        connections.drain(isDrained);
    }

    @Override
    public int connectionCount() {
        return connections.count();
    }

    /** The maximum number of connections to accept. */
    public int maxAcceptedConnections() {
        return connections.maxAcceptedConnections();
    }

    @Override
    public void report(Counters counters) {
        connections.report(counters);
        counters.count("open RPCs", openRpcs.size());
        counters.count("malformed", violationsByKind.values().stream().mapToLong(Long::longValue).sum());
        violationsByKind.forEach((kind, count) -> counters.count("malformed: " + kind.label, count));
        counters.count("unknown methods", unknownMethodCount);
        counters.count("unknown statements", unknownStatementCount);
        counters.count("open ids", duplicateIdCount);
        counters.count("pushed back", pushedBackCount);
        counters.count("rescued", abortedByGuardCount);
        failuresByReason.forEach((reason, count) -> counters.count("given up: " + reason.outerName, count));
        counters.count("given up, lines left out", failureLogBudget.suppressed());
    }
}
