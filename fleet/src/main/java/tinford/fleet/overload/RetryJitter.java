package tinford.fleet.overload;

/**
 * Bound of the random time that is added to a Retry-After, so that requests that were rejected
 * together are not repeated together.
 */
public final class RetryJitter {
    /** Jitter per multiple of the capacity by which the demand exceeds it. */
    private static final double JITTER_PER_EXCESS_MS = 1000;

    private static final double MIN_JITTER_MS = 200;

    private final double maxJitterMs;

    /**
     * @param maxJitterMs should not exceed the time for which a threshold may outlast the overload
     *     that caused it
     */
    public RetryJitter(double maxJitterMs) {
        this.maxJitterMs = maxJitterMs;
    }

    /**
     * Returns the bound for a ratio of demand to capacity, chosen so that the requests rejected in
     * one second return at a rate no higher than the capacity. 0 unless the demand exceeds the
     * capacity.
     */
    public double jitterMs(double demandToCapacity) {
        return demandToCapacity <= 1
                ? 0
                : Math.min(
                        maxJitterMs, JITTER_PER_EXCESS_MS * (demandToCapacity - 1) + MIN_JITTER_MS);
    }
}
