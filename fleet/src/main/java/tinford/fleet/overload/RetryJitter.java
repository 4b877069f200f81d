package tinford.fleet.overload;

/**
 * The bound of the random time that is added to a Retry-After: long enough that the requests
 * rejected in one second return spread out.
 */
public final class RetryJitter {
    /** Jitter per multiple of the capacity that is demanded in excess. */
    private static final double JITTER_PER_EXCESS_MS = 1000;

    private static final double MIN_JITTER_MS = 200;

    private final double maxJitterMs;

    /**
     * @param maxJitterMs not longer than a threshold may last without cause
     */
    public RetryJitter(double maxJitterMs) {
        this.maxJitterMs = maxJitterMs;
    }

    /**
     * The bound for a ratio of demand to capacity: the returning requests then add no more than the
     * capacity. 0 unless the demand exceeds the capacity.
     */
    public double jitterMs(double demandToCapacity) {
        return demandToCapacity <= 1
                ? 0
                : Math.min(
                        maxJitterMs, JITTER_PER_EXCESS_MS * (demandToCapacity - 1) + MIN_JITTER_MS);
    }
}
