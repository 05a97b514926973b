package honeygap.share.member;

/**
 * How far this process trusts its own ears: it counts its own slowness, as Lifeguard does (Dadgar and others, "Lifeguard:
 * Local Health Awareness for More Accurate Failure Detection", 2018). At 0 all is well; times to wait are multiplied by
 * one more than the score.
 */
public final class LocalHealth {

    private static final int MOST = 8;

    private int score;

    /** A probe was answered in time. */
    public void well() {
        score = Math.max(0, score - 1);
    }

    /** A probe brought nothing, a suspicion had to be refuted, or a timer came late. */
    public void ill() {
        score = Math.min(MOST, score + 1);
    }

    public int score() {
        return score;
    }

    public long stretched(long time) {
        return time * (1 + score);
    }
}
