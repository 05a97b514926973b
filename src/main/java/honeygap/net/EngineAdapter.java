package honeygap.net;

import honeygap.DecisionHandler;
import honeygap.DecisionEngine;
import honeygap.fleet.Appliance;
import honeygap.fleet.Build;
import honeygap.fleet.Rpc;
import java.util.HashMap;
import java.util.Map;
import org.tinylog.Logger;

/**
 * Runs the rules of one protocol on the event loop and passes their decisions on: to the downstream side whose RPCs
 * they concern, the upstream side that serves these, service discovery and the release desk. Each protocol of an
 * agent has an engine of its own.
 */
public final class EngineAdapter implements DecisionHandler, Loop.Stepper {

    /** Client of the service discovery that lists the appliances. */
    public interface ListSource {

        /** Opens a stream of changes to the list, replacing an open one. */
        void watch();

        /** Requests the complete list once. */
        void fetch();
    }

    /** Receives the votes on trial builds. */
    public interface VoteSink {

        void vote(Build build, int stage, int verdict);
    }

    private final Loop loop;
    private final DecisionEngine rules;
    private final int methods;
    private final String notePrefix;
    private final Map<Integer, Build> builds = new HashMap<>();
    private Upstream upstream;
    private ListSource discovery;
    private VoteSink voteSink;
    private long iterations;

    /** The name, if not empty, prefixes log messages of the rules. */
    public EngineAdapter(Loop loop, DecisionEngine rules, int methods, String name) {
        this.loop = loop;
        this.rules = rules;
        this.methods = methods;
        this.notePrefix = name.isEmpty() ? "" : name + ": ";
    }

    /** Connects the engine to its collaborators; call it before the loop starts. */
    public void attach(Upstream upstream, ListSource discovery, VoteSink voteSink) {
        this.upstream = upstream;
        this.discovery = discovery;
        this.voteSink = voteSink;
    }

    /** The one record of a build; a build that the rules have removed gets a new record. */
    public Build build(int number) {
        builds.values().removeIf(build -> build.isRemoved);
        return builds.computeIfAbsent(number, n -> new Build(n, methods));
    }

    public int buildCount() {
        return builds.size();
    }

    public long iterationCount() {
        return iterations;
    }

    @Override
    public void startIteration(long now) {
        iterations++;
        rules.advanceClock(now);
    }

    @Override
    public boolean step() {
        return rules.nextDecision(this);
    }

    @Override
    public void sendPick(Rpc rpc, Appliance appliance, long timeout) {
        ((Call) rpc).onPick(appliance);
        upstream.pick((Call) rpc, appliance, timeout);
    }

    @Override
    public void pushBack(Rpc rpc, long retryAfter) {
        ((Call) rpc).pushBack(retryAfter);
    }

    @Override
    public void abort(Rpc rpc) {
        ((Call) rpc).abort();
    }

    @Override
    public void cancelPick(Rpc rpc, int pick) {
        upstream.cancel((Call) rpc, pick);
    }

    @Override
    public void probe(Appliance appliance) {
        upstream.probe(appliance);
    }

    @Override
    public void castVote(Build build, int stage, int verdict) {
        voteSink.vote(build, stage, verdict);
    }

    @Override
    public void watchList() {
        discovery.watch();
    }

    @Override
    public void fetchList() {
        discovery.fetch();
    }

    @Override
    public void wakeAfter(long delay) {
        loop.schedule(loop.now() + delay, rules::wakeUpReceived);
    }

    @Override
    public void logNote(String message) {
        Logger.info("{}{}", notePrefix, message);
    }
}
