package honeygap.net;

import honeygap.Ctl;
import honeygap.Rules;
import honeygap.fleet.Appliance;
import honeygap.fleet.Build;
import honeygap.fleet.Rpc;
import java.util.HashMap;
import java.util.Map;
import org.tinylog.Logger;

/**
 * A decision module on the loop, between the front whose RPCs it decides and the back that serves them, with
 * the list and the desk that it hears. Each protocol that an agent speaks has one of its own.
 */
public final class Core implements Ctl, Loop.Core {

    /** Where the appliances are listed. */
    public interface Directory {

        void watch();

        void fetch();
    }

    /** Where votes are cast. */
    public interface Poll {

        void vote(Build build, int stage, int verdict);
    }

    private final Loop loop;
    private final Rules rules;
    private final int methods;
    private final String notePrefix;
    private final Map<Integer, Build> builds = new HashMap<>();
    private Back upstream;
    private Directory discovery;
    private Poll voteSink;
    private long iterations;

    /** The name stands before the module's notes, where it has one. */
    public Core(Loop loop, Rules rules, int methods, String name) {
        this.loop = loop;
        this.rules = rules;
        this.methods = methods;
        this.notePrefix = name.isEmpty() ? "" : name + ": ";
    }

    /** Before the loop starts. */
    public void attach(Back upstream, Directory discovery, Poll voteSink) {
        this.upstream = upstream;
        this.discovery = discovery;
        this.voteSink = voteSink;
    }

    /** The one record of a build; one that the module has let go of begins anew. */
    public Build build(int number) {
        builds.values().removeIf(build -> build.left);
        return builds.computeIfAbsent(number, n -> new Build(n, methods));
    }

    public int buildCount() {
        return builds.size();
    }

    public long iterationCount() {
        return iterations;
    }

    @Override
    public void now(long now) {
        iterations++;
        rules.now(now);
    }

    @Override
    public boolean next() {
        return rules.next(this);
    }

    @Override
    public void pick(Rpc rpc, Appliance appliance, long timeout) {
        ((Call) rpc).picked(appliance);
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
    public void cancel(Rpc rpc, int pick) {
        upstream.cancel((Call) rpc, pick);
    }

    @Override
    public void probe(Appliance appliance) {
        upstream.probe(appliance);
    }

    @Override
    public void vote(Build build, int stage, int verdict) {
        voteSink.vote(build, stage, verdict);
    }

    @Override
    public void watch() {
        discovery.watch();
    }

    @Override
    public void fetch() {
        discovery.fetch();
    }

    @Override
    public void wake(long delay) {
        loop.at(loop.now() + delay, rules::woken);
    }

    @Override
    public void note(String message) {
        Logger.info("{}{}", notePrefix, message);
    }
}
