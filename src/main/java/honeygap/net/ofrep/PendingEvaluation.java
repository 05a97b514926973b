package honeygap.net.ofrep;

import honeygap.flags.Evaluation;
import honeygap.flags.FlagQuery;
import honeygap.flags.ServerAnswer;
import honeygap.net.Loop;

/** An evaluation with the client connection that waits for its result. */
public abstract class PendingEvaluation extends Evaluation {

    /** Ends the evaluation shortly after its deadline if nothing else has. */
    public Loop.Timer guard;

    protected PendingEvaluation(FlagQuery question, long takenAt, long deadline, long knownVersion) {
        super(question, takenAt, deadline, knownVersion);
    }

    /**
     * Final answer: a response of a server or a cached one; the origin is one of the constants of
     * {@code EvaluationCoordinator}.
     */
    public abstract void answer(ServerAnswer served, int origin);

    /** Final answer: pushed back; the duration is in tenths of a millisecond. */
    public abstract void pushBack(long retryAfter);

    /** Final answer: aborted. */
    public abstract void abort();
}
