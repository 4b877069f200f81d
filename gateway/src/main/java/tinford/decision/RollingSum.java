package tinford.decision;

/**
 * The sum of what was added within the last few seconds, in fixed buckets of time that are reused
 * in a ring.
 */
final class RollingSum {
    private static final int BUCKETS = 8;
    private static final double BUCKET_MS = 500;

    /** How far back the sum reaches. */
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
        // most servers of a large fleet have seen nothing lately
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
