package tinford.decision;

import java.util.Random;

/**
 * How many attempts of this gateway one server takes at once, learned from latency by additive
 * increase and multiplicative decrease. Latency is relative to the class's objective.
 */
final class ConcurrencyLimiter {
    private static final double MAX_LIMIT = 200;

    /** Lowest limit, as a part of the initial one. */
    private static final double MIN_SHARE_OF_INITIAL = 0.5;

    private static final double DECREASE_FACTOR = 0.9;
    private static final double INCREASE_FACTOR = 1.01;
    private static final double INCREASE_SHARE_OF_INITIAL = 0.01;

    /**
     * Latency above which the limit shrinks: this, or the multiple of the baseline if that is
     * lower.
     */
    private static final double MAX_GOOD_LATENCY = 0.4;

    private static final double DECREASE_ABOVE_BASELINE = 1.6;
    private static final double INCREASE_BELOW_BASELINE = 1.2;

    /** The limit grows only while the gateway uses this much of all limits together. */
    private static final double MIN_UTILIZATION_TO_GROW = 0.7;

    private static final double FAST_BASELINE_GAIN = 0.05;
    private static final double SLOW_BASELINE_GAIN = 0.004;
    private static final double UNKNOWN = -1;

    /** Others only read it. */
    double limit;

    /** The limit as a whole number, rounded by chance; others only read it. */
    int slots = 1;

    private double initial;
    private double baselineLatency = UNKNOWN;

    /**
     * @param initialLimit where the limit starts, by the server's weight
     * @param latency mean relative latency of the server's recent answers
     * @param peakOpen most attempts that the gateway had open since the last update
     * @param limitSum limits of all servers together
     */
    void update(double initialLimit, double latency, int peakOpen, double limitSum, Random random) {
        initial = initialLimit;
        if (limit <= 0) {
            limit = initial;
        }
        updateBaseline(latency);
        // queueing at a server only makes it slower: shrink fast, grow slowly
        if (latency > Math.min(MAX_GOOD_LATENCY, DECREASE_ABOVE_BASELINE * baselineLatency)) {
            limit = Math.max(MIN_SHARE_OF_INITIAL * initial, limit * DECREASE_FACTOR);
        } else if (latency < INCREASE_BELOW_BASELINE * baselineLatency
                && peakOpen >= MIN_UTILIZATION_TO_GROW * limitSum) {
            limit =
                    Math.min(
                            MAX_LIMIT,
                            limit * INCREASE_FACTOR + INCREASE_SHARE_OF_INITIAL * initial);
        }
        slots = Math.max(1, (int) (limit + random.nextDouble()));
    }

    /**
     * The baseline falls fast and rises slowly; at the lowest limit no queue explains latency, so
     * it rises fast too.
     */
    private void updateBaseline(double latency) {
        if (baselineLatency < 0) {
            baselineLatency = latency;
        }
        boolean fast = latency < baselineLatency || limit <= MIN_SHARE_OF_INITIAL * initial;
        baselineLatency +=
                (latency - baselineLatency) * (fast ? FAST_BASELINE_GAIN : SLOW_BASELINE_GAIN);
    }
}
