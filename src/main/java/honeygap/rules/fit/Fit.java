package honeygap.rules.fit;

import honeygap.stats.PartialLikelihood;
import org.apache.commons.statistics.distribution.NormalDistribution;

/** How often does the build on trial fail against the earlier one? Its effect theta, and what that comes to. */
public final class Fit extends PartialLikelihood {

    /** A chance of being worse above this holds a build or keeps 'on' back. */
    public static final double HOLD_PROBABILITY = 0.8;
    /** A trial build may fail this many times as much, since it carries more than its machines' share. */
    public static final double TOLERATED_RATIO = 2;
    private static final int MIN_FAILURES = 3;

    public Fit(int groups) {
        openGroups(groups);
    }

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

    /** Chance that the build on trial fails more than this many times as much as the earlier one. */
    public double worseProbability(double ratio) {
        return NormalDistribution.of(mode(), standardDeviation()).cumulativeProbability(-Math.log(ratio));
    }

    /** The same for more than what is tolerated; too few failures say nothing. */
    public double worseProbability() {
        return failuresOfNew() < MIN_FAILURES ? 0 : worseProbability(TOLERATED_RATIO);
    }
}
