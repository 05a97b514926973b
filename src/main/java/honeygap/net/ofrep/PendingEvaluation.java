package honeygap.net.ofrep;

import honeygap.flags.Evaluation;
import honeygap.flags.Question;
import honeygap.flags.Served;
import honeygap.net.Loop;

/** An evaluation and the end of the connection that waits for it. */
public abstract class PendingEvaluation extends Evaluation {

    /** Answers in time whatever the decisions do. */
    public Loop.Timer guard;

    protected PendingEvaluation(Question question, long takenAt, long deadline, long knownVersion) {
        super(question, takenAt, deadline, knownVersion);
    }

    /** Final answer: a server's, or one kept from earlier: one of the constants of {@code Answers}. */
    public abstract void answer(Served served, int origin);

    /** Final answer: pushed back; durations are tenths of a millisecond. */
    public abstract void pushBack(long retryAfter);

    public abstract void abort();
}
