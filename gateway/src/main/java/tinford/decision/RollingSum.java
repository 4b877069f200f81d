package tinford.decision;

/**
 * The sum of the amounts that were added within the last few seconds, in a ring of buckets of fixed
 * duration.
 */
final class RollingSum {
    private static final int BUCKETS = 8;
    private static final double BUCKET_MS = 500;

    /** Time span of the sum in ms. */
    static final double SPAN_MS = BUCKETS * BUCKET_MS;

    private final double[] sums = new double[BUCKETS];
    private final long[] epochs = new long[BUCKETS];
    private long lastEpoch;

    void add(double nowMs, double amount) {
        long epoch = (long) (nowMs / BUCKET_MS);
        int bucket = (int) (epoch % BUCKETS);
        sums[bucket] = epochs[bucket] == epoch ? sums[bucket] + amount : amount;
        epochs[bucket] = epoch;
        lastEpoch = epoch;
    }

    double total(double nowMs) {
        long epoch = (long) (nowMs / BUCKET_MS);
        // fast path: most servers of a large fleet have no recent responses
        if (epoch - lastEpoch >= BUCKETS) {
            return 0;
        }
        double total = 0;
        for (int i = 0; i < BUCKETS; i++) {
            if (epoch - epochs[i] < BUCKETS) {
                total += sums[i];
            }
        }
        return total;
    }
}
