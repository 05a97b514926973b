package honeygap.flags;

import honeygap.fleet.Pick;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Decides how flag evaluations end: which of them share a pick, which answer may be returned for which targeting key,
 * and which fallback is used when no server answers. Like {@code DecisionEngine}, it has no I/O: inputs only update the
 * state, and the host pulls decisions with {@link #next} until there are none. Which server is asked, how often, and
 * whether a build proceeds is decided by {@code DecisionEngine} alone. Times are whole tenths of a millisecond.
 */
public final class EvaluationCoordinator {

    /** The source of an answer: a server, or the cache of last good answers at one of two ages. */
    public static final int FRESH = 0;
    public static final int CACHED = 1;
    public static final int STALE = 2;

    /** Fraction of the method's deadline that a request must have left for another evaluation to join it. */
    private static final double MIN_DEADLINE_SHARE_TO_JOIN = 0.5;

    /** Carries out the decisions; each call of {@link #next} makes at most one call. */
    public interface DecisionSink {

        /** Opens one RPC to the servers. */
        void openRequest(SharedRequest request);

        /** Final result: the answer of a server, or one from the cache. */
        void answer(Evaluation evaluation, ServerAnswer answer, int source);

        /** Final result: pushed back. */
        void pushBack(Evaluation evaluation, long retryAfter);

        /** Final result: aborted. */
        void abort(Evaluation evaluation);

        /** Cancels a request that no evaluation is waiting for any more. */
        void cancelRequest(SharedRequest request);

        /** Requests a call of {@link EvaluationCoordinator#wakeupFired} after the delay. */
        void wake(long delay);
    }

    private final boolean isSharing;
    private final long tick;
    private final List<FallbackPolicy> fallbackPolicies;
    private final VersionFloors versionFloors;
    private final AnswerCache answerCache;
    private final FlagTypes flagTypes = new FlagTypes();
    private final Map<FlagQuery, SharedRequest> openRequests = new HashMap<>();
    private final ArrayDeque<Evaluation> undecided = new ArrayDeque<>();
    private final ArrayDeque<SharedRequest> abandonedRequests = new ArrayDeque<>();
    private final PriorityQueue<Evaluation> byDeadline =
            new PriorityQueue<>((a, b) -> Long.compare(a.deadline, b.deadline));
    private long now;
    private long nextWakeup = Long.MAX_VALUE;
    private int activeEvaluations;

    private long evaluationCount;
    private long requestCount;
    private long joinedCount;
    private long splitCount;
    private final long[] answeredBySource = new long[3];
    private long pushedBackCount;
    private long abortedCount;
    private long outdatedCount;
    private long outdatedByBoundCount;
    private long unexpectedTypeCount;
    private long unknownFlagCount;

    /** {@code tick} is the timer resolution; evaluations are aborted one tick before their deadline. */
    public EvaluationCoordinator(boolean isSharing, long tick, List<FallbackPolicy> fallbackPolicies, VersionFloors versionFloors,
            AnswerCache answerCache) {
        this.isSharing = isSharing;
        this.tick = Math.max(1, tick);
        this.fallbackPolicies = fallbackPolicies;
        this.versionFloors = versionFloors;
        this.answerCache = answerCache;
    }

    public void setNow(long now) {
        this.now = now;
    }

    /** The wake-up that was requested last has fired. */
    public void wakeupFired() {
        nextWakeup = Long.MAX_VALUE;
    }

    /** A client has requested an evaluation. */
    public void evaluationReceived(Evaluation evaluation) {
        evaluationCount++;
        activeEvaluations++;
        byDeadline.add(evaluation);
        undecided.addLast(evaluation);
    }

    /** The client has disconnected; the evaluation needs no answer. */
    public void clientDisconnected(Evaluation evaluation) {
        if (evaluation.state != Evaluation.ENDED) {
            finish(evaluation);
        }
    }

    /**
     * A pick of the request is sent. The answer of a build on trial is used for one evaluation only: the others start
     * anew, since a shared pick would expose many evaluations to the trial while the cap counts one.
     */
    public void pickStarted(SharedRequest request, boolean isOnTrial) {
        if (!isOnTrial || request.isComplete || request.isExclusive) {
            return;
        }
        request.isExclusive = true;
        openRequests.remove(request.query, request);
        boolean isFirst = true;
        for (Evaluation evaluation : List.copyOf(request.waiting)) {
            if (!isFirst) {
                request.waiting.remove(evaluation);
                splitCount++;
                evaluation.request = null;
                evaluation.state = Evaluation.NEW;
                undecided.addLast(evaluation);
            }
            isFirst = false;
        }
    }

    /**
     * A server has sent a complete answer. Returns the outcome of the pick: ok; an error if a build on trial returns
     * another value type than released builds, or does not know a flag that they know; or not executed,
     * as if never sent, if the answer is older than one already returned for the targeting key. Only ok answers reach
     * clients, in order of arrival.
     */
    public int answerReceived(SharedRequest request, ServerAnswer answer, boolean isOnTrial) {
        FlagQuery query = request.query;
        if (request.isComplete || !query.isShareable) {
            return complete(request, answer);
        }
        if (answer.status == ServerAnswer.STATUS_FLAG_NOT_FOUND && query.flag != null
                && flagTypes.isKnown(query.flag, !isOnTrial)) {
            unknownFlagCount++;
            return isOnTrial ? Pick.ERROR : Pick.NOT_EXECUTED;
        }
        if (answer.isOk() && isOnTrial && flagTypes.hasUnexpectedType(answer)) {
            unexpectedTypeCount++;
            return Pick.ERROR;
        }
        if (answer.oldestVersion != ServerAnswer.NO_VERSION) {
            long heldVersion = request.waiting.stream().mapToLong(evaluation -> evaluation.clientVersion).max()
                    .orElse(ServerAnswer.NO_VERSION);
            long floor = query.targetingKeyHash == 0 ? heldVersion
                    : Math.max(heldVersion, versionFloors.floor(query.targetingKeyHash));
            if (answer.oldestVersion < floor) {
                outdatedCount++;
                outdatedByBoundCount += query.targetingKeyHash != 0 && heldVersion <= answer.oldestVersion
                        && !versionFloors.isExact(query.targetingKeyHash) ? 1 : 0;
                return Pick.NOT_EXECUTED;
            }
            if (query.targetingKeyHash != 0) {
                versionFloors.raise(query.targetingKeyHash, answer.newestVersion);
            }
        }
        if (answer.isOk()) {
            if (!isOnTrial) {
                flagTypes.learn(answer);
            }
            if (FallbackPolicy.forFlag(fallbackPolicies, query.flag).staleFor() > 0) {
                answerCache.put(query, answer.newestVersion, answer.body, now);
            }
        }
        return complete(request, answer);
    }

    private int complete(SharedRequest request, ServerAnswer answer) {
        if (!request.isComplete) {
            close(request);
            for (Evaluation evaluation : request.waiting) {
                evaluation.answer = answer;
                evaluation.state = Evaluation.ANSWERED;
                undecided.addLast(evaluation);
            }
            request.waiting.clear();
        }
        return Pick.OK;
    }

    /** The decision engine has ended the request without an answer: pushed back or aborted. */
    public void requestFailed(SharedRequest request, boolean isPushedBack, long retryAfter) {
        if (request.isComplete) {
            return;
        }
        close(request);
        for (Evaluation evaluation : request.waiting) {
            evaluation.state = isPushedBack ? Evaluation.PUSHED_BACK : Evaluation.ABORTED;
            evaluation.retryAfter = retryAfter;
            undecided.addLast(evaluation);
        }
        request.waiting.clear();
    }

    private void close(SharedRequest request) {
        request.isComplete = true;
        openRequests.remove(request.query, request);
    }

    private void finish(Evaluation evaluation) {
        evaluation.state = Evaluation.ENDED;
        activeEvaluations--;
        SharedRequest request = evaluation.request;
        if (request != null && request.waiting.remove(evaluation) && request.waiting.isEmpty()
                && !request.isComplete) {
            close(request);
            abandonedRequests.addLast(request);
        }
        // Ended evaluations would otherwise accumulate in the queue until their deadlines.
        if (byDeadline.size() > 64 && byDeadline.size() > 2 * activeEvaluations) {
            byDeadline.removeIf(evaluationInQueue -> evaluationInQueue.state == Evaluation.ENDED);
        }
    }

    /** Makes at most one call on {@code sink}; returns false when there is nothing to decide now. */
    public boolean next(DecisionSink sink) {
        if (!abandonedRequests.isEmpty()) {
            sink.cancelRequest(abandonedRequests.poll());
            return true;
        }
        while (!undecided.isEmpty()) {
            if (decide(undecided.poll(), sink)) {
                return true;
            }
        }
        while (!byDeadline.isEmpty() && (byDeadline.peek().state == Evaluation.ENDED
                || byDeadline.peek().deadline - tick <= now)) {
            Evaluation expired = byDeadline.poll();
            if (expired.state != Evaluation.ENDED) {
                expired.state = Evaluation.ABORTED;
                return decide(expired, sink);
            }
        }
        long wakeupAt = byDeadline.isEmpty() ? Long.MAX_VALUE : byDeadline.peek().deadline - tick;
        if (wakeupAt < nextWakeup) {
            nextWakeup = wakeupAt;
            sink.wake(Math.max(1, wakeupAt - now));
            return true;
        }
        return false;
    }

    private boolean decide(Evaluation evaluation, DecisionSink sink) {
        switch (evaluation.state) {
            case Evaluation.NEW:
                return startOrJoin(evaluation, sink);
            case Evaluation.ANSWERED:
                finish(evaluation);
                answeredBySource[FRESH]++;
                sink.answer(evaluation, evaluation.answer, FRESH);
                return true;
            case Evaluation.PUSHED_BACK:
            case Evaluation.ABORTED:
                finishWithoutServer(evaluation, sink);
                return true;
            default:
                return false;
        }
    }

    private boolean startOrJoin(Evaluation evaluation, DecisionSink sink) {
        FlagQuery query = evaluation.query;
        SharedRequest request = isSharing && query.isShareable ? openRequests.get(query) : null;
        evaluation.state = Evaluation.WAITING;
        if (request != null && request.deadline - now >= MIN_DEADLINE_SHARE_TO_JOIN * query.method.deadline) {
            joinedCount++;
            evaluation.request = request;
            request.waiting.add(evaluation);
            return false;
        }
        request = new SharedRequest(query, now, evaluation.deadline);
        if (query.isShareable) {
            openRequests.put(query, request);
        }
        requestCount++;
        evaluation.request = request;
        request.waiting.add(evaluation);
        sink.openRequest(request);
        return true;
    }

    /**
     * Ends an evaluation that no server has answered: with the cached answer if the settings allow it and the targeting
     * key has not been answered from a newer version, otherwise pushed back or aborted.
     */
    private void finishWithoutServer(Evaluation evaluation, DecisionSink sink) {
        boolean isPushedBack = evaluation.state == Evaluation.PUSHED_BACK;
        finish(evaluation);
        FlagQuery query = evaluation.query;
        FallbackPolicy policy = query.isShareable ? FallbackPolicy.forFlag(fallbackPolicies, query.flag) : FallbackPolicy.NONE;
        int position = policy.staleFor() > 0 ? answerCache.find(query) : -1;
        if (position >= 0) {
            long age = now - answerCache.storedAt(position);
            long version = answerCache.version(position);
            long floor = query.targetingKeyHash == 0 ? evaluation.clientVersion
                    : Math.max(evaluation.clientVersion, versionFloors.floor(query.targetingKeyHash));
            if (age <= policy.staleFor() && (version == ServerAnswer.NO_VERSION || version >= floor)) {
                int source = age <= policy.cachedFor() ? CACHED : STALE;
                if (version != ServerAnswer.NO_VERSION && query.targetingKeyHash != 0) {
                    versionFloors.raise(query.targetingKeyHash, version);
                }
                answeredBySource[source]++;
                sink.answer(evaluation, new ServerAnswer(ServerAnswer.STATUS_OK, answerCache.body(position), version, version, Map.of()),
                        source);
                return;
            }
        }
        if (isPushedBack) {
            pushedBackCount++;
            sink.pushBack(evaluation, evaluation.retryAfter);
        } else {
            abortedCount++;
            sink.abort(evaluation);
        }
    }

    /** Number of evaluations that have not ended. */
    public int activeEvaluations() {
        return activeEvaluations;
    }

    /** Receives each counter by its name. */
    public interface CounterSink {

        void count(String name, long value);
    }

    public void report(CounterSink counters) {
        counters.count("open", activeEvaluations);
        counters.count("asked", evaluationCount);
        counters.count("opened", requestCount);
        counters.count("shared", joinedCount);
        counters.count("split", splitCount);
        counters.count("fresh", answeredBySource[FRESH]);
        counters.count("cached", answeredBySource[CACHED]);
        counters.count("stale", answeredBySource[STALE]);
        counters.count("pushed back", pushedBackCount);
        counters.count("aborted", abortedCount);
        counters.count("older", outdatedCount);
        counters.count("older by bound", outdatedByBoundCount);
        counters.count("odd type", unexpectedTypeCount);
        counters.count("flag unknown", unknownFlagCount);
        counters.count("keys", versionFloors.size());
        counters.count("keys forgotten", versionFloors.evictedCount());
        counters.count("too long to keep", answerCache.tooLongCount());
    }
}
