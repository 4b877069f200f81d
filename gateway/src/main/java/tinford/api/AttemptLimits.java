package tinford.api;

/**
 * Limits that the operators set on what a gateway sends.
 *
 * @param maxAttempts attempts that one request may have, the first one included
 * @param hedgingAllowed whether a request may have several attempts in flight at once
 * @param cancellationAllowed whether an attempt in flight may be cancelled
 * @param gossipAllowed whether the gateway may exchange messages with its peers
 * @param healthChecksAllowed whether the gateway may send health checks to servers
 * @param maxRetryAfterMs maximum Retry-After of a rejection in ms, or 0 if rejections have none
 */
public record AttemptLimits(
        int maxAttempts,
        boolean hedgingAllowed,
        boolean cancellationAllowed,
        boolean gossipAllowed,
        boolean healthChecksAllowed,
        double maxRetryAfterMs) {}
