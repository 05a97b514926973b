package honeygap.rules.fit;

import java.util.ArrayList;
import java.util.List;

/**
 * How often does the build on trial fail against the earlier one? Its effect theta: Breslow partial
 * likelihood over events with the risk sets o_old and o_new at each, and a normal prior with mean 0 and
 * variance 1. Newton finds the one maximum.
 */
public final class Fit {

    /** A chance of being worse above this holds a build or keeps 'on' back. */
    public static final double HOLD_CHANCE = 0.8;
    /** A trial build may fail this many times as much, since it carries more than its machines' share. */
    public static final double TOLERATED = 2;
    private static final int FAILURES_TO_JUDGE = 3;

    // Event j: failures, of them on the new build, and the two risk sets. The first are grouped ones.
    private final List<double[]> risk = new ArrayList<>();
    public double events;
    private double ofNew, mode, curvature = 1;
    private boolean stale;

    public Fit(int groups) {
        open(groups);
    }

    public void event(double oOld, double oNew, boolean isNew) {
        int at = open(1);
        add(at, false, oOld, 0);
        add(at, true, oNew, 0);
        add(at, isNew, 0, 1);
    }

    /** Opens groups of tied events; the number of the first. */
    public int open(int groups) {
        for (int i = 0; i < groups; i++) {
            risk.add(new double[4]);
        }
        return risk.size() - groups;
    }

    /** Adds to a group so many at risk and so many of them failed. */
    public void add(int group, boolean isNew, double many, double bad) {
        risk.get(group)[isNew ? 3 : 2] += many;
        risk.get(group)[0] += bad;
        risk.get(group)[1] += isNew ? bad : 0;
        events += bad;
        ofNew += isNew ? bad : 0;
        stale = true;
    }

    /** Forgets part of the new arm of all groups, and of what failed there; the old arm stays. */
    public void fade(double keep) {
        for (double[] event : risk) {
            event[0] -= (1 - keep) * event[1];
            event[1] *= keep;
            event[3] *= keep;
        }
        events -= (1 - keep) * ofNew;
        ofNew *= keep;
        stale = true;
    }

    @Override
    public String toString() {
        return String.format("%.0f of %.0f, theta %.2f +- %.2f", ofNew, events, mode(), spread());
    }

    public double mode() {
        solve();
        return mode;
    }

    public double spread() {
        solve();
        return 1 / Math.sqrt(curvature);
    }

    /** Chance that the build on trial fails more than this many times as much as the earlier one. */
    public double worse(double times) {
        double x = (-Math.log(times) - mode()) / spread();
        // The standard normal distribution function (Abramowitz and Stegun 26.2.17).
        double t = 1 / (1 + 0.2316419 * Math.abs(x));
        double tail = Math.exp(-x * x / 2) / Math.sqrt(2 * Math.PI) * t * (0.319381530 + t * (-0.356563782
                + t * (1.781477937 + t * (-1.821255978 + t * 1.330274429))));
        return x > 0 ? 1 - tail : tail;
    }

    /** The same for more than what is tolerated; too few failures say nothing. */
    public double worse() {
        return ofNew < FAILURES_TO_JUDGE ? 0 : worse(TOLERATED);
    }

    private void solve() {
        if (!stale) {
            return;
        }
        stale = false;
        double theta = mode;
        for (int i = 0; i < 50; i++) {
            double slope = -ofNew - theta;
            curvature = 1;
            double ratio = Math.exp(-theta);
            for (double[] event : risk) {
                double all = event[2] + event[3] * ratio;
                double part = all > 0 ? event[3] * ratio / all : 0;
                slope += event[0] * part;
                curvature += event[0] * part * (1 - part);
            }
            double step = slope / curvature;
            theta += Math.max(-1, Math.min(1, step));
            if (Math.abs(step) < 1e-9) {
                break;
            }
        }
        mode = theta;
    }
}
