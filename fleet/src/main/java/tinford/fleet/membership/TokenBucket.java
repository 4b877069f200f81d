package tinford.fleet.membership;

/** A token bucket: limits a rate and allows bursts. Not thread-safe. */
final class TokenBucket {
    private static final double MS_PER_SECOND = 1000;

    private final double capacity;
    private final double ratePerSecond;
    private double tokens;
    private double refilledMs;

    TokenBucket(double capacity, double ratePerSecond) {
        this.capacity = capacity;
        this.ratePerSecond = ratePerSecond;
        this.tokens = capacity;
    }

    /** Takes a token; returns false if none is available. */
    boolean tryTake(double nowMs) {
        double refill = Math.max(0, nowMs - refilledMs) * ratePerSecond / MS_PER_SECOND;
        tokens = Math.min(capacity, tokens + refill);
        refilledMs = nowMs;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
