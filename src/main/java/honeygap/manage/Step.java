package honeygap.manage;

/** What an operation does to one instance, and its progress. */
public final class Step {

    /** Progress of the step. PLANNED, SENT and UNKNOWN are open states; the others are final. */
    public enum State {
        /** Not sent yet. */
        PLANNED,
        /** The command or its answer is in flight. */
        SENT,
        /** It may have been applied or not: the instance's ledger is queried. */
        UNKNOWN,
        /** The instance confirmed it. */
        APPLIED,
        /** Definitely not applied, and it will not be. */
        NOT_APPLIED;

        public boolean isOpen() {
            return this == PLANNED || this == SENT || this == UNKNOWN;
        }
    }

    public final String instance;
    State state = State.PLANNED;
    /** The generation that it was sent to; 0 before it is sent. */
    long generation;
    int attempts;
    long nextAttemptAt;
    /** When a command in flight counts as unknown. */
    long answerDeadline;
    String detail = "";

    Step(String instance) {
        this.instance = instance;
    }

    public State state() {
        return state;
    }

    /** The final message of the instance, or of the manager if the instance sent none. */
    public String detail() {
        return detail;
    }
}
