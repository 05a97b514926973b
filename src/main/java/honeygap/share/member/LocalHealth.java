package honeygap.share.member;

/**
 * How far this process trusts its own ears: it counts its own slowness, as Lifeguard does (Dadgar and others, "Lifeguard:
 * Local Health Awareness for More Accurate Failure Detection", 2018). At 0 all is well; times to wait are multiplied by
 * one more than the score.
 */
public final class LocalHealth {

    private static final int MAX_SCORE = 8;

    private int score;

    /** A probe was answered in time. */
    public void recordSuccess() {
        score = Math.max(0, score - 1);
    }

    /** A probe brought nothing, a suspicion had to be refuted, or a timer came late. */
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
