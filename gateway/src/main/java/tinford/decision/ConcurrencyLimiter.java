package tinford.decision;

import java.util.Random;

/**
 * Limits the attempts that this gateway has in flight at one server. The limit adapts to latency by
 * additive increase and multiplicative decrease; latency is relative to the latency objective of
 * the request class.
 */
final class ConcurrencyLimiter {
    private static final double MAX_LIMIT = 200;

    /** Minimum of the limit, as a share of the initial limit. */
    private static final double MIN_SHARE_OF_INITIAL = 0.5;

    private static final double DECREASE_FACTOR = 0.9;
    private static final double INCREASE_FACTOR = 1.01;
    private static final double INCREASE_SHARE_OF_INITIAL = 0.01;

    /**
     * The limit decreases if the latency exceeds this value or {@link #DECREASE_BASELINE_MULTIPLE}
     * times the baseline latency, whichever is lower.
     */
    private static final double DECREASE_ABOVE_LATENCY = 0.4;

    private static final double DECREASE_BASELINE_MULTIPLE = 1.6;
    private static final double INCREASE_BASELINE_MULTIPLE = 1.2;

    /** The limit grows only while the gateway uses at least this share of the sum of all limits. */
    private static final double MIN_UTILIZATION_TO_GROW = 0.7;

    private static final double FAST_BASELINE_GAIN = 0.05;
    private static final double SLOW_BASELINE_GAIN = 0.004;
    private static final double UNKNOWN_LATENCY = -1;

    /** The limit; other classes only read it. */
    double limit;

    /** The limit as an integer, rounded randomly; other classes only read it. */
    int slots = 1;

    private double initial;
    private double baselineLatency = UNKNOWN_LATENCY;

    /**
     * @param initialLimit initial limit, in proportion to the server's weight
     * @param latency mean relative latency of the server's recent responses
     * @param peakOpen maximum number of attempts that the gateway had in flight since the last
     *     update
     * @param limitSum sum of the limits of all servers
     */
    void update(double initialLimit, double latency, int peakOpen, double limitSum, Random random) {
        initial = initialLimit;
        if (limit <= 0) {
            limit = initial;
        }
        updateBaseline(latency);
        // queueing at a server only adds latency, so the limit decreases fast and increases slowly
        if (latency
                > Math.min(DECREASE_ABOVE_LATENCY, DECREASE_BASELINE_MULTIPLE * baselineLatency)) {
            limit = Math.max(MIN_SHARE_OF_INITIAL * initial, limit * DECREASE_FACTOR);
        } else if (latency < INCREASE_BASELINE_MULTIPLE * baselineLatency
                && peakOpen >= MIN_UTILIZATION_TO_GROW * limitSum) {
            limit =
                    Math.min(
                            MAX_LIMIT,
                            limit * INCREASE_FACTOR + INCREASE_SHARE_OF_INITIAL * initial);
        }
        slots = Math.max(1, (int) (limit + random.nextDouble()));
    }

    /**
     * Updates the baseline latency, which falls fast and rises slowly. At the minimum limit higher
     * latency can't come from queueing, so the baseline rises fast too.
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
