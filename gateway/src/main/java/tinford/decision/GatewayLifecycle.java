package tinford.decision;

/**
 * Since when this process takes requests, and since when another process of the gateway takes them.
 */
final class GatewayLifecycle {
    private double startedAtMs;
    private double drainingSinceMs = Double.POSITIVE_INFINITY;

    /** The process starts, or takes over from another one. */
    void start(double nowMs) {
        startedAtMs = nowMs;
    }

    void startDraining(double nowMs) {
        drainingSinceMs = nowMs;
    }

    double startedAtMs() {
        return startedAtMs;
    }

    /** Infinite while no other process takes the requests. */
    double drainingSinceMs() {
        return drainingSinceMs;
    }
}
