package tinford.routing.discovery;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter, so that a fleet of gateways that was rejected together does not
 * retry together.
 */
final class Backoff {
    private static final double MIN_JITTER = 0.5;
    private static final double GROWTH = 2;
    private final double firstMeanMs;
    private final double maxMeanMs;
    private final RandomGenerator random;
    private double meanMs;

    /**
     * @param firstMeanMs mean wait after the first failure; twice as long after each further one,
     *     up to {@code maxMeanMs}
     */
    Backoff(double firstMeanMs, double maxMeanMs, RandomGenerator random) {
        this.firstMeanMs = firstMeanMs;
        this.maxMeanMs = maxMeanMs;
        this.random = random;
        this.meanMs = firstMeanMs;
    }

    /** The wait after a failure: between half and one and a half of the mean. */
    double nextWaitMs() {
        double waitMs = meanMs * (MIN_JITTER + random.nextDouble());
        meanMs = Math.min(maxMeanMs, GROWTH * meanMs);
        return waitMs;
    }

    /** After a success. */
    void reset() {
        meanMs = firstMeanMs;
    }
}
