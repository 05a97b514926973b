package honeygap.net.ofrep;

import honeygap.DecisionEngine;
import honeygap.flags.EvaluationCoordinator;
import honeygap.flags.Evaluation;
import honeygap.flags.RetryAfterLimits;
import honeygap.flags.ServerAnswer;
import honeygap.flags.SharedRequest;
import honeygap.fleet.Appliance;
import honeygap.fleet.Tenant;
import honeygap.net.Counters;
import honeygap.net.Loop;
import java.util.LinkedHashMap;
import java.util.Map;

/** Connects client evaluations with RPCs to flag servers: executes the decisions of {@code EvaluationCoordinator}. */
public final class EvaluationDispatcher implements EvaluationCoordinator.DecisionSink, Loop.Stepper, Counters.Group {

    private static final int MAX_TENANTS = 10_000;

    private final Loop loop;
    private final DecisionEngine rules;
    private final EvaluationCoordinator answers;
    private final RetryAfterLimits limits;
    /**
     * One tenant per flag, so that a flag whose evaluations fail on every build is itself considered faulty, as a
     * tenant may be. The least recently used entry is evicted.
     */
    private final Map<String, Tenant> tenants = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Tenant> eldest) {
            return size() > MAX_TENANTS;
        }
    };
    private long callCount;
    private long abortedByGuardCount;

    public EvaluationDispatcher(Loop loop, DecisionEngine rules, EvaluationCoordinator answers, RetryAfterLimits limits) {
        this.loop = loop;
        this.rules = rules;
        this.answers = answers;
        this.limits = limits;
    }

    /** Submits a client's evaluation; a timer aborts it two ticks after its deadline if it has not ended by then. */
    public void submit(PendingEvaluation evaluation, long tick) {
        evaluation.guard = loop.schedule(evaluation.deadline + 2 * tick, () -> loop.post(() -> {
            if (!evaluation.isEnded()) {
                abortedByGuardCount++;
                answers.clientDisconnected(evaluation);
                evaluation.abort();
            }
        }));
        loop.defer(() -> answers.evaluationReceived(evaluation));
    }

    /** Abandons an evaluation whose client has disconnected or that the shutdown ends. */
    public void abandon(PendingEvaluation evaluation) {
        loop.defer(() -> answers.clientDisconnected(evaluation));
    }

    /** A server asked for no requests during this many tenths of a millisecond. */
    public void applyRetryAfter(Appliance appliance, long retryAfter) {
        limits.retryAfterReceived(appliance, retryAfter);
    }

    /** When a pushed-back client should retry: not before a server accepts picks again. Tenths of a millisecond. */
    public long suggestedRetryAfter() {
        return limits.timeUntilAvailable();
    }

    void picked(EvaluationCall call, Appliance appliance) {
        answers.pickStarted(call.shared, rules.isOnTrial(appliance.build));
    }

    int responseReceived(EvaluationCall call, Appliance appliance, ServerAnswer served) {
        return answers.answerReceived(call.shared, served, rules.isOnTrial(appliance.build));
    }

    void callFailed(EvaluationCall call, boolean isPushedBack, long retryAfter) {
        loop.defer(() -> answers.requestFailed(call.shared, isPushedBack, retryAfter));
    }

    @Override
    public void startIteration(long now) {
        answers.setNow(now);
        limits.setNow(now);
    }

    @Override
    public boolean step() {
        return answers.next(this);
    }

    @Override
    public void openRequest(SharedRequest shared) {
        String flag = shared.query.flag == null ? "" : shared.query.flag;
        EvaluationCall call = new EvaluationCall("f" + callCount++, shared, tenants.computeIfAbsent(flag, name -> new Tenant()), this);
        shared.rpc = call;
        loop.defer(() -> rules.rpcReceived(call));
    }

    @Override
    public void cancelRequest(SharedRequest shared) {
        loop.defer(() -> rules.clientDisconnected(shared.rpc));
    }

    @Override
    public void answer(Evaluation evaluation, ServerAnswer served, int origin) {
        ((PendingEvaluation) evaluation).answer(served, origin);
    }

    @Override
    public void pushBack(Evaluation evaluation, long retryAfter) {
        ((PendingEvaluation) evaluation).pushBack(retryAfter);
    }

    @Override
    public void abort(Evaluation evaluation) {
        ((PendingEvaluation) evaluation).abort();
    }

    @Override
    public void wake(long delay) {
        loop.schedule(loop.now() + delay, answers::wakeupFired);
    }

    @Override
    public void report(Counters counters) {
        answers.report(counters::count);
        counters.count("told to stay away", limits.reportedCount());
        counters.count("rescued", abortedByGuardCount);
    }
}
