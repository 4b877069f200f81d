package tinford.api;

/** What the operators allow a gateway. */
public final class AttemptLimits {
    public final int maxAttempts;
    public final boolean hedgingAllowed;
    public final boolean cancellationAllowed;
    public final boolean gossipAllowed;
    public final boolean healthChecksAllowed;
    public final double maxRetryAfterMs;

    public AttemptLimits(
            int maxAttempts,
            boolean hedgingAllowed,
            boolean cancellationAllowed,
            boolean gossipAllowed,
            boolean healthChecksAllowed,
            double maxRetryAfterMs) {
        this.maxAttempts = maxAttempts;
        this.hedgingAllowed = hedgingAllowed;
        this.cancellationAllowed = cancellationAllowed;
        this.gossipAllowed = gossipAllowed;
        this.healthChecksAllowed = healthChecksAllowed;
        this.maxRetryAfterMs = maxRetryAfterMs;
    }
}
