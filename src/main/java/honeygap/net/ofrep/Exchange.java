package honeygap.net.ofrep;

import honeygap.Rules;
import honeygap.flags.Answers;
import honeygap.flags.Evaluation;
import honeygap.flags.Limits;
import honeygap.flags.Served;
import honeygap.flags.Shared;
import honeygap.fleet.Appliance;
import honeygap.fleet.Tenant;
import honeygap.net.Counters;
import honeygap.net.Loop;
import java.util.LinkedHashMap;
import java.util.Map;

/** Between the evaluations of clients and the RPCs to servers: carries out what {@code Answers} decides. */
public final class Exchange implements Answers.Out, Loop.Core, Counters.Group {

    private static final int MOST_TENANTS = 10_000;

    private final Loop loop;
    private final Rules rules;
    private final Answers answers;
    private final Limits limits;
    /** A flag whose evaluations fail at every build is bad itself, as a customer may be; the oldest leaves. */
    private final Map<String, Tenant> tenants = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Tenant> eldest) {
            return size() > MOST_TENANTS;
        }
    };
    private long asks;
    private long rescued;

    public Exchange(Loop loop, Rules rules, Answers answers, Limits limits) {
        this.loop = loop;
        this.rules = rules;
        this.answers = answers;
        this.limits = limits;
    }

    /** A client asks; the guard answers two steps after its deadline if nobody else has. */
    public void asked(Awaited awaited, long tick) {
        awaited.guard = loop.at(awaited.deadline + 2 * tick, () -> loop.post(() -> {
            if (!awaited.isEnded()) {
                rescued++;
                answers.left(awaited);
                awaited.abort();
            }
        }));
        loop.gather(() -> answers.asked(awaited));
    }

    public void left(Awaited awaited) {
        loop.gather(() -> answers.left(awaited));
    }

    /** A server wants nothing for so many tenths of a millisecond. */
    public void stayAway(Appliance appliance, long after) {
        limits.told(appliance, after);
    }

    /** When a client that is pushed back had best ask again: not before a server takes picks. */
    public long opensIn() {
        return limits.opensIn();
    }

    void picked(Ask ask, Appliance appliance) {
        answers.picked(ask.shared, rules.onTrial(appliance.build));
    }

    int served(Ask ask, Appliance appliance, Served served) {
        return answers.served(ask.shared, served, rules.onTrial(appliance.build));
    }

    void givenUp(Ask ask, boolean isPushedBack, long stayAway) {
        loop.gather(() -> answers.givenUp(ask.shared, isPushedBack, stayAway));
    }

    @Override
    public void now(long now) {
        answers.now(now);
        limits.now(now);
    }

    @Override
    public boolean next() {
        return answers.next(this);
    }

    @Override
    public void open(Shared shared) {
        String flag = shared.question.flag == null ? "" : shared.question.flag;
        Ask ask = new Ask("f" + asks++, shared, tenants.computeIfAbsent(flag, name -> new Tenant()), this);
        shared.rpc = ask;
        loop.gather(() -> rules.taken(ask));
    }

    @Override
    public void drop(Shared shared) {
        loop.gather(() -> rules.left(shared.rpc));
    }

    @Override
    public void answer(Evaluation evaluation, Served served, int how) {
        ((Awaited) evaluation).answer(served, how);
    }

    @Override
    public void pushBack(Evaluation evaluation, long stayAway) {
        ((Awaited) evaluation).pushBack(stayAway);
    }

    @Override
    public void abort(Evaluation evaluation) {
        ((Awaited) evaluation).abort();
    }

    @Override
    public void wake(long delay) {
        loop.at(loop.now() + delay, answers::woken);
    }

    @Override
    public void report(Counters counters) {
        answers.report(counters::count);
        counters.count("told to stay away", limits.told());
        counters.count("rescued", rescued);
    }
}
