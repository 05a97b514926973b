package honeygap.manage;

/**
 * How much an instance is to be suspected, by how long it has given no sign against how long signs usually take: the
 * accrual detector of Hayashibara and others (2004), with a normal distribution of the times between signs. The level
 * is minus the common logarithm of the chance that a sign still comes: 1 is wrong once in ten, 8 once in 10^8.
 */
public final class Suspicion {

    private static final int WINDOW = 64;
    /** Of the mean: no distribution is taken for narrower, or one late sign would convict. */
    private static final double LEAST_SPREAD = 0.25;
    private static final double MOST = 100;

    private final long[] gaps = new long[WINDOW];
    private int count;
    private double sum;
    private double squares;
    private long lastAt;

    /** The first signs are expected so many tenths of a millisecond apart. */
    public Suspicion(long now, long usual) {
        lastAt = now;
        add(usual);
    }

    private void add(long gap) {
        int at = count % WINDOW;
        if (count >= WINDOW) {
            sum -= gaps[at];
            squares -= (double) gaps[at] * gaps[at];
        }
        gaps[at] = gap;
        sum += gap;
        squares += (double) gap * gap;
        count++;
    }

    public void sign(long now) {
        add(Math.max(0, now - lastAt));
        lastAt = now;
    }

    public long lastAt() {
        return lastAt;
    }

    public double level(long now) {
        int n = Math.min(count, WINDOW);
        double mean = sum / n;
        double spread = Math.max(LEAST_SPREAD * mean, Math.sqrt(Math.max(0, squares / n - mean * mean)));
        double x = (now - lastAt - mean) / Math.max(1, spread);
        // The tail of the normal distribution, by its logistic approximation (Bowling and others, 2009).
        double e = Math.exp(-x * (1.5976 + 0.070566 * x * x));
        double tail = x > 0 ? e / (1 + e) : 1 - 1 / (1 + e);
        return tail <= 0 ? MOST : Math.min(MOST, -Math.log10(tail));
    }
}
