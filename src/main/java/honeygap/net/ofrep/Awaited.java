package honeygap.net.ofrep;

import honeygap.flags.Evaluation;
import honeygap.flags.Question;
import honeygap.flags.Served;
import honeygap.net.Loop;

/** An evaluation and the end of the connection that waits for it. */
public abstract class Awaited extends Evaluation {

    /** Answers in time whatever the decisions do. */
    public Loop.Timer guard;

    protected Awaited(Question question, long takenAt, long deadline, long holds) {
        super(question, takenAt, deadline, holds);
    }

    /** Final answer: a server's, or one kept from earlier: one of the constants of {@code Answers}. */
    public abstract void answer(Served served, int how);

    /** Final answer: pushed back; durations are tenths of a millisecond. */
    public abstract void pushBack(long stayAway);

    public abstract void abort();
}
