package honeygap.stats;

import java.util.ArrayList;
import java.util.List;

/**
 * Breslow partial likelihood of one effect, theta, of a new arm against an old one, with a normal prior of mean 0
 * and variance 1. The hazard ratio of the new arm is exp(-theta), so a higher theta means fewer failures. Newton's
 * method finds the one maximum of the concave log posterior:
 *
 * <pre>sum over groups of [-n_new theta - n log(o_old + o_new exp(-theta))] - theta^2 / 2</pre>
 *
 * <p>Source: the project's paper, section on partial likelihood; ties after Breslow. Not thread-safe.
 */
public class PartialLikelihood {

    private static final int MAX_ITERATIONS = 50;
    private static final double MAX_STEP = 1;
    private static final double TOLERANCE = 1e-9;

    /** A group of tied events: failures, those of them in the new arm, and the two risk sets. */
    private static final class Group {

        private double failures;
        private double failuresOfNew;
        private double atRiskOld;
        private double atRiskNew;
    }

    private final List<Group> groups = new ArrayList<>();
    private double failures;
    private double failuresOfNew;
    private double mode;
    private double curvature = 1;
    private boolean isStale;

    /** Adds groups of tied events; returns the index of the first. */
    public int openGroups(int count) {
        for (int i = 0; i < count; i++) {
            groups.add(new Group());
        }
        return groups.size() - count;
    }

    /** Adds subjects at risk in one arm to a group, and the failures among them. */
    public void add(int index, boolean isNew, double atRisk, double failed) {
        Group group = groups.get(index);
        group.failures += failed;
        failures += failed;
        if (isNew) {
            group.atRiskNew += atRisk;
            group.failuresOfNew += failed;
            failuresOfNew += failed;
        } else {
            group.atRiskOld += atRisk;
        }
        isStale = true;
    }

    /** Scales the new arm of all groups and its failures by this factor; the old arm is unchanged. */
    public void fade(double factor) {
        for (Group group : groups) {
            group.failures -= (1 - factor) * group.failuresOfNew;
            group.failuresOfNew *= factor;
            group.atRiskNew *= factor;
        }
        failures -= (1 - factor) * failuresOfNew;
        failuresOfNew *= factor;
        isStale = true;
    }

    public double failures() {
        return failures;
    }

    public double failuresOfNew() {
        return failuresOfNew;
    }

    /** The theta at the maximum of the posterior. */
    public double mode() {
        solve();
        return mode;
    }

    /** Standard deviation of the posterior's normal approximation at its maximum. */
    public double standardDeviation() {
        solve();
        return 1 / Math.sqrt(curvature);
    }

    private void solve() {
        if (!isStale) {
            return;
        }
        isStale = false;
        for (int i = 0; i < MAX_ITERATIONS; i++) {
            double slope = slope();
            double step = slope / curvature;
            mode += Math.max(-MAX_STEP, Math.min(MAX_STEP, step));
            if (Math.abs(step) < TOLERANCE) {
                return;
            }
        }
    }

    /** Slope of the log posterior at the current mode; also sets the negative curvature there. */
    private double slope() {
        double slope = -failuresOfNew - mode;
        double ratio = Math.exp(-mode);
        curvature = 1;
        for (Group group : groups) {
            double all = group.atRiskOld + group.atRiskNew * ratio;
            double share = all > 0 ? group.atRiskNew * ratio / all : 0;
            slope += group.failures * share;
            curvature += group.failures * share * (1 - share);
        }
        return slope;
    }
}
