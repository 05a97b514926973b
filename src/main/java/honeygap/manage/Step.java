package honeygap.manage;

/** What one operation does to one instance, and how far it is known to have come. */
public final class Step {

    /** How far. Planned, sent and unknown are open; the others are ends. */
    public enum State {
        /** Not sent. */
        PLANNED,
        /** On its way, or its answer is. */
        SENT,
        /** It may have been applied or not: the instance's ledger is asked. */
        UNKNOWN,
        /** The instance said so. */
        APPLIED,
        /** Surely not, and will not be. */
        NOT_APPLIED;

        public boolean isOpen() {
            return this == PLANNED || this == SENT || this == UNKNOWN;
        }
    }

    public final String instance;
    State state = State.PLANNED;
    /** The generation that it was sent to; 0 before that. */
    long generation;
    int attempts;
    long nextAttemptAt;
    /** When what is on its way counts as unknown. */
    long answerDeadline;
    String detail = "";

    Step(String instance) {
        this.instance = instance;
    }

    public State state() {
        return state;
    }

    /** What the instance, or the manager for want of a word of it, said in the end. */
    public String detail() {
        return detail;
    }
}
