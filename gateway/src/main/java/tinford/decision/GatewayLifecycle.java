package tinford.decision;

/**
 * The times at which this process began to accept requests and at which another process of the
 * gateway took over.
 */
final class GatewayLifecycle {
    private double startedAtMs;
    private double drainingSinceMs = Double.POSITIVE_INFINITY;

    /** Records that this process starts or takes over from another process. */
    void start(double nowMs) {
        startedAtMs = nowMs;
    }

    void startDraining(double nowMs) {
        drainingSinceMs = nowMs;
    }

    double startedAtMs() {
        return startedAtMs;
    }

    /** Returns the start of draining, or infinity while this process accepts requests. */
    double drainingSinceMs() {
        return drainingSinceMs;
    }
}
