package tinford.fleet.membership;

/** Bounds how many come: so many a second, and so many at once. */
final class TokenBucket {
    private static final double SECOND = 1000;

    private final double capacity;
    private final double ratePerSecond;
    private double tokens;
    private double filledAt;

    TokenBucket(double capacity, double ratePerSecond) {
        this.capacity = capacity;
        this.ratePerSecond = ratePerSecond;
        this.tokens = capacity;
    }

    /** Whether one more may come now. */
    boolean take(double now) {
        double refill = Math.max(0, now - filledAt) * ratePerSecond / SECOND;
        tokens = Math.min(capacity, tokens + refill);
        filledAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
