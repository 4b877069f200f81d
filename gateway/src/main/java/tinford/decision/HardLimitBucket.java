package tinford.decision;

import tinford.api.Plan;

/**
 * The per-gateway share of a tenant's hard rate limit: a token bucket that starts empty and needs
 * no counter. After a handover, the bucket of the draining process drains at the rate at which the
 * bucket of the other process fills, so that both together stay within the share.
 */
final class HardLimitBucket {
    private final GatewayLifecycle lifecycle;
    private double level;
    private double updatedAtMs;
    private double ratePerMs;
    private double size;

    HardLimitBucket(GatewayLifecycle lifecycle) {
        this.lifecycle = lifecycle;
        this.updatedAtMs = lifecycle.startedAtMs();
    }

    /**
     * @param share share of the tenant's limit that this gateway has
     */
    void configure(Plan plan, double share) {
        ratePerMs = plan.hardLimitPerMs * share;
        size = plan.hardLimitBurst * share;
    }

    /** Returns the time until the units are available; 0 or less if they are or without a limit. */
    double waitMs(double units, double nowMs) {
        if (ratePerMs <= 0) {
            level = 0;
            updatedAtMs = nowMs;
            return 0;
        }
        refill(nowMs);
        return (units - level) / ratePerMs;
    }

    boolean isFull(double nowMs) {
        return waitMs(size, nowMs) <= 0;
    }

    void take(double units) {
        if (ratePerMs > 0) {
            level -= units;
        }
    }

    private void refill(double nowMs) {
        double drainingSinceMs = lifecycle.drainingSinceMs();
        double filledMs = Math.max(0, Math.min(nowMs, drainingSinceMs) - updatedAtMs);
        level = Math.min(size, level + filledMs * ratePerMs);
        double drainedMs = Math.max(0, nowMs - Math.max(drainingSinceMs, updatedAtMs));
        level = Math.max(0, level - drainedMs * ratePerMs);
        updatedAtMs = nowMs;
    }
}
