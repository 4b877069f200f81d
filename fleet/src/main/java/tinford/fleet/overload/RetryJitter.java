package tinford.fleet.overload;

/**
 * Longest random delay added to a Retry-After time, so that the requests rejected in one second
 * return spread out.
 */
public final class RetryJitter {
    private static final double MS_PER_FACTOR = 1000;
    private static final double MIN_MS = 200;

    private final double limitMs;

    /**
     * @param limitMs of the delay: no longer than a threshold stays without a cause
     */
    public RetryJitter(double limitMs) {
        this.limitMs = limitMs;
    }

    /**
     * A second for each time that the load exceeds the capacity, so that the requests that return
     * add no more than the capacity.
     *
     * @param overloadFactor load over capacity
     */
    public double maxMs(double overloadFactor) {
        return overloadFactor <= 1
                ? 0
                : Math.min(limitMs, MS_PER_FACTOR * (overloadFactor - 1) + MIN_MS);
    }
}
