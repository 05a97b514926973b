package honeygap.flags;

import honeygap.fleet.Pick;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Decides how evaluations end: which of them share a pick, which answer may reach which targeting key, and what
 * stands in when no server answers. It is driven as {@code Rules} is: inputs only update what is known, the
 * host pulls decisions with {@link #next} until there is none. Which server is asked, how often and whether a
 * build goes on is decided by {@code Rules} alone. Times are whole tenths of a millisecond.
 */
public final class Answers {

    /** How an answer came about. */
    public static final int FRESH = 0;
    public static final int CACHED = 1;
    public static final int STALE = 2;

    /** Part of a method's deadline that what is shared must still have for another one to wait with it. */
    private static final double MIN_DEADLINE_SHARE_TO_JOIN = 0.5;

    /** The way decisions go out; each call of {@link #next} makes at most one. */
    public interface Out {

        /** Asks the servers, as one RPC. */
        void open(Shared request);

        /** Final answer: a server's, whole, or one kept from earlier. */
        void answer(Evaluation evaluation, Served answer, int source);

        /** Final answer: pushed back. */
        void pushBack(Evaluation evaluation, long retryAfter);

        /** Final answer: aborted. */
        void abort(Evaluation evaluation);

        /** Nobody waits for it any more. */
        void drop(Shared request);

        void wake(long delay);
    }

    private final boolean isSharing;
    private final long tick;
    private final List<Allowance> fallbackPolicies;
    private final Versions versionFloors;
    private final Kept answerCache;
    private final FlagTypes flagTypes = new FlagTypes();
    private final Map<Question, Shared> openRequests = new HashMap<>();
    private final ArrayDeque<Evaluation> undecided = new ArrayDeque<>();
    private final ArrayDeque<Shared> abandonedRequests = new ArrayDeque<>();
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

    public Answers(boolean isSharing, long tick, List<Allowance> fallbackPolicies, Versions versionFloors, Kept answerCache) {
        this.isSharing = isSharing;
        this.tick = Math.max(1, tick);
        this.fallbackPolicies = fallbackPolicies;
        this.versionFloors = versionFloors;
        this.answerCache = answerCache;
    }

    public void now(long now) {
        this.now = now;
    }

    public void woken() {
        nextWakeup = Long.MAX_VALUE;
    }

    /** A client asks. */
    public void asked(Evaluation evaluation) {
        evaluationCount++;
        activeEvaluations++;
        byDeadline.add(evaluation);
        undecided.addLast(evaluation);
    }

    /** Its client has gone: it needs no answer. */
    public void left(Evaluation evaluation) {
        if (evaluation.state != Evaluation.ENDED) {
            finish(evaluation);
        }
    }

    /**
     * A pick of it goes out. What a build on trial answers is for one evaluation: the others that wait ask
     * anew, or a shared pick would expose many while the cap counts one.
     */
    public void picked(Shared request, boolean isOnTrial) {
        if (!isOnTrial || request.isComplete || request.isExclusive) {
            return;
        }
        request.isExclusive = true;
        openRequests.remove(request.question, request);
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
     * A server has answered whole. Says how the pick ends by it: ok; an error, where a build on trial gives
     * another type than released ones, or does not know what they know; or as if never sent, where the answer
     * is older than what the targeting key has met. Only what is ok reaches clients, in the order of coming.
     */
    public int served(Shared request, Served answer, boolean isOnTrial) {
        Question query = request.question;
        if (request.isComplete || !query.shareable) {
            return complete(request, answer);
        }
        if (answer.status == Served.STATUS_FLAG_NOT_FOUND && query.flag != null && flagTypes.isKnown(query.flag, !isOnTrial)) {
            unknownFlagCount++;
            return isOnTrial ? Pick.ERROR : Pick.MOOT;
        }
        if (answer.isGood() && isOnTrial && flagTypes.hasUnexpectedType(answer)) {
            unexpectedTypeCount++;
            return Pick.ERROR;
        }
        if (answer.oldestVersion != Served.NO_VERSION) {
            long heldVersion = request.waiting.stream().mapToLong(evaluation -> evaluation.clientVersion).max().orElse(Served.NO_VERSION);
            long floor = query.targetingKeyHash == 0 ? heldVersion : Math.max(heldVersion, versionFloors.floor(query.targetingKeyHash));
            if (answer.oldestVersion < floor) {
                outdatedCount++;
                outdatedByBoundCount += query.targetingKeyHash != 0 && heldVersion <= answer.oldestVersion
                        && !versionFloors.isExact(query.targetingKeyHash) ? 1 : 0;
                return Pick.MOOT;
            }
            if (query.targetingKeyHash != 0) {
                versionFloors.met(query.targetingKeyHash, answer.newest);
            }
        }
        if (answer.isGood()) {
            if (!isOnTrial) {
                flagTypes.learn(answer);
            }
            if (Allowance.forFlag(fallbackPolicies, query.flag).staleFor() > 0) {
                answerCache.keep(query, answer.newest, answer.body, now);
            }
        }
        return complete(request, answer);
    }

    private int complete(Shared request, Served answer) {
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

    /** The rules have given it up, pushed back or aborted. */
    public void givenUp(Shared request, boolean isPushedBack, long retryAfter) {
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

    private void close(Shared request) {
        request.isComplete = true;
        openRequests.remove(request.question, request);
    }

    private void finish(Evaluation evaluation) {
        evaluation.state = Evaluation.ENDED;
        activeEvaluations--;
        Shared request = evaluation.request;
        if (request != null && request.waiting.remove(evaluation) && request.waiting.isEmpty() && !request.isComplete) {
            close(request);
            abandonedRequests.addLast(request);
        }
        // Guards against those long ended piling up until their deadlines.
        if (byDeadline.size() > 64 && byDeadline.size() > 2 * activeEvaluations) {
            byDeadline.removeIf(evaluationInQueue -> evaluationInQueue.state == Evaluation.ENDED);
        }
    }

    /** Makes at most one call on {@code out}; false when there is nothing to decide now. */
    public boolean next(Out sink) {
        if (!abandonedRequests.isEmpty()) {
            sink.drop(abandonedRequests.poll());
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

    private boolean decide(Evaluation evaluation, Out sink) {
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

    private boolean startOrJoin(Evaluation evaluation, Out sink) {
        Question query = evaluation.question;
        Shared request = isSharing && query.shareable ? openRequests.get(query) : null;
        evaluation.state = Evaluation.WAITING;
        if (request != null && request.deadline - now >= MIN_DEADLINE_SHARE_TO_JOIN * query.method.deadline) {
            joinedCount++;
            evaluation.request = request;
            request.waiting.add(evaluation);
            return false;
        }
        request = new Shared(query, now, evaluation.deadline);
        if (query.shareable) {
            openRequests.put(query, request);
        }
        requestCount++;
        evaluation.request = request;
        request.waiting.add(evaluation);
        sink.open(request);
        return true;
    }

    /** The last good answer where the settings allow it and the key has met nothing newer, or else as told. */
    private void finishWithoutServer(Evaluation evaluation, Out sink) {
        boolean isPushedBack = evaluation.state == Evaluation.PUSHED_BACK;
        finish(evaluation);
        Question query = evaluation.question;
        Allowance policy = query.shareable ? Allowance.forFlag(fallbackPolicies, query.flag) : Allowance.NONE;
        int position = policy.staleFor() > 0 ? answerCache.find(query) : -1;
        if (position >= 0) {
            long age = now - answerCache.storedAt(position);
            long version = answerCache.version(position);
            long floor = query.targetingKeyHash == 0 ? evaluation.clientVersion
                    : Math.max(evaluation.clientVersion, versionFloors.floor(query.targetingKeyHash));
            if (age <= policy.staleFor() && (version == Served.NO_VERSION || version >= floor)) {
                int source = age <= policy.cachedFor() ? CACHED : STALE;
                if (version != Served.NO_VERSION && query.targetingKeyHash != 0) {
                    versionFloors.met(query.targetingKeyHash, version);
                }
                answeredBySource[source]++;
                sink.answer(evaluation, new Served(Served.GOOD, answerCache.body(position), version, version, Map.of()), source);
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

    /** Evaluations without an end. */
    public int activeEvaluations() {
        return activeEvaluations;
    }

    /** Hears each counter by its name. */
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
