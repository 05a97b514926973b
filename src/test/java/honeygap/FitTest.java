package honeygap;

import static org.junit.jupiter.api.Assertions.assertEquals;

import honeygap.rules.fit.Fit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FitTest {

    /** Compares the fit with the posterior mode and curvature on a dense grid; events are o_old:o_new:of_new. */
    @ParameterizedTest
    @CsvSource({"''", "10:2:1", "10:2:0", "30:2:1 30:2:1 30:2:1", "5:0:0 7:0:0", "0:4:1 0:3:1", "0:0:0",
        "8:4:0 8:4:0 9:3:1 6:6:0 1:9:1", "20:1:1 20:1:1 20:1:1 20:1:1 20:1:1 20:1:1 20:1:1 20:1:1"})
    void matchesDenseGrid(String events) {
        Fit fit = new Fit(0);
        double[][] all = events.isEmpty() ? new double[0][] : new double[events.split(" ").length][];
        for (int i = 0; i < all.length; i++) {
            String[] event = events.split(" ")[i].split(":");
            all[i] = new double[] {Double.parseDouble(event[0]), Double.parseDouble(event[1]),
                Double.parseDouble(event[2])};
            fit.addEvent(all[i][0], all[i][1], all[i][2] == 1);
        }
        double best = 0;
        for (double theta = -6; theta <= 6; theta += 1e-4) {
            best = posterior(all, theta) > posterior(all, best) ? theta : best;
        }
        double h = 1e-3;
        double curve = -(posterior(all, best + h) - 2 * posterior(all, best) + posterior(all, best - h))
                / (h * h);
        assertEquals(best, fit.mode(), 2e-4);
        assertEquals(1 / Math.sqrt(curve), fit.standardDeviation(), 1e-3);
    }

    private static double posterior(double[][] events, double theta) {
        double sum = -theta * theta / 2;
        for (double[] event : events) {
            double risk = event[0] + event[1] * Math.exp(-theta);
            sum += risk > 0 ? -event[2] * theta - Math.log(risk) : 0;
        }
        return sum;
    }

    /** A group of tied events gives the same fit as its events added one by one. */
    @ParameterizedTest
    @CsvSource({"5,1,0,3", "40,10,2,2", "0,6,0,6"})
    void groupsAreTiedEvents(int picksOld, int picksNew, int failedOld, int failedNew) {
        Fit group = new Fit(1);
        Fit single = new Fit(0);
        for (int i = 0; i < Math.max(picksOld, failedOld); i++) {
            group.add(0, false, 1, i < failedOld ? 1 : 0);
        }
        for (int i = 0; i < Math.max(picksNew, failedNew); i++) {
            group.add(0, true, 1, i < failedNew ? 1 : 0);
        }
        for (int i = 0; i < failedOld + failedNew; i++) {
            single.addEvent(Math.max(picksOld, failedOld), Math.max(picksNew, failedNew), i < failedNew);
        }
        assertEquals(single.mode(), group.mode(), 1e-6);
        assertEquals(single.standardDeviation(), group.standardDeviation(), 1e-6);
    }

    @ParameterizedTest
    @CsvSource({"1,0.5", "2.718281828,0.158655", "7.389056,0.02275"})
    void worseProbabilityIsNormal(double ratio, double probability) {
        assertEquals(probability, new Fit(0).worseProbability(ratio), 1e-5);
    }
}
