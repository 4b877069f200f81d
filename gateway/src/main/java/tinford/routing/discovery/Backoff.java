package tinford.routing.discovery;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter, so that gateways whose calls failed at the same time do not
 * retry at the same time.
 */
final class Backoff {
    private static final double MIN_JITTER = 0.5;
    private static final double GROWTH = 2;
    private final double firstMeanMs;
    private final double maxMeanMs;
    private final RandomGenerator random;
    private double meanMs;

    /**
     * @param firstMeanMs mean wait after the first failure; doubled after each further failure, up
     *     to {@code maxMeanMs}
     */
    Backoff(double firstMeanMs, double maxMeanMs, RandomGenerator random) {
        this.firstMeanMs = firstMeanMs;
        this.maxMeanMs = maxMeanMs;
        this.random = random;
        this.meanMs = firstMeanMs;
    }

    /** Returns the wait after a failure: 0.5 to 1.5 times the current mean. */
    double nextWaitMs() {
        double waitMs = meanMs * (MIN_JITTER + random.nextDouble());
        meanMs = Math.min(maxMeanMs, GROWTH * meanMs);
        return waitMs;
    }

    /** To be called after a success. */
    void reset() {
        meanMs = firstMeanMs;
    }
}
