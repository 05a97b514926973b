package honeygap.rules.fit;

import honeygap.stats.PartialLikelihood;
import org.apache.commons.statistics.distribution.NormalDistribution;

/** Estimate of the effect theta: how often the build on trial fails compared with the earlier one. */
public final class Fit extends PartialLikelihood {

    /** A probability of being worse above this holds a build or delays the vote to advance. */
    public static final double HOLD_PROBABILITY = 0.8;
    /** Tolerated ratio of failure rates: a build on trial carries more than its machines' share of the load. */
    public static final double TOLERATED_RATIO = 2;
    private static final int MIN_FAILURES = 3;

    public Fit(int groups) {
        openGroups(groups);
    }

    /** Adds one failure with the numbers of picks at risk at the earlier builds and the one on trial. */
    public void addEvent(double atRiskOld, double atRiskNew, boolean isNew) {
        int group = openGroups(1);
        add(group, false, atRiskOld, isNew ? 0 : 1);
        add(group, true, atRiskNew, isNew ? 1 : 0);
    }

    @Override
    public String toString() {
        return String.format("%.0f of %.0f, theta %.2f +- %.2f", failuresOfNew(), failures(),
                mode(), standardDeviation());
    }

    /** Probability that the build on trial fails more than {@code ratio} times as often as the earlier one. */
    public double worseProbability(double ratio) {
        return NormalDistribution.of(mode(), standardDeviation()).cumulativeProbability(-Math.log(ratio));
    }

    /** The same for the tolerated ratio; 0 if there are too few failures to judge. */
    public double worseProbability() {
        return failuresOfNew() < MIN_FAILURES ? 0 : worseProbability(TOLERATED_RATIO);
    }
}
