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
    private static final double LEFT_TO_JOIN = 0.5;

    /** The way decisions go out; each call of {@link #next} makes at most one. */
    public interface Out {

        /** Asks the servers, as one RPC. */
        void open(Shared shared);

        /** Final answer: a server's, whole, or one kept from earlier. */
        void answer(Evaluation evaluation, Served served, int how);

        /** Final answer: pushed back. */
        void pushBack(Evaluation evaluation, long stayAway);

        /** Final answer: aborted. */
        void abort(Evaluation evaluation);

        /** Nobody waits for it any more. */
        void drop(Shared shared);

        void wake(long delay);
    }

    private final boolean sharing;
    private final long tick;
    private final List<Allowance> allowances;
    private final Versions versions;
    private final Kept kept;
    private final Kinds kinds = new Kinds();
    private final Map<Question, Shared> open = new HashMap<>();
    private final ArrayDeque<Evaluation> todo = new ArrayDeque<>();
    private final ArrayDeque<Shared> unwanted = new ArrayDeque<>();
    private final PriorityQueue<Evaluation> deadlines =
            new PriorityQueue<>((a, b) -> Long.compare(a.deadline, b.deadline));
    private long now;
    private long wokenFor = Long.MAX_VALUE;
    private int waiting;

    private long asked;
    private long opened;
    private long joined;
    private long split;
    private final long[] answered = new long[3];
    private long pushedBack;
    private long aborted;
    private long older;
    private long byBound;
    private long odd;
    private long unknown;

    public Answers(boolean sharing, long tick, List<Allowance> allowances, Versions versions, Kept kept) {
        this.sharing = sharing;
        this.tick = Math.max(1, tick);
        this.allowances = allowances;
        this.versions = versions;
        this.kept = kept;
    }

    public void now(long now) {
        this.now = now;
    }

    public void woken() {
        wokenFor = Long.MAX_VALUE;
    }

    /** A client asks. */
    public void asked(Evaluation evaluation) {
        asked++;
        waiting++;
        deadlines.add(evaluation);
        todo.addLast(evaluation);
    }

    /** Its client has gone: it needs no answer. */
    public void left(Evaluation evaluation) {
        if (evaluation.state != Evaluation.ENDED) {
            ended(evaluation);
        }
    }

    /**
     * A pick of it goes out. What a build on trial answers is for one evaluation: the others that wait ask
     * anew, or a shared pick would expose many while the cap counts one.
     */
    public void picked(Shared shared, boolean onTrial) {
        if (!onTrial || shared.over || shared.alone) {
            return;
        }
        shared.alone = true;
        open.remove(shared.question, shared);
        boolean first = true;
        for (Evaluation evaluation : List.copyOf(shared.waiting)) {
            if (!first) {
                shared.waiting.remove(evaluation);
                split++;
                evaluation.shared = null;
                evaluation.state = Evaluation.NEW;
                todo.addLast(evaluation);
            }
            first = false;
        }
    }

    /**
     * A server has answered whole. Says how the pick ends by it: ok; an error, where a build on trial gives
     * another type than released ones, or does not know what they know; or as if never sent, where the answer
     * is older than what the targeting key has met. Only what is ok reaches clients, in the order of coming.
     */
    public int served(Shared shared, Served served, boolean onTrial) {
        Question question = shared.question;
        if (shared.over || !question.shareable) {
            return over(shared, served);
        }
        if (served.status == Served.NO_FLAG && question.flag != null && kinds.isKnown(question.flag, !onTrial)) {
            unknown++;
            return onTrial ? Pick.ERROR : Pick.MOOT;
        }
        if (served.isGood() && onTrial && kinds.isOdd(served)) {
            odd++;
            return Pick.ERROR;
        }
        if (served.oldest != Served.NO_VERSION) {
            long held = shared.waiting.stream().mapToLong(one -> one.holds).max().orElse(Served.NO_VERSION);
            long floor = question.subject == 0 ? held : Math.max(held, versions.floor(question.subject));
            if (served.oldest < floor) {
                older++;
                byBound += question.subject != 0 && held <= served.oldest
                        && !versions.isExact(question.subject) ? 1 : 0;
                return Pick.MOOT;
            }
            if (question.subject != 0) {
                versions.met(question.subject, served.newest);
            }
        }
        if (served.isGood()) {
            if (!onTrial) {
                kinds.learn(served);
            }
            if (Allowance.of(allowances, question.flag).staleFor() > 0) {
                kept.keep(question, served.newest, served.body, now);
            }
        }
        return over(shared, served);
    }

    private int over(Shared shared, Served served) {
        if (!shared.over) {
            close(shared);
            for (Evaluation evaluation : shared.waiting) {
                evaluation.served = served;
                evaluation.state = Evaluation.ANSWERED;
                todo.addLast(evaluation);
            }
            shared.waiting.clear();
        }
        return Pick.OK;
    }

    /** The rules have given it up, pushed back or aborted. */
    public void givenUp(Shared shared, boolean isPushedBack, long stayAway) {
        if (shared.over) {
            return;
        }
        close(shared);
        for (Evaluation evaluation : shared.waiting) {
            evaluation.state = isPushedBack ? Evaluation.PUSHED_BACK : Evaluation.ABORTED;
            evaluation.stayAway = stayAway;
            todo.addLast(evaluation);
        }
        shared.waiting.clear();
    }

    private void close(Shared shared) {
        shared.over = true;
        open.remove(shared.question, shared);
    }

    private void ended(Evaluation evaluation) {
        evaluation.state = Evaluation.ENDED;
        waiting--;
        Shared shared = evaluation.shared;
        if (shared != null && shared.waiting.remove(evaluation) && shared.waiting.isEmpty() && !shared.over) {
            close(shared);
            unwanted.addLast(shared);
        }
        // Guards against those long ended piling up until their deadlines.
        if (deadlines.size() > 64 && deadlines.size() > 2 * waiting) {
            deadlines.removeIf(old -> old.state == Evaluation.ENDED);
        }
    }

    /** Makes at most one call on {@code out}; false when there is nothing to decide now. */
    public boolean next(Out out) {
        if (!unwanted.isEmpty()) {
            out.drop(unwanted.poll());
            return true;
        }
        while (!todo.isEmpty()) {
            if (decide(todo.poll(), out)) {
                return true;
            }
        }
        while (!deadlines.isEmpty() && (deadlines.peek().state == Evaluation.ENDED
                || deadlines.peek().deadline - tick <= now)) {
            Evaluation late = deadlines.poll();
            if (late.state != Evaluation.ENDED) {
                late.state = Evaluation.ABORTED;
                return decide(late, out);
            }
        }
        long wake = deadlines.isEmpty() ? Long.MAX_VALUE : deadlines.peek().deadline - tick;
        if (wake < wokenFor) {
            wokenFor = wake;
            out.wake(Math.max(1, wake - now));
            return true;
        }
        return false;
    }

    private boolean decide(Evaluation evaluation, Out out) {
        switch (evaluation.state) {
            case Evaluation.NEW:
                return ask(evaluation, out);
            case Evaluation.ANSWERED:
                ended(evaluation);
                answered[FRESH]++;
                out.answer(evaluation, evaluation.served, FRESH);
                return true;
            case Evaluation.PUSHED_BACK:
            case Evaluation.ABORTED:
                giveUp(evaluation, out);
                return true;
            default:
                return false;
        }
    }

    private boolean ask(Evaluation evaluation, Out out) {
        Question question = evaluation.question;
        Shared shared = sharing && question.shareable ? open.get(question) : null;
        evaluation.state = Evaluation.WAITING;
        if (shared != null && shared.deadline - now >= LEFT_TO_JOIN * question.method.deadline) {
            joined++;
            evaluation.shared = shared;
            shared.waiting.add(evaluation);
            return false;
        }
        shared = new Shared(question, now, evaluation.deadline);
        if (question.shareable) {
            open.put(question, shared);
        }
        opened++;
        evaluation.shared = shared;
        shared.waiting.add(evaluation);
        out.open(shared);
        return true;
    }

    /** The last good answer where the settings allow it and the key has met nothing newer, or else as told. */
    private void giveUp(Evaluation evaluation, Out out) {
        boolean isPushedBack = evaluation.state == Evaluation.PUSHED_BACK;
        ended(evaluation);
        Question question = evaluation.question;
        Allowance allowance = question.shareable ? Allowance.of(allowances, question.flag) : Allowance.NONE;
        int at = allowance.staleFor() > 0 ? kept.find(question) : -1;
        if (at >= 0) {
            long age = now - kept.keptAt(at);
            long version = kept.version(at);
            long floor = question.subject == 0 ? evaluation.holds
                    : Math.max(evaluation.holds, versions.floor(question.subject));
            if (age <= allowance.staleFor() && (version == Served.NO_VERSION || version >= floor)) {
                int how = age <= allowance.cachedFor() ? CACHED : STALE;
                if (version != Served.NO_VERSION && question.subject != 0) {
                    versions.met(question.subject, version);
                }
                answered[how]++;
                out.answer(evaluation, new Served(Served.GOOD, kept.body(at), version, version, Map.of()), how);
                return;
            }
        }
        if (isPushedBack) {
            pushedBack++;
            out.pushBack(evaluation, evaluation.stayAway);
        } else {
            aborted++;
            out.abort(evaluation);
        }
    }

    /** Evaluations without an end. */
    public int waiting() {
        return waiting;
    }

    /** Hears each counter by its name. */
    public interface Counts {

        void count(String name, long value);
    }

    public void report(Counts counts) {
        counts.count("open", waiting);
        counts.count("asked", asked);
        counts.count("opened", opened);
        counts.count("shared", joined);
        counts.count("split", split);
        counts.count("fresh", answered[FRESH]);
        counts.count("cached", answered[CACHED]);
        counts.count("stale", answered[STALE]);
        counts.count("pushed back", pushedBack);
        counts.count("aborted", aborted);
        counts.count("older", older);
        counts.count("older by bound", byBound);
        counts.count("odd type", odd);
        counts.count("flag unknown", unknown);
        counts.count("keys", versions.size());
        counts.count("keys forgotten", versions.forgotten());
        counts.count("too long to keep", kept.tooLong());
    }
}
