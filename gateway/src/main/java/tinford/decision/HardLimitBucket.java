package tinford.decision;

import tinford.api.Plan;

/**
 * This gateway's even share of a tenant's hard rate limit: a token bucket that is empty at the
 * start and needs no counter. While another process of the gateway draws on the same share, this
 * one drains at the rate at which the other one fills.
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
     * @param share this gateway's part of the tenant's limit
     */
    void configure(Plan plan, double share) {
        ratePerMs = plan.hardLimitPerMs * share;
        size = plan.hardLimitBurst * share;
    }

    /** How long until the units are there; 0 or less where they are, or where there is no limit. */
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
