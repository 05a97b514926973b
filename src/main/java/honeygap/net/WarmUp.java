package honeygap.net;

import honeygap.DecisionHandler;
import honeygap.DecisionEngine;
import honeygap.fleet.Appliance;
import honeygap.fleet.Build;
import honeygap.fleet.Fleet;
import honeygap.fleet.Zone;
import honeygap.fleet.Method;
import honeygap.fleet.Pick;
import honeygap.fleet.Rpc;
import honeygap.fleet.Tenant;
import honeygap.net.pg.FrameDecoder;
import honeygap.net.pg.Statement;
import honeygap.net.pg.PgMessages;
import honeygap.config.DeploymentSettings;
import honeygap.config.JsonObject;
import honeygap.config.Malformed;
import java.util.ArrayDeque;
import java.util.List;

/**
 * Runs synthetic RPCs through the parsers and a separate instance of the rules before the agent listens, so that the
 * first real RPCs do not wait for class loading and compilation. It opens no connections and keeps no results.
 */
final class WarmUp implements DecisionHandler {

    private static final int APPLIANCES = 8;
    private static final long STEP = 10;

    private final List<Method> methods;
    private final DecisionEngine rules;
    private final FrameDecoder frames = new FrameDecoder(1 << 16);
    private final Statement statement = new Statement();
    private final ArrayDeque<Rpc> inFlight = new ArrayDeque<>();
    private final Tenant tenant = new Tenant();
    private long now;

    WarmUp(JsonObject settings) throws Malformed {
        methods = DeploymentSettings.methods(settings);
        rules = DeploymentSettings.rules(0, 1, methods, settings, DeploymentSettings.socketListing(settings));
        rules.listStarted(true, true);
        Build stable = new Build(1, methods.size());
        Build trial = new Build(2, methods.size());
        Zone location = new Zone();
        for (int i = 0; i < APPLIANCES; i++) {
            rules.applianceListed(new Appliance(i), i % 2 == 0 ? stable : trial, location, 0, Appliance.UP,
                    Fleet.LONG_AGO);
        }
        rules.listCompleted();
        rules.rolloutReported(trial, Build.ON_TRIAL, 0, 1, false, 0, Pick.OK);
    }

    /** Runs for a number of milliseconds and returns the number of RPCs. */
    int run(long ms) {
        long end = System.nanoTime() + ms * 1_000_000;
        int completed = 0;
        while (System.nanoTime() < end) {
            now += STEP;
            rules.advanceClock(now);
            rules.listConfirmed(now);
            rules.wakeUpReceived();
            submit(completed++);
            while (rules.nextDecision(this)) {
                continue;
            }
            if (inFlight.size() > APPLIANCES / 2) {
                Rpc rpc = inFlight.poll();
                int outcome = completed % 16 == 0 ? Pick.ERROR : Pick.OK;
                rules.pickEnded(rpc, rpc.picks.size() - 1, outcome, rpc.closed || outcome == Pick.OK, 10 * STEP);
            }
        }
        return completed;
    }

    private void submit(int number) {
        try {
            parseAndSubmit(number);
        } catch (Malformed e) {
            // The synthetic statements are well-formed.
            throw new IllegalStateException(e);
        }
    }

    private void parseAndSubmit(int number) throws Malformed {
        Method method = methods.get(number % methods.size());
        frames.feed(PgMessages.query("SELECT content FROM kv WHERE name = '" + number + "' /* id=" + number
                + ",c=m,t=t,d=480,h=1000 */"));
        if (frames.next() && statement.parse(frames.body())) {
            PgMessages.query(statement.textBeforeTimeout(), statement.timeoutMs(), statement.textAfterTimeout());
            rules.rpcReceived(new Rpc(statement.id(), method, tenant, statement.key(), now, now + method.deadline,
                    statement.hintMicros(), statement.retry()));
        }
        frames.feed(PgMessages.error(PgMessages.TOO_MANY_CONNECTIONS, "rehearsed", 1));
        while (frames.next()) {
            PgMessages.errorField(frames.body(), 'C');
        }
    }

    @Override
    public void sendPick(Rpc rpc, Appliance appliance, long timeout) {
        rules.beginSending(rpc, rpc.picks.size() - 1);
        rules.pickWritten(rpc, rpc.picks.size() - 1, now);
        inFlight.add(rpc);
    }

    @Override
    public void pushBack(Rpc rpc, long retryAfter) {
        PgMessages.error(PgMessages.TOO_MANY_CONNECTIONS, "rehearsed", retryAfter);
    }

    @Override
    public void abort(Rpc rpc) {
        PgMessages.error(PgMessages.SYSTEM_ERROR, "rehearsed", 0);
    }

    @Override
    public void cancelPick(Rpc rpc, int pick) {
    }

    @Override
    public void probe(Appliance appliance) {
    }

    @Override
    public void castVote(Build build, int stage, int verdict) {
    }

    @Override
    public void watchList() {
    }

    @Override
    public void fetchList() {
    }

    @Override
    public void wakeAfter(long delay) {
    }

    @Override
    public void logNote(String message) {
    }
}
