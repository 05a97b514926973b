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
    private final String name;
    private final Map<Integer, Build> builds = new HashMap<>();
    private Back back;
    private Directory directory;
    private Poll poll;
    private long turns;

    /** The name stands before the module's notes, where it has one. */
    public Core(Loop loop, Rules rules, int methods, String name) {
        this.loop = loop;
        this.rules = rules;
        this.methods = methods;
        this.name = name.isEmpty() ? "" : name + ": ";
    }

    /** Before the loop starts. */
    public void join(Back back, Directory directory, Poll poll) {
        this.back = back;
        this.directory = directory;
        this.poll = poll;
    }

    /** The one record of a build; one that the module has let go of begins anew. */
    public Build build(int number) {
        builds.values().removeIf(build -> build.left);
        return builds.computeIfAbsent(number, n -> new Build(n, methods));
    }

    public int builds() {
        return builds.size();
    }

    public long turns() {
        return turns;
    }

    @Override
    public void now(long now) {
        turns++;
        rules.now(now);
    }

    @Override
    public boolean next() {
        return rules.next(this);
    }

    @Override
    public void pick(Rpc rpc, Appliance appliance, long within) {
        ((Call) rpc).picked(appliance);
        back.pick((Call) rpc, appliance, within);
    }

    @Override
    public void pushBack(Rpc rpc, long stayAway) {
        ((Call) rpc).pushBack(stayAway);
    }

    @Override
    public void abort(Rpc rpc) {
        ((Call) rpc).abort();
    }

    @Override
    public void cancel(Rpc rpc, int pick) {
        back.cancel((Call) rpc, pick);
    }

    @Override
    public void probe(Appliance appliance) {
        back.probe(appliance);
    }

    @Override
    public void vote(Build build, int stage, int verdict) {
        poll.vote(build, stage, verdict);
    }

    @Override
    public void watch() {
        directory.watch();
    }

    @Override
    public void fetch() {
        directory.fetch();
    }

    @Override
    public void wake(long delay) {
        loop.at(loop.now() + delay, rules::woken);
    }

    @Override
    public void note(String line) {
        Logger.info("{}{}", name, line);
    }
}
