package honeygap.replication.member;

/**
 * Local health score: counts signs that this process itself is slow, as Lifeguard does (Dadgar and others,
 * "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018). A score of 0 is healthy; timeouts
 * are multiplied by the score plus one.
 */
public final class LocalHealth {

    private static final int MAX_SCORE = 8;

    private int score;

    /** Records a probe that was answered in time. */
    public void recordSuccess() {
        score = Math.max(0, score - 1);
    }

    /** Records a probe without any answer or a suspicion that had to be refuted. */
    public void recordFailure() {
        score = Math.min(MAX_SCORE, score + 1);
    }

    public int score() {
        return score;
    }

    public long scaleTimeout(long timeout) {
        return timeout * (1 + score);
    }
}
